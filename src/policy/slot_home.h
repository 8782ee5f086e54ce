// The home of a failure domain's slots: it grants them one by one, as they
// come free, in the order of all jobs that wait in the domain.

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

// Soft state, held by one entry instance of the failure domain. If it is lost,
// the next home learns who holds what from the holders' full reports. If two
// instances think that they are home, too many starts are granted; the
// upstreams refuse those as not run.
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

  // To be called before anything else and on each change. `holders` are the
  // entry instances of the domain that can be reached.
  void SetMembership(const membership_view& view,
                     const std::vector<instance_id>& holders);
  void SetQuotas(const team_quotas& quotas) { quotas_ = quotas; }

  // A home that starts waits for reports of what is held before it grants.
  void Start();
  void Stop();
  bool active() const { return active_; }

  void OnDemand(const instance_id& from, const slot_demand& demand);
  void OnRelease(const instance_id& from, const slot_release& release);

  // Slots of the upstream that are granted and not released.
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
    // Grants that the holder's newest demand does not know of yet.
    std::deque<std::pair<uint64_t, granted_slot>> unacknowledged;
    time_point last_heard;
    time_point last_sent;
    // When the domain's work was last told.
    time_point work_told;
    bool reported = false;
    // Granted and about to be sent.
    std::vector<granted_slot> outgoing;
  };
  struct upstream_slots {
    instance_info info;
    int held = 0;
    // Slots that, by its refusals, somebody else uses: another home, or an
    // instance without one. Falls again with time.
    int used_by_others = 0;
    time_point others_believed_until;
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
  bool WorthItsSlowness(const upstream_id& upstream) const;
  void NoteRefusal(upstream_slots& slots) const;
  void ForgetOthers();
  void ReserveForUnreachable(size_t listed);
  void Send(const instance_id& to, holder& h);
  // Slots that the holder does not know yet that it has.
  static std::vector<granted_slot> UnderWay(const holder& h);
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
  // Entry instances that are listed as live and can't be reached.
  size_t unreachable_ = 0;
  std::map<instance_id, holder> holders_;
  // `held` of each is the sum over the holders.
  std::map<upstream_id, upstream_slots> upstreams_;
  scoped_timer issue_timer_;
  scoped_timer send_timer_;
  scoped_timer silence_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_SLOT_HOME_H_
