#include "policy/slot_home.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace jasminedyke {

namespace {

// Maximum wait of a new home for full reports.
constexpr duration kFullReportTimeout = std::chrono::milliseconds(300);
// A holder that sends nothing for this long is considered dead and its slots
// are granted again. If it is alive, the upstreams refuse the excess starts.
constexpr duration kHolderTimeout = std::chrono::seconds(3);
// Minimum interval between two messages to the same holder.
constexpr duration kMinSendInterval = std::chrono::milliseconds(4);
constexpr duration kWorkUpdateInterval = std::chrono::milliseconds(100);
// Maximum interval between messages to a holder, checked whenever grants are
// issued.
constexpr duration kKeepaliveInterval = std::chrono::milliseconds(400);
// The estimate of slots used by others falls by one after each such interval.
constexpr duration kExternalUseDecayInterval = std::chrono::seconds(1);
constexpr duration kReservationTime = std::chrono::seconds(3);
// Interval between attempts to grant slots while tasks wait and slots are free:
// time alone can make an upstream usable again.
constexpr duration kGrantRetryInterval = std::chrono::milliseconds(50);
constexpr duration kLeavingTimeout = std::chrono::seconds(15);
// Upstreams whose slowness falls into the same step rank equally, as smaller
// differences are noise.
constexpr double kSlownessStep = 0.5;
// Upstreams at least this many times slower than expected count as slow.
constexpr double kSlowThreshold = 1.7;

}  // namespace

slot_home::slot_home(scheduler& clock,
                     instance_id self,
                     failure_domain_id domain,
                     const order_rule& rule,
                     sender send)
    : clock_(clock),
      self_(std::move(self)),
      domain_(std::move(domain)),
      rule_(rule),
      send_(std::move(send)),
      issue_timer_(clock),
      send_timer_(clock),
      silence_timer_(clock) {}

void slot_home::SetMembership(const membership_view& view,
                              const std::vector<instance_id>& holders) {
  std::map<upstream_id, upstream_slots> upstreams;
  std::vector<upstream_id> ids;
  for (const instance_info& info : view.list().instances) {
    if (info.role != instance_role::kUpstream || info.failure_domain != domain_)
      continue;
    upstream_id id(info.id.str());
    auto old = upstreams_.find(id);
    upstream_slots slots =
        old != upstreams_.end() ? old->second : upstream_slots();
    slots.info = info;
    upstreams.emplace(id, slots);
    ids.push_back(id);
  }
  upstreams_ = std::move(upstreams);
  health_.SetUpstreams(ids);
  live_holders_ = holders;
  std::vector<instance_id> gone;
  for (const auto& [id, h] : holders_) {
    if (std::ranges::find(holders, id) == holders.end())
      gone.push_back(id);
  }
  for (const instance_id& id : gone)
    DropHolder(id);
  ReserveForUnreachable(view.entries(domain_).size());
  ScheduleIssue();
}

void slot_home::Start() {
  if (active_)
    return;
  active_ = true;
  started_ = clock_.now();
  issue_timer_.StartAfter(kFullReportTimeout, [this] { Issue(); });
  DropSilentHolders();
}

void slot_home::Stop() {
  active_ = false;
  issue_timer_.Stop();
  send_timer_.Stop();
  silence_timer_.Stop();
  holders_.clear();
  for (auto& [id, slots] : upstreams_)
    slots.held = 0;
}

void slot_home::OnDemand(const instance_id& from, const slot_demand& demand) {
  if (!active_)
    return;
  holder& h = holders_[from];
  h.last_heard = clock_.now();
  while (!h.unacknowledged.empty() &&
         h.unacknowledged.front().first <= demand.last_grant_sequence) {
    h.unacknowledged.pop_front();
  }
  // A holder that is new to this home acknowledges sequence 0, also if this
  // home knew it before their connection broke.
  if (demand.full_report)
    ApplyFullReport(h, demand);
  h.demand = demand;
  h.running.clear();
  for (const team_count& running : demand.running)
    h.running[running.team] = running.count;
  h.waiting.clear();
  double now_s = ToSeconds(clock_.now().time_since_epoch());
  for (const demand_entry& entry : demand.waiting)
    h.waiting.push_back({entry, entry.rank + rule_.age_weight * now_s});
  // The demand still counts the tasks of unacknowledged grants as waiting.
  for (const granted_slot& slot : UnacknowledgedGrants(h)) {
    ++h.running[slot.team];
    for (waiting_entry& entry : h.waiting) {
      if (entry.demand.team == slot.team && entry.demand.tasks > 0) {
        --entry.demand.tasks;
        break;
      }
    }
  }
  ScheduleIssue();
}

