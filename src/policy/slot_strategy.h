// How entry instances that know little of each other share the slots of the
// upstreams.

#ifndef SRC_POLICY_SLOT_STRATEGY_H_
#define SRC_POLICY_SLOT_STRATEGY_H_

#include <vector>

#include "base/base.h"
#include "policy/slot_messages.h"

namespace jasminedyke {

// A wish to start one task.
struct start_order {
  upstream_id upstream{};
  // Empty: of any team.
  team_id team{};
  // The home chose the upstream, which knows more about it than this
  // instance's own record of its health.
  bool granted = false;
  // Only a task that may run twice should be risked on it.
  bool trial = false;
};

// What a strategy asks of the dispatcher that it works for.
class slot_host {
 public:
  virtual ~slot_host() = default;

  virtual int waiting_tasks() const = 0;
  virtual std::vector<demand_entry> Demand(size_t limit_per_team) const = 0;
  virtual std::vector<team_count> running_by_team() const = 0;

  // Starts the best waiting task that fits. False if there is none or the
  // upstream may get none now.
  virtual bool StartOn(const start_order& order) = 0;

  virtual void SendToPeer(const instance_id& peer,
                          const slot_message& message) = 0;
};

// Decides when and where the dispatcher starts waiting tasks.
class slot_strategy {
 public:
  virtual ~slot_strategy() = default;

  // Tasks began or ceased to wait.
  virtual void OnWorkChanged() = 0;
  // An attempt that `StartOn` began has ended.
  virtual void OnAttemptEnded(const released_slot& slot) = 0;
  // Upstreams or entry instances came, went or changed.
  virtual void OnMembershipChanged() = 0;
  virtual void OnPeerMessage(const instance_id& peer,
                             const slot_message& message) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_SLOT_STRATEGY_H_
