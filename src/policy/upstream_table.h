// The state of all upstreams from the view of one entry instance.

#ifndef SRC_POLICY_UPSTREAM_TABLE_H_
#define SRC_POLICY_UPSTREAM_TABLE_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "policy/membership.h"
#include "policy/upstream_health.h"

namespace jasminedyke {

// An upstream with the attempts, limits and refusals of this instance.
struct upstream_state {
  upstream_id id;
  instance_info info;
  bool local = false;  // in this instance's failure domain
  // Attempts of this instance that have started and not ended.
  int in_flight = 0;
  // This instance's share of the upstream's connections.
  int connection_share = 1;
  // Set when the upstream refuses a task because it is leaving, which the
  // membership list may show only later.
  time_point leaving_until;
  // Set when the upstream refuses a task because all its slots are taken. The
  // delay doubles with each consecutive refusal.
  time_point hold_off_until;
  duration hold_off{};
};

// Combines membership, refusals, health and load to decide whether a task may
// be sent to an upstream now.
class upstream_table {
 public:
  explicit upstream_table(failure_domain_id own_domain);

  // Replaces the list of upstreams. Upstreams that remain keep their load and
  // health.
  void SetMembership(const membership_view& view);

  // Whether the upstream is listed, is not leaving and has slots and
  // connections left for this instance.
  bool HasRoom(const upstream_id& id, time_point now) const;
  // Whether `HasRoom` holds, the upstream's health allows a task and no
  // hold-off after a refusal is in effect.
  bool MayStart(const upstream_id& id, time_point now) const;

  // Must be called at the start and the end of each attempt.
  void RecordStart(const upstream_id& id, time_point now);
  void RecordEnd(const released_slot& slot, time_point now);

  // Returns null if the upstream is not listed.
  const upstream_state* Find(const upstream_id& id) const;
  const std::map<upstream_id, upstream_state>& all() const { return states_; }
  // Upstreams of this instance's failure domain, including leaving ones.
  const std::vector<upstream_id>& local() const { return local_; }

  int largest_memory_mb() const;
  // Total slots of the upstreams in this instance's failure domain that may
  // receive tasks.
  int usable_local_slots(time_point now) const;

  upstream_health& health() { return health_; }
  const upstream_health& health() const { return health_; }

 private:
  failure_domain_id own_domain_;
  std::map<upstream_id, upstream_state> states_;
  std::vector<upstream_id> local_;
  upstream_health health_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_UPSTREAM_TABLE_H_
