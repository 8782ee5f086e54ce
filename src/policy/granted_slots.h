// Strategy: ask the failure domain's home for slots and start tasks on those
// that it grants.

#ifndef SRC_POLICY_GRANTED_SLOTS_H_
#define SRC_POLICY_GRANTED_SLOTS_H_

#include <deque>
#include <optional>
#include <vector>

#include "base/base.h"
#include "policy/local_slots.h"
#include "policy/order_rule.h"
#include "policy/slot_strategy.h"
#include "policy/spill_slots.h"
#include "policy/upstream_table.h"

namespace jasminedyke {

// The holder's side of the protocol whose other side is `slot_home`. While the
// home is silent, tasks start within a fixed share of the slots instead, so a
// dead home delays work by a bounded time and stops nothing.
class granted_slots : public slot_strategy {
 public:
  granted_slots(scheduler& clock,
                const upstream_table& upstreams,
                slot_host& host,
                const order_rule& rule,
                uint64_t seed);

  // The instance to ask; empty if there is none. To be called again, with the
  // same one, after the link to it broke.
  void SetHome(const instance_id& home);
  const instance_id& home() const { return home_; }

  // The link to the home broke: until it is back or another home is set, tasks
  // start without grants.
  void OnHomeUnreachable();

  // This instance's share of the slots while there is no home.
  void SetShare(int rank, int instances) {
    fallback_.SetShare(rank, instances);
  }

  void OnWorkChanged() override;
  void OnAttemptEnded(const released_slot& slot) override;
  void OnMembershipChanged() override;
  void OnPeerMessage(const instance_id& peer,
                     const slot_message& message) override;

  // News of another failure domain's room.
  void SetRoom(const domain_room& room);
  // The own domain's room, as far as the home has told.
  int free_slots_in_domain() const;

  // True while tasks start without grants.
  bool in_fallback() const { return in_fallback_; }
  // What waits and runs in the whole failure domain, as the home last said.
  const domain_work& work_in_domain() const { return domain_work_; }

 private:
  void OnGrant(const slot_grant& grant);
  void UseSlot(const granted_slot& slot, bool in_time);
  void Release(const released_slot& slot);
  void FlushReleases();
  void ReportSoon();
  void ReportIfNeeded();
  bool ReportNeeded(const std::vector<demand_entry>& waiting) const;
  void Report(std::vector<demand_entry> waiting);
  void Heartbeat();
  void ScheduleHeartbeat();
  bool HasBusiness() const;
  uint64_t NumberDemand();
  bool IsInTime(uint64_t demand_sequence) const;
  void ExpectAnswer();
  void StartWithoutHome();
  std::vector<upstream_count> InFlight() const;

  scheduler& clock_;
  const upstream_table& upstreams_;
  slot_host& host_;
  const order_rule& rule_;
  static_split_slots fallback_;
  spill_slots spill_;

  instance_id home_;
  bool in_fallback_ = false;
  // When the home was first asked since it last said anything.
  std::optional<time_point> asked_at_;
  uint64_t last_grant_sequence_ = 0;
  domain_work domain_work_;
  // When the latest demands were sent, the newest last, which has the number
  // `demand_sequence_`.
  std::deque<time_point> demands_sent_;
  uint64_t demand_sequence_ = 0;

  // What the home knows of our waiting work: the last report less what was
  // granted since.
  std::vector<demand_entry> reported_;
  time_point reported_at_;
  time_point last_full_report_;
  // The next report must say what is held.
  bool full_report_due_ = true;
  std::vector<released_slot> releases_;
  time_point released_at_;

  scoped_timer report_timer_;
  scoped_timer release_timer_;
  scoped_timer heartbeat_timer_;
  scoped_timer silence_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_GRANTED_SLOTS_H_
