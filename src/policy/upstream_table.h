// The upstreams as one entry instance sees them: listed, loaded, fit or not.

#ifndef SRC_POLICY_UPSTREAM_TABLE_H_
#define SRC_POLICY_UPSTREAM_TABLE_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "policy/membership.h"
#include "policy/upstream_health.h"

namespace jasminedyke {

// An upstream and what this instance has on it.
struct upstream_state {
  upstream_id id;
  instance_info info;
  bool local = false;  // in this instance's failure domain
  // Attempts of this instance that have started and not ended.
  int in_flight = 0;
  // This instance's part of the upstream's connections.
  int connection_share = 1;
  // Set by its own refusals; the list may say the same later.
  time_point leaving_until;
  // After a refusal for want of a slot; doubles with each one in a row.
  time_point hold_off_until;
  duration hold_off{};
};

// Joins membership, refusals, health and load into the one question: may a
// task be sent there now?
class upstream_table {
 public:
  explicit upstream_table(failure_domain_id own_domain);

  // Takes over a new list; load and health of those that stay are kept.
  void SetMembership(const membership_view& view);

  // Listed, not leaving, and this instance has slots and connections left.
  bool HasRoom(const upstream_id& id, time_point now) const;
  // `HasRoom`, and by this instance's own experience it is fit and not full.
  bool MayStart(const upstream_id& id, time_point now) const;

  // Bookkeeping of attempts.
  void RecordStart(const upstream_id& id, time_point now);
  void RecordEnd(const released_slot& slot, time_point now);

  // Null if it is not listed any more.
  const upstream_state* Find(const upstream_id& id) const;
  const std::map<upstream_id, upstream_state>& all() const { return states_; }
  // Those of the own failure domain, leaving ones included.
  const std::vector<upstream_id>& local() const { return local_; }

  int largest_memory_mb() const;
  // Slots in the own failure domain that may receive work.
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
