// Starts tasks on upstreams of other failure domains when no upstream of the
// own domain is fit.

#ifndef SRC_POLICY_SPILL_SLOTS_H_
#define SRC_POLICY_SPILL_SLOTS_H_

#include <map>
#include <random>
#include <vector>

#include "base/base.h"
#include "policy/slot_strategy.h"
#include "policy/upstream_table.h"

namespace jasminedyke {

// Free slots of a failure domain that has no waiting tasks.
struct domain_room {
  failure_domain_id domain;
  int free_slots = 0;

  bool operator==(const domain_room&) const = default;
};

// Starts waiting tasks in other failure domains that have announced free slots,
// if no upstream of the own domain is fit. The other domain's home does not
// know of the slots taken this way. Using them merely to shorten waits wasted
// 14 messages per 1,000 tasks (docs/design/slots.md). Only part of a domain's
// free slots is used, and none after its first refusal until new ones are
// announced.
class spill_slots {
 public:
  spill_slots(scheduler& clock,
              const upstream_table& upstreams,
              slot_host& host,
              uint64_t seed);

  // Updates the free slots of another domain.
  void SetRoom(const domain_room& room);

  // Must be called when tasks begin to wait.
  void OnWorkChanged();
  void OnAttemptEnded(const released_slot& slot);

  // Whether no upstream of the own domain is fit and another domain has free
  // slots, so that requesting slots of the own domain is useless.
  bool OnlyOtherDomainsCanServe() const;

 private:
  struct announced_room {
    int left = 0;
    time_point updated;
  };

  bool IsFresh(const announced_room& room) const;
  int FitLocalSlots() const;
  bool StartInOtherDomain();
  std::vector<const upstream_state*> UsableUpstreams(
      const failure_domain_id& domain) const;

  scheduler& clock_;
  const upstream_table& upstreams_;
  slot_host& host_;
  std::mt19937_64 random_;
  std::map<failure_domain_id, announced_room> rooms_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_SPILL_SLOTS_H_
