// Interface of the strategies by which entry instances share the slots of the
// upstreams.

#ifndef SRC_POLICY_SLOT_STRATEGY_H_
#define SRC_POLICY_SLOT_STRATEGY_H_

#include <vector>

#include "base/base.h"
#include "policy/slot_messages.h"

namespace jasminedyke {

// Request to start one task.
struct start_request {
  upstream_id upstream{};
  // Empty for a task of any team.
  team_id team{};
  // Whether the home chose the upstream. The home knows more about its health
  // than this instance does.
  bool granted = false;
  // Whether the upstream is under test after quarantine, so that only an
  // idempotent task should start on it.
  bool trial = false;
};

// Interface of the dispatcher to its slot strategy.
class slot_host {
 public:
  virtual ~slot_host() = default;

  virtual int waiting_tasks() const = 0;
  virtual std::vector<demand_entry> Demand(size_t limit_per_team) const = 0;
  virtual std::vector<team_count> running_by_team() const = 0;

  // Starts the best waiting task that fits the order. Returns false if there is
  // none or the upstream can't take one now.
  virtual bool StartOn(const start_request& order) = 0;

  virtual void SendToPeer(const instance_id& peer,
                          const slot_message& message) = 0;
};

// Decides when and where the dispatcher starts waiting tasks.
class slot_strategy {
 public:
  virtual ~slot_strategy() = default;

  // Called when the set of waiting tasks has changed.
  virtual void OnWorkChanged() = 0;
  // Called when an attempt started by `StartOn` has ended.
  virtual void OnAttemptEnded(const released_slot& slot) = 0;
  // Called when upstreams or entry instances were added, removed or changed.
  virtual void OnMembershipChanged() = 0;
  virtual void OnPeerMessage(const instance_id& peer,
                             const slot_message& message) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_SLOT_STRATEGY_H_
