// Grants the slots of a failure domain's upstreams to its entry instances, one
// at a time as they become free, in the order of all waiting jobs.

#ifndef SRC_POLICY_SLOT_HOME_H_
#define SRC_POLICY_SLOT_HOME_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "policy/membership.h"
#include "policy/order_rule.h"
#include "policy/slot_messages.h"
#include "policy/team_quotas.h"
#include "policy/upstream_health.h"

namespace jasminedyke {

// Soft state of one entry instance per failure domain. After a failover the
// next home rebuilds it from the holders' full reports. If two instances act as
// home, slots are granted twice; the upstreams refuse the excess starts without
// running them.
class slot_home {
 public:
  using sender =
      std::function<void(const instance_id& to, const slot_grant& grant)>;

  // `self` is the instance that this home runs on.
  slot_home(scheduler& clock,
            instance_id self,
            failure_domain_id domain,
            const order_rule& rule,
            sender send);

  // Must be called before all other functions and on each membership change.
  // `holders` are the reachable entry instances of the domain.
  void SetMembership(const membership_view& view,
                     const std::vector<instance_id>& holders);
  void SetQuotas(const team_quotas& quotas) { quotas_ = quotas; }

  // Begins to act as home. Grants nothing until all holders have sent a full
  // report or the wait for the reports times out.
  void Start();
  void Stop();
  bool active() const { return active_; }

  void OnDemand(const instance_id& from, const slot_demand& demand);
  void OnRelease(const instance_id& from, const slot_release& release);
  // The link to a holder broke, and with it the grants that it has not
  // acknowledged are lost. Its slots stay reserved until its next full report.
  void OnLinkDown(const instance_id& holder);

  // Number of slots that are granted and not yet released.
  int held(const upstream_id& upstream) const;
  int held() const;
  int free_slots() const;
  const upstream_health& health() const { return health_; }

 private:
  struct waiting_entry {
    demand_entry demand;
    double fixed_rank = 0;
  };
  struct holder {
    slot_demand demand;
    std::vector<waiting_entry> waiting;
    std::map<upstream_id, int> held;
    std::map<team_id, int> running;
    uint64_t last_sequence = 0;
    // Grants that the holder's latest demand does not acknowledge yet, with the
    // sequence of their message.
    std::deque<std::pair<uint64_t, granted_slot>> unacknowledged;
    time_point last_heard;
    time_point last_sent;
    // When the domain's work was last sent.
    time_point work_last_sent;
    bool reported = false;
    // Grants that wait to be sent.
    std::vector<granted_slot> outgoing;
  };
  struct upstream_slots {
    instance_info info;
    int held = 0;
    // Estimate of the slots used by another home or by instances without a
    // home, from refusals and from the number of unreachable instances. Decays
    // over time.
    int external_use = 0;
    time_point external_use_decays_at;
    time_point leaving_until;
  };
  struct choice {
    instance_id holder;
    waiting_entry* entry = nullptr;
  };

  void ScheduleIssue();
  void Issue();
  void SendOutgoing();
  time_point SendTime(const instance_id& to, const holder& h) const;
  bool GrantOne();
  std::optional<choice> BestWaiting(const std::set<const waiting_entry*>& skip);
  upstream_id BestUpstream(const holder& h, int memory_mb) const;
  bool HasRoom(const holder& h, const upstream_slots& slots) const;
  bool IsWorthUsingWhenSlow(const upstream_id& upstream) const;
  void RecordRefusal(upstream_slots& slots) const;
  void DecayExternalUse();
  void ReserveForUnreachable(size_t listed);
  void Send(const instance_id& to, holder& h);
  // Grants that the holder has not acknowledged, sent or not.
  static std::vector<granted_slot> UnacknowledgedGrants(const holder& h);
  void ApplyFullReport(holder& h, const slot_demand& demand);
  void ChangeHeld(holder& h, const upstream_id& upstream, int change);
  void DropSilentHolders();
  void DropHolder(const instance_id& id);
  bool ReadyToGrant() const;
  int RunningOfTeam(const team_id& team) const;
  domain_work Work() const;

  scheduler& clock_;
  instance_id self_;
  failure_domain_id domain_;
  const order_rule& rule_;
  sender send_;
  team_quotas quotas_;
  upstream_health health_;
  bool active_ = false;
  time_point started_;
  std::vector<instance_id> live_holders_;
  // Number of entry instances listed as live that can't be reached.
  size_t unreachable_count_ = 0;
  std::map<instance_id, holder> holders_;
  // The `held` of each upstream is the sum over all holders.
  std::map<upstream_id, upstream_slots> upstreams_;
  scoped_timer issue_timer_;
  scoped_timer send_timer_;
  scoped_timer silence_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_SLOT_HOME_H_
