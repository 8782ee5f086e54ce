// What entry instances tell each other about slots. All of it may be lost or
// late: a wrong view costs a refused start or a wait, never a second start.

#ifndef SRC_POLICY_SLOT_MESSAGES_H_
#define SRC_POLICY_SLOT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// Waiting work of one team with one rank.
struct demand_entry {
  team_id team;
  // As of the moment of sending; see `order_rule`.
  double rank = 0;
  int tasks = 0;
  // What one of the tasks needs.
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

// From an entry instance to the home of its failure domain: all that it wants
// and holds. Each one replaces the one before.
struct slot_demand {
  // Counts the sender's demands; handed back in grants.
  uint64_t sequence = 0;
  // The last grant message that the sender had when it sent this.
  uint64_t last_grant_sequence = 0;
  // Best first.
  std::vector<demand_entry> waiting;
  std::vector<team_count> running;
  // Present only in a full report.
  bool full_report = false;
  std::vector<upstream_count> held;
  // Upstreams that the sender has quarantined by its own experience.
  std::vector<upstream_id> quarantined;
};

struct granted_slot {
  upstream_id upstream;
  team_id team;
  // The upstream was quarantined and this task is its trial.
  bool trial = false;

  bool operator==(const granted_slot&) const = default;
};

struct domain_work {
  int waiting = 0;
  int running = 0;

  bool operator==(const domain_work&) const = default;
};

// From the home: slots that the receiver may start tasks on, and a sign of
// life if there are none.
struct slot_grant {
  uint64_t sequence = 0;
  // Of the newest demand that the home knew.
  uint64_t demand_sequence = 0;
  std::vector<granted_slot> slots;
  // All waiting and running tasks of the failure domain that the home knows
  // of. Nothing: about as before.
  std::optional<domain_work> work;
};

// How an attempt on a granted slot ended, as far as it tells about the
// upstream.
enum class slot_result {
  kUnused,       // no task was started on it
  kAnswered,     // the upstream did its work
  kTaskError,    // it answered that the task failed
  kFull,         // refused, not run: no slot was free
  kLeaving,      // refused, not run: it takes no new work
  kUnreachable,  // no connection, or none of the request sent
  kBroken,       // reset, timeout or malformed reply: outcome unknown
  kStopped,      // ended early because its job was over
};

struct released_slot {
  upstream_id upstream;
  slot_result result = slot_result::kUnused;
  // Run time over what was expected; 0 if unknown.
  double slowness = 0;

  bool operator==(const released_slot&) const = default;
};

// From an entry instance to the home: slots that are free again.
struct slot_release {
  std::vector<released_slot> slots;
};

using slot_message = std::variant<slot_demand, slot_grant, slot_release>;

}  // namespace jasminedyke

#endif  // SRC_POLICY_SLOT_MESSAGES_H_
