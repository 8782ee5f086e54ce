// What entry instances say to each other, as values.

#ifndef SRC_PROTOCOL_PEER_MESSAGE_H_
#define SRC_PROTOCOL_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"
#include "protocol/routing_piece.h"
#include "runs/runs.h"

namespace jasminedyke {

// Who a peer says it is; proven by the handshake before anything else counts.
struct peer_identity {
  instance_id instance;
  incarnation_id incarnation;
  failure_domain_id failure_domain;

  bool operator==(const peer_identity&) const = default;
};

struct instance_version {
  instance_id instance;
  config_version version;

  bool operator==(const instance_version&) const = default;
};

// Whether an instance hears of operators' changes from the store itself.
enum class store_reading {
  kNone,
  kTrying,  // the store does not answer it
  kFollowing,
};

// What an instance knows of its group of upstreams. One that knows the group
// can become its home while the store is silent.
enum class group_knowledge {
  kNone,   // no token of an earlier home, or no upstreams
  kSome,   // upstreams, perhaps not all
  kWhole,  // all upstreams on which tasks may run
};

// A heartbeat with the sender's versions, and what it heard newly of others.
struct peer_status {
  config_version config;
  membership_version membership;
  // The sender is stopping: it takes no further jobs and is no home.
  bool leaving = false;
  std::vector<instance_version> in_force;
  // Failure domains that can take others' tasks.
  std::vector<domain_room> rooms;
  store_reading reading = store_reading::kNone;
  group_knowledge group = group_knowledge::kNone;
  // `home_status::sent_at` of the latest status that the receiver sent as a
  // home, once the sender has handled all that had reached it by then. Empty if
  // the sender is of a release that does not confirm statuses.
  std::optional<time_point> confirmed = std::nullopt;
  // The highest token that the sender knows of the group to which the receiver
  // is home, if it exceeds the token in the receiver's latest status.
  std::optional<fencing_token> higher_token = std::nullopt;

  bool operator==(const peer_status&) const = default;
};

enum class document_kind { kConfiguration, kMembership };

struct document_request {
  document_kind kind = document_kind::kConfiguration;
  // The answer is what changed since then, as routing pieces; nothing: the
  // whole document.
  std::optional<config_version> have = std::nullopt;
  // 0 begins anew.
  uint32_t piece = 0;

  bool operator==(const document_request&) const = default;
};

struct peer_document {
  document_kind kind = document_kind::kConfiguration;
  uint64_t version = 0;
  std::string json;

  bool operator==(const peer_document&) const = default;
};

// A caller's request about a job that the receiver owns. `number` belongs to
// the sender and comes back with the reply.
struct remote_job_request {
  uint64_t number = 0;
  // Of `job_operation`.
  int operation = 0;
  std::string job;
  team_id team;
  std::string body;

  bool operator==(const remote_job_request&) const = default;
};

struct remote_job_reply {
  uint64_t number = 0;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool operator==(const remote_job_reply&) const = default;
};

using peer_message = std::variant<slot_demand,
                                  slot_grant,
                                  slot_release,
                                  peer_status,
                                  document_request,
                                  peer_document,
                                  remote_job_request,
                                  remote_job_reply,
                                  run_request,
                                  run_cancel,
                                  run_report,
                                  home_status,
                                  upstream_news,
                                  delegated_start,
                                  delegated_start_result,
                                  drained_domains,
                                  crash_news,
                                  speed_news,
                                  routing_piece>;

// A literal, for counts and logs.
const char* KindOf(const peer_message& message);

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_PEER_MESSAGE_H_
