// Slot strategy that requests slots from the failure domain's home and starts
// tasks on those that it grants.

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

// The holder's side of the protocol with `slot_home`. While the home does not
// respond, tasks start within a fixed share of the slots instead, so a dead
// home delays work by a bounded time only.
class granted_slots : public slot_strategy {
 public:
  granted_slots(scheduler& clock,
                const upstream_table& upstreams,
                slot_host& host,
                const order_rule& rule,
                uint64_t seed);

  // Sets the instance to request slots from; empty if there is none. Must be
  // called again, with the same instance, when a broken connection is restored.
  void SetHome(const instance_id& home);
  const instance_id& home() const { return home_; }

  // Called when the connection to the home breaks. Tasks start without grants
  // until the home sends a grant again or `SetHome` is called.
  void OnHomeUnreachable();

  // Sets this instance's share of the slots for the time without a home.
  void SetShare(int rank, int instances) {
    fallback_.SetShare(rank, instances);
  }

  void OnWorkChanged() override;
  void OnAttemptEnded(const released_slot& slot) override;
  void OnMembershipChanged() override;
  void OnPeerMessage(const instance_id& peer,
                     const slot_message& message) override;

  // Updates the free slots of another failure domain.
  void SetRoom(const domain_room& room);
  // Free slots of the own domain by the home's last message; 0 while tasks wait
  // or start without grants.
  int free_slots_in_domain() const;

  // True while tasks start without grants.
  bool in_fallback() const { return in_fallback_; }
  // Waiting and running tasks of the whole failure domain, as last sent by the
  // home.
  const domain_work& work_in_domain() const { return domain_work_; }

 private:
  void OnGrant(const slot_grant& grant);
  void UseSlot(const granted_slot& slot, bool within_lease);
  void Release(const released_slot& slot);
  void FlushReleases();
  void ReportSoon();
  void ReportIfNeeded();
  bool ReportNeeded(const std::vector<demand_entry>& waiting) const;
  void Report(std::vector<demand_entry> waiting);
  void Heartbeat();
  void ScheduleHeartbeat();
  bool HasTasks() const;
  uint64_t NextDemandSequence();
  bool IsWithinLease(uint64_t demand_sequence) const;
  void StartHomeTimeout();
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
  // When the oldest demand was sent that the home has not responded to.
  std::optional<time_point> unanswered_since_;
  uint64_t last_grant_sequence_ = 0;
  domain_work domain_work_;
  // Send times of the latest demands. The last one has the sequence
  // `demand_sequence_`.
  std::deque<time_point> demand_send_times_;
  uint64_t demand_sequence_ = 0;

  // Waiting tasks that the home knows of: those of the last report less those
  // granted since.
  std::vector<demand_entry> reported_;
  time_point reported_at_;
  time_point last_full_report_;
  // Whether the next report must be a full report, which lists the held slots.
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
