// A strategy that needs no messages.

#ifndef SRC_POLICY_LOCAL_SLOTS_H_
#define SRC_POLICY_LOCAL_SLOTS_H_

#include "base/base.h"
#include "policy/slot_strategy.h"
#include "policy/upstream_table.h"

namespace jasminedyke {

// Gives each entry instance a fixed part of each upstream's slots. Without a
// message no upstream is asked for more than it has; but what one instance
// does not use, no other can. The fallback when no home can be reached.
class static_split_slots : public slot_strategy {
 public:
  static_split_slots(scheduler& clock,
                     const upstream_table& upstreams,
                     slot_host& host);

  // Which part is this instance's: the `rank`th of `instances`, from 0.
  void SetShare(int rank, int instances);

  void OnWorkChanged() override;
  void OnAttemptEnded(const released_slot& slot) override;
  void OnMembershipChanged() override;
  void OnPeerMessage(const instance_id&, const slot_message&) override {}

  // Starts nothing more until the next call from outside.
  void Pause() { retry_.Stop(); }

 private:
  int Share(size_t upstream_number, int slots) const;

  scheduler& clock_;
  const upstream_table& upstreams_;
  slot_host& host_;
  int rank_ = 0;
  int instances_ = 1;
  scoped_timer retry_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_LOCAL_SLOTS_H_