void slot_home::OnRelease(const instance_id& from,
                          const slot_release& release) {
  if (!active_)
    return;
  holder& h = holders_[from];
  h.last_heard = clock_.now();
  for (const released_slot& slot : release.slots) {
    if (h.held[slot.upstream] > 0)
      ChangeHeld(h, slot.upstream, -1);
    health_.Record(slot, clock_.now());
    auto found = upstreams_.find(slot.upstream);
    if (found == upstreams_.end())
      continue;
    if (slot.result == slot_result::kFull)
      RecordRefusal(found->second);
    if (slot.result == slot_result::kLeaving)
      found->second.leaving_until = clock_.now() + kLeavingTimeout;
  }
  ScheduleIssue();
}

// Grants that a holder did receive are in its next report.
void slot_home::OnLinkDown(const instance_id& id) {
  auto found = holders_.find(id);
  if (found == holders_.end())
    return;
  found->second.unacknowledged.clear();
  found->second.outgoing.clear();
}

int slot_home::held(const upstream_id& upstream) const {
  auto found = upstreams_.find(upstream);
  return found == upstreams_.end() ? 0 : found->second.held;
}

int slot_home::held() const {
  int total = 0;
  for (const auto& [id, slots] : upstreams_)
    total += slots.held;
  return total;
}

int slot_home::free_slots() const {
  int total = 0;
  for (const auto& [id, slots] : upstreams_) {
    if (slots.info.state == instance_state::kLive)
      total += std::max(0, slots.info.slots - slots.held);
  }
  return total;
}

// Defers granting until all messages of this event loop iteration are handled,
// so that they are answered together.
void slot_home::ScheduleIssue() {
  if (active_ && ReadyToGrant())
    issue_timer_.StartAfter(duration::zero(), [this] { Issue(); });
}

void slot_home::Issue() {
  DecayExternalUse();
  while (GrantOne()) {
  }
  SendOutgoing();
  bool tasks_wait = std::ranges::any_of(holders_, [](const auto& entry) {
    return std::ranges::any_of(
        entry.second.waiting,
        [](const waiting_entry& e) { return e.demand.tasks > 0; });
  });
  if (tasks_wait && free_slots() > 0)
    issue_timer_.StartAfter(kGrantRetryInterval, [this] { Issue(); });
}

void slot_home::SendOutgoing() {
  time_point next = time_point::max();
  for (auto& [id, h] : holders_) {
    bool keepalive_due = clock_.now() - h.last_sent >= kKeepaliveInterval;
    if (h.outgoing.empty() && !keepalive_due)
      continue;
    time_point when = SendTime(id, h);
    if (when <= clock_.now())
      Send(id, h);
    else
      next = std::min(next, when);
  }
  if (next < time_point::max())
    send_timer_.StartAt(next, [this] { SendOutgoing(); });
}

// Returns when the next message to a holder may be sent. The minimum interval
// lets a busy home batch grants; after a pause a message is sent at once. There
// is no interval for the home's own instance, which needs no network message.
time_point slot_home::SendTime(const instance_id& to, const holder& h) const {
  return to == self_ ? clock_.now() : h.last_sent + kMinSendInterval;
}

bool slot_home::GrantOne() {
  std::set<const waiting_entry*> skip;
  while (auto best = BestWaiting(skip)) {
    holder& h = holders_.at(best->holder);
    demand_entry& demand = best->entry->demand;
    upstream_id upstream = BestUpstream(h, demand.memory_mb);
    if (upstream.empty()) {
      // Other holders may have connections left, and other tasks may need less
      // memory.
      skip.insert(best->entry);
      continue;
    }
    --demand.tasks;
    ++h.running[demand.team];
    ChangeHeld(h, upstream, 1);
    bool trial = health_.TrialNeedsIdempotent(upstream, clock_.now());
    health_.RecordStart(upstream, clock_.now());
    h.outgoing.push_back({upstream, demand.team, trial});
    return true;
  }
  return false;
}

