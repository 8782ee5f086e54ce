// Messages about slots between entry instances. They may be lost or late: stale
// information costs a refused start or a wait, but never starts a task twice.

#ifndef SRC_POLICY_SLOT_MESSAGES_H_
#define SRC_POLICY_SLOT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// Waiting tasks of one team with about the same rank.
struct demand_entry {
  team_id team;
  // Rank at the time of sending; see `order_rule`.
  double rank = 0;
  int tasks = 0;
  // Memory that each task may need.
  int memory_mb = 0;

  bool operator==(const demand_entry&) const = default;
};

struct upstream_count {
  upstream_id upstream;
  int count = 0;

  bool operator==(const upstream_count&) const = default;
};

struct team_count {
  team_id team;
  int count = 0;

  bool operator==(const team_count&) const = default;
};

// Sent by an entry instance to the home of its failure domain, with the tasks
// that wait and the slots that it holds. Replaces its previous demand.
struct slot_demand {
  // Number of the demand, counted by the sender and returned in grants.
  uint64_t sequence = 0;
  // Sequence of the last grant message that the sender has received.
  uint64_t last_grant_sequence = 0;
  // Ordered by rank, the lowest first.
  std::vector<demand_entry> waiting;
  std::vector<team_count> running;
  // Whether `held` and `quarantined` are set.
  bool full_report = false;
  std::vector<upstream_count> held;
  // Upstreams that the sender has quarantined because of its own attempts.
  std::vector<upstream_id> quarantined;
};

struct granted_slot {
  upstream_id upstream;
  team_id team;
  // Whether the task tests an upstream that was quarantined.
  bool trial = false;

  bool operator==(const granted_slot&) const = default;
};

// Numbers of tasks in a failure domain.
struct domain_work {
  int waiting = 0;
  int running = 0;

  bool operator==(const domain_work&) const = default;
};

// Sent by the home: slots that the receiver may start tasks on. Without slots
// it serves as a keepalive.
struct slot_grant {
  uint64_t sequence = 0;
  // Sequence of the latest demand that the home has received.
  uint64_t demand_sequence = 0;
  std::vector<granted_slot> slots;
  // Waiting and running tasks of the failure domain that the home knows of;
  // left out of most messages, as it changes little between two of them.
  std::optional<domain_work> work;
};

// Outcome of an attempt on a slot, as far as it concerns the upstream.
enum class slot_result {
  kUnused,       // no task was started on the slot
  kAnswered,     // the upstream ran the task
  kTaskError,    // the upstream replied that the task failed
  kFull,         // refused, not run: no slot was free
  kLeaving,      // refused, not run: the upstream takes no new work
  kUnreachable,  // no connection, or no part of the request sent
  kBroken,       // reset, timeout or malformed reply: outcome unknown
  kStopped,      // ended early because its job was over
};

struct released_slot {
  upstream_id upstream;
  slot_result result = slot_result::kUnused;
  // Run time divided by the expected run time; 0 if unknown.
  double slowness = 0;

  bool operator==(const released_slot&) const = default;
};

// Sent by an entry instance to the home: slots that it no longer holds.
struct slot_release {
  std::vector<released_slot> slots;
};

using slot_message = std::variant<slot_demand, slot_grant, slot_release>;

}  // namespace jasminedyke

#endif  // SRC_POLICY_SLOT_MESSAGES_H_
