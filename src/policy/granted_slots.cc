#include "policy/granted_slots.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// A grant is valid for this long after the demand that it answers was sent. The
// holder measures this with its own clock, starting before the home does, so a
// holder that was paused considers its grants expired before the home does.
constexpr duration kGrantLease = std::chrono::seconds(1);
// More demands than can be sent within a lease.
constexpr size_t kMaxRememberedDemands = 1500;
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr duration kFullReportInterval = std::chrono::seconds(2);
// The home answers every heartbeat. It is considered dead if a demand stays
// without response for this long.
constexpr duration kHomeTimeout = std::chrono::milliseconds(750);
// Minimum intervals between reports and between releases. The first one after a
// pause is sent at once, later ones are batched.
constexpr duration kMinReportInterval = std::chrono::milliseconds(1);
constexpr duration kMinReleaseInterval = std::chrono::milliseconds(1);
// Maximum number of entries for each team in a report.
constexpr size_t kMaxReportedEntriesPerTeam = 6;
// A report is sent when the home knows of fewer waiting tasks than this and
// more are waiting.
constexpr int kMinKnownTasks = 8;
// In seconds: a job whose rank is better by no more than this triggers no
// report.
constexpr double kRankTolerance = 0.02;

int CountTasks(const std::vector<demand_entry>& entries) {
  int tasks = 0;
  for (const demand_entry& entry : entries)
    tasks += entry.tasks;
  return tasks;
}

}  // namespace

granted_slots::granted_slots(scheduler& clock,
                             const upstream_table& upstreams,
                             slot_host& host,
                             const order_rule& rule,
                             uint64_t seed)
    : clock_(clock),
      upstreams_(upstreams),
      host_(host),
      rule_(rule),
      fallback_(clock, upstreams, host),
      spill_(clock, upstreams, host, seed),
      report_timer_(clock),
      release_timer_(clock),
      heartbeat_timer_(clock),
      silence_timer_(clock) {}

void granted_slots::SetHome(const instance_id& home) {
  home_ = home;
  unanswered_since_.reset();
  silence_timer_.Stop();
  last_grant_sequence_ = 0;
  full_report_due_ = true;
  reported_.clear();
  releases_.clear();
  in_fallback_ = home_.empty();
  fallback_.Pause();
  OnWorkChanged();
}

void granted_slots::OnHomeUnreachable() {
  StartWithoutHome();
}

void granted_slots::SetRoom(const domain_room& room) {
  spill_.SetRoom(room);
  OnWorkChanged();
}

int granted_slots::free_slots_in_domain() const {
  if (in_fallback_ || domain_work_.waiting > 0 || host_.waiting_tasks() > 0)
    return 0;
  int usable = upstreams_.usable_local_slots(clock_.now());
  return std::max(0, usable - domain_work_.running);
}

void granted_slots::OnWorkChanged() {
  spill_.OnWorkChanged();
  if (in_fallback_)
    fallback_.OnWorkChanged();
  if (!home_.empty())
    ReportSoon();
}

void granted_slots::OnAttemptEnded(const released_slot& slot) {
  spill_.OnAttemptEnded(slot);
  const upstream_state* upstream = upstreams_.Find(slot.upstream);
  if (upstream && !upstream->local) {
    OnWorkChanged();
    return;
  }
  if (in_fallback_)
    fallback_.OnAttemptEnded(slot);
  Release(slot);
}

void granted_slots::OnMembershipChanged() {
  OnWorkChanged();
}

void granted_slots::OnPeerMessage(const instance_id& peer,
                                  const slot_message& message) {
  const auto* grant = std::get_if<slot_grant>(&message);
  if (grant && peer == home_)
    OnGrant(*grant);
}

void granted_slots::OnGrant(const slot_grant& grant) {
  unanswered_since_.reset();
  silence_timer_.Stop();
  last_grant_sequence_ = std::max(last_grant_sequence_, grant.sequence);
  if (grant.work)
    domain_work_ = *grant.work;
  if (in_fallback_) {
    in_fallback_ = false;
    fallback_.Pause();
    full_report_due_ = true;
  }
  bool within_lease = IsWithinLease(grant.demand_sequence);
  for (const granted_slot& slot : grant.slots)
    UseSlot(slot, within_lease);
  ReportSoon();
}

void granted_slots::UseSlot(const granted_slot& slot, bool within_lease) {
  for (demand_entry& entry : reported_) {
    if (entry.team == slot.team && entry.tasks > 0) {
      --entry.tasks;
      break;
    }
  }
  start_request order{slot.upstream, slot.team, true, slot.trial};
  if (!within_lease || !host_.StartOn(order))
    Release({slot.upstream, slot_result::kUnused});
}

void granted_slots::Release(const released_slot& slot) {
  if (home_.empty())
    return;
  releases_.push_back(slot);
  if (!release_timer_.active())
    release_timer_.StartAt(
        std::max(clock_.now(), released_at_ + kMinReleaseInterval),
        [this] { FlushReleases(); });
}