std::optional<slot_home::choice> slot_home::BestWaiting(
    const std::set<const waiting_entry*>& skip) {
  std::optional<choice> best;
  std::pair<bool, double> best_rank;
  std::map<team_id, bool> at_quota;
  for (auto& [id, h] : holders_) {
    for (waiting_entry& entry : h.waiting) {
      if (entry.demand.tasks <= 0 || skip.contains(&entry))
        continue;
      const team_id& team = entry.demand.team;
      auto [known, is_new] = at_quota.try_emplace(team, false);
      if (is_new)
        known->second = quotas_.AtQuota(team, RunningOfTeam(team));
      std::pair<bool, double> rank(known->second, entry.fixed_rank);
      if (best && rank >= best_rank)
        continue;
      best = choice{id, &entry};
      best_rank = rank;
    }
  }
  return best;
}

// Prefers upstreams whose last attempt did not fail, then the fastest, then the
// least loaded. So a slow upstream gets work only when the others are full, and
// a retried request goes to another upstream.
upstream_id slot_home::BestUpstream(const holder& h, int memory_mb) const {
  const upstream_slots* best = nullptr;
  upstream_id best_id;
  std::tuple<bool, double, double> best_cost;
  for (const auto& [id, slots] : upstreams_) {
    if (slots.info.memory_mb < memory_mb || !HasRoom(h, slots) ||
        !IsWorthUsingWhenSlow(id)) {
      continue;
    }
    double step =
        std::floor(health_.slowness(id, clock_.now()) / kSlownessStep);
    double load = static_cast<double>(slots.held) / slots.info.slots;
    std::tuple<bool, double, double> cost(health_.HasJustFailed(id), step,
                                          load);
    if (best && cost >= best_cost)
      continue;
    best = &slots;
    best_id = id;
    best_cost = cost;
  }
  return best_id;
}

// A task on an upstream that is k times slower ends later than one that waits
// for a slot of normal speed, unless at least k - 1 tasks wait per such slot.
bool slot_home::IsWorthUsingWhenSlow(const upstream_id& upstream) const {
  double slowness = health_.slowness(upstream, clock_.now());
  if (slowness < kSlowThreshold)
    return true;
  int normal_slots = 0;
  for (const auto& [id, slots] : upstreams_) {
    if (slots.info.state == instance_state::kLive &&
        health_.slowness(id, clock_.now()) < kSlowThreshold)
      normal_slots += slots.info.slots;
  }
  return Work().waiting >= normal_slots * (slowness - 1);
}

bool slot_home::HasRoom(const holder& h, const upstream_slots& slots) const {
  time_point now = clock_.now();
  if (slots.info.state != instance_state::kLive || now < slots.leaving_until ||
      slots.held + slots.external_use >= slots.info.slots) {
    return false;
  }
  upstream_id id(slots.info.id.str());
  if (slots.held >= health_.MaxInFlight(id))
    return false;
  auto held = h.held.find(id);
  int sharers = std::max<int>(1, static_cast<int>(live_holders_.size()));
  int share = std::max(1, slots.info.connections / sharers);
  if (held != h.held.end() && held->second >= share)
    return false;
  return health_.MayReceive(id, now);
}

// Two homes that can't reach each other both grant every slot. Without this
// estimate each would keep granting slots that the other has taken, and tasks
// would be delayed by refused starts and back-off. A refusal means that all
// slots not held through this home are used by others.
void slot_home::RecordRefusal(upstream_slots& slots) const {
  int others = slots.info.slots - slots.held;
  slots.external_use = std::max(slots.external_use, others);
  slots.external_use_decays_at = clock_.now() + kExternalUseDecayInterval;
}

