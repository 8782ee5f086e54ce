// Use of other failure domains' upstreams when the own ones are not enough.

#ifndef SRC_POLICY_SPILL_SLOTS_H_
#define SRC_POLICY_SPILL_SLOTS_H_

#include <map>
#include <random>
#include <vector>

#include "base/base.h"
#include "policy/slot_strategy.h"
#include "policy/upstream_table.h"

namespace jasminedyke {

// Free slots of a failure domain in which nothing waits.
struct domain_room {
  failure_domain_id domain;
  int free_slots = 0;

  bool operator==(const domain_room&) const = default;
};

// Starts waiting tasks in other failure domains that have said that they have
// room, if no own upstream is fit. A task there takes a slot that its domain's
// home does not know of; so it is no way to save a mere wait: tried for that,
// it wasted 14 messages per 1,000 tasks (docs/design/slots.md). A domain's room
// is used sparingly and forgotten at its first refusal.
class spill_slots {
 public:
  spill_slots(scheduler& clock,
              const upstream_table& upstreams,
              slot_host& host,
              uint64_t seed);

  // News of another domain's room.
  void SetRoom(const domain_room& room);

  // To be called when tasks began to wait.
  void OnWorkChanged();
  void OnAttemptEnded(const released_slot& slot);

  // No own upstream is fit while another domain has room: there is no use in
  // asking for own slots.
  bool OnlyOthersCanServe() const;

 private:
  struct known_room {
    int left = 0;
    time_point heard;
  };

  bool IsFresh(const known_room& room) const;
  int FitOwnSlots() const;
  bool StartInOtherDomain();
  std::vector<const upstream_state*> Open(
      const failure_domain_id& domain) const;

  scheduler& clock_;
  const upstream_table& upstreams_;
  slot_host& host_;
  std::mt19937_64 random_;
  std::map<failure_domain_id, known_room> rooms_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_SPILL_SLOTS_H_