void granted_slots::FlushReleases() {
  if (releases_.empty() || home_.empty())
    return;
  released_at_ = clock_.now();
  host_.SendToPeer(home_, slot_release{std::exchange(releases_, {})});
}

void granted_slots::ReportSoon() {
  if (!report_timer_.active())
    report_timer_.StartAt(
        std::max(clock_.now(), reported_at_ + kMinReportInterval),
        [this] { ReportIfNeeded(); });
  ScheduleHeartbeat();
}

void granted_slots::ReportIfNeeded() {
  // No upstream of this domain is usable, so a grant would be of no use.
  // Heartbeats still send demands, which detects the return of an upstream.
  if (home_.empty() || spill_.OnlyOtherDomainsCanServe())
    return;
  std::vector<demand_entry> waiting = host_.Demand(kMaxReportedEntriesPerTeam);
  if (ReportNeeded(waiting))
    Report(std::move(waiting));
}

bool granted_slots::ReportNeeded(
    const std::vector<demand_entry>& waiting) const {
  if (full_report_due_)
    return true;
  int waiting_tasks = host_.waiting_tasks();
  int known_tasks = CountTasks(reported_);
  if (known_tasks > waiting_tasks)
    return true;
  if (known_tasks < std::min(kMinKnownTasks, waiting_tasks))
    return true;
  if (waiting.empty())
    return false;
  // Only the best rank of each team matters, as the home grants slots to teams.
  double aged = rule_.age_weight * ToSeconds(clock_.now() - reported_at_);
  for (const demand_entry& entry : waiting) {
    auto known = std::ranges::find_if(reported_, [&](const demand_entry& r) {
      return r.team == entry.team && r.tasks > 0;
    });
    if (known == reported_.end())
      return true;
    if (entry.rank < known->rank - aged - kRankTolerance)
      return true;
  }
  return false;
}

void granted_slots::Report(std::vector<demand_entry> waiting) {
  if (waiting.empty() && !HasTasks() && reported_.empty() &&
      !full_report_due_) {
    return;
  }
  // Releases must be sent first, as a full report counts their slots as free.
  FlushReleases();
  time_point now = clock_.now();
  slot_demand demand;
  demand.sequence = NextDemandSequence();
  demand.last_grant_sequence = last_grant_sequence_;
  demand.running = host_.running_by_team();
  demand.full_report =
      full_report_due_ || now - last_full_report_ >= kFullReportInterval;
  if (demand.full_report) {
    demand.held = InFlight();
    demand.quarantined = upstreams_.health().quarantined(now);
    last_full_report_ = now;
    full_report_due_ = false;
  }
  demand.waiting = waiting;
  reported_ = std::move(waiting);
  reported_at_ = now;
  host_.SendToPeer(home_, demand);
  StartHomeTimeout();
}

void granted_slots::Heartbeat() {
  if (home_.empty())
    return;
  Report(host_.Demand(kMaxReportedEntriesPerTeam));
  if (HasTasks())
    ScheduleHeartbeat();
}

void granted_slots::ScheduleHeartbeat() {
  if (heartbeat_timer_.active() || home_.empty())
    return;
  heartbeat_timer_.StartAfter(kHeartbeatInterval, [this] { Heartbeat(); });
}

bool granted_slots::HasTasks() const {
  return host_.waiting_tasks() > 0 || !host_.running_by_team().empty();
}

uint64_t granted_slots::NextDemandSequence() {
  demand_send_times_.push_back(clock_.now());
  if (demand_send_times_.size() > kMaxRememberedDemands)
    demand_send_times_.pop_front();
  return ++demand_sequence_;
}

// Whether the demand is still remembered and was sent within the lease.
bool granted_slots::IsWithinLease(uint64_t demand_sequence) const {
  uint64_t newer = demand_sequence_ - demand_sequence;
  if (demand_sequence > demand_sequence_ || newer >= demand_send_times_.size())
    return false;
  time_point sent = demand_send_times_[demand_send_times_.size() - 1 - newer];
  return clock_.now() - sent <= kGrantLease;
}

void granted_slots::StartHomeTimeout() {
  if (unanswered_since_ || host_.waiting_tasks() == 0)
    return;
  unanswered_since_ = clock_.now();
  silence_timer_.StartAfter(kHomeTimeout, [this] {
    unanswered_since_.reset();
    // No task waits any more, so the home had no reason to respond.
    if (host_.waiting_tasks() == 0)
      return;
    if (!in_fallback_)
      LogEvent(log_level::kWarning, "home_silent", {{"home", home_.str()}});
    StartWithoutHome();
  });
}

void granted_slots::StartWithoutHome() {
  in_fallback_ = true;
  fallback_.OnWorkChanged();
}

std::vector<upstream_count> granted_slots::InFlight() const {
  std::vector<upstream_count> held;
  for (const upstream_id& id : upstreams_.local()) {
    const upstream_state* state = upstreams_.Find(id);
    if (state->in_flight > 0)
      held.push_back({id, state->in_flight});
  }
  return held;
}

}  // namespace jasminedyke