// Entry instances that are listed but unreachable are either dead or on the
// other side of a network partition with their own home. Their share of the
// slots stays reserved until refusals, or the lack of them, tell which.
void slot_home::ReserveForUnreachable(size_t listed) {
  size_t reached = live_holders_.size();
  size_t unreachable = listed > reached ? listed - reached : 0;
  bool more = unreachable > std::exchange(unreachable_count_, unreachable);
  if (!more)
    return;
  for (auto& [id, slots] : upstreams_) {
    int share = slots.info.slots * static_cast<int>(unreachable) /
                static_cast<int>(listed);
    slots.external_use = std::max(slots.external_use, share);
    slots.external_use_decays_at = clock_.now() + kReservationTime;
  }
}

void slot_home::DecayExternalUse() {
  for (auto& [id, slots] : upstreams_) {
    if (slots.external_use == 0 || clock_.now() < slots.external_use_decays_at)
      continue;
    --slots.external_use;
    slots.external_use_decays_at = clock_.now() + kExternalUseDecayInterval;
  }
}

void slot_home::Send(const instance_id& to, holder& h) {
  slot_grant grant;
  grant.sequence = ++h.last_sequence;
  grant.demand_sequence = h.demand.sequence;
  grant.slots = std::exchange(h.outgoing, {});
  if (clock_.now() - h.work_last_sent >= kWorkUpdateInterval) {
    grant.work = Work();
    h.work_last_sent = clock_.now();
  }
  for (const granted_slot& slot : grant.slots)
    h.unacknowledged.emplace_back(grant.sequence, slot);
  h.last_sent = clock_.now();
  send_(to, grant);
}

std::vector<granted_slot> slot_home::UnacknowledgedGrants(const holder& h) {
  std::vector<granted_slot> slots = h.outgoing;
  for (const auto& [sequence, slot] : h.unacknowledged)
    slots.push_back(slot);
  return slots;
}

void slot_home::ApplyFullReport(holder& h, const slot_demand& demand) {
  std::map<upstream_id, int> held;
  for (const upstream_count& reported : demand.held)
    held[reported.upstream] += reported.count;
  for (const granted_slot& slot : UnacknowledgedGrants(h))
    ++held[slot.upstream];
  for (const auto& [upstream, count] : h.held)
    held.try_emplace(upstream, 0);
  for (const auto& [upstream, count] : held) {
    int known = h.held[upstream];
    ChangeHeld(h, upstream, count - known);
  }
  h.reported = true;
  for (const upstream_id& upstream : demand.quarantined)
    health_.RecordPeerVerdict(upstream, clock_.now());
}

void slot_home::ChangeHeld(holder& h, const upstream_id& upstream, int change) {
  h.held[upstream] += change;
  auto found = upstreams_.find(upstream);
  if (found != upstreams_.end())
    found->second.held += change;
}

void slot_home::DropSilentHolders() {
  std::vector<instance_id> silent;
  for (const auto& [id, h] : holders_) {
    if (clock_.now() - h.last_heard > kHolderTimeout)
      silent.push_back(id);
  }
  for (const instance_id& id : silent)
    DropHolder(id);
  if (!silent.empty())
    ScheduleIssue();
  silence_timer_.StartAfter(kHolderTimeout / 3,
                            [this] { DropSilentHolders(); });
}

void slot_home::DropHolder(const instance_id& id) {
  holder& h = holders_.at(id);
  for (const auto& [upstream, count] : h.held) {
    auto found = upstreams_.find(upstream);
    if (found != upstreams_.end())
      found->second.held -= count;
  }
  holders_.erase(id);
}

bool slot_home::ReadyToGrant() const {
  if (clock_.now() - started_ >= kFullReportTimeout)
    return true;
  return std::ranges::all_of(live_holders_, [&](const instance_id& id) {
    auto found = holders_.find(id);
    return found != holders_.end() && found->second.reported;
  });
}

int slot_home::RunningOfTeam(const team_id& team) const {
  int running = 0;
  for (const auto& [id, h] : holders_) {
    auto found = h.running.find(team);
    if (found != h.running.end())
      running += found->second;
  }
  return running;
}

domain_work slot_home::Work() const {
  domain_work work;
  work.running = held();
  for (const auto& [id, h] : holders_) {
    for (const waiting_entry& entry : h.waiting)
      work.waiting += entry.demand.tasks;
  }
  return work;
}

}  // namespace jasminedyke
