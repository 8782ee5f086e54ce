#include "runs/upstream_session.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jasminedyke {

namespace {

// How long a hold waits at the upstream while something runs there. A lease of
// a second then has 0.4 s left when the next hold is due.
constexpr duration kHoldWait = std::chrono::milliseconds(600);
// The same while nothing runs: the longest that upstreams allow.
constexpr duration kIdleHoldWait = std::chrono::milliseconds(2000);
// After the last end the acknowledgement may wait for the next start. Ends that
// are not acknowledged for several seconds count as lost.
constexpr duration kIdlePause = std::chrono::milliseconds(1000);
// A lease is prolonged when it has so long to go and no hold is due before.
constexpr duration kLeaseMargin = std::chrono::milliseconds(250);
// Holds go on prolonging for so long after the last answer. Without an answer
// they may still arrive, and every lease that may have arrived puts off the
// proof that nothing runs there any more.
constexpr duration kProlongUnanswered = std::chrono::milliseconds(600);
// An order that takes longer on its way is refused as late. Short, because an
// unanswered start keeps its task from starting elsewhere for as long; and long
// enough that most tasks end under the lease which their start brings.
constexpr duration kStartLimit = std::chrono::milliseconds(500);
// After a failed hold. The first repetition must come well within the lease.
constexpr duration kHoldRetry = std::chrono::milliseconds(60);
constexpr duration kLongestHoldRetry = std::chrono::milliseconds(1000);
// Upstreams' clocks may be 2 % slow (platform's bound).
constexpr double kSlowestClock = 0.98;
constexpr int64_t kClockMarginMs = 30;
// After an upstream has refused work as unwell: at first, and at most.
constexpr duration kFirstRefusalPause = std::chrono::milliseconds(200);
constexpr duration kLongestRefusalPause = std::chrono::seconds(4);
// An upstream that never answered us may still be prolonged by an earlier
// owner that can reach it. That one learns of its successor from the store's
// row within its renewal interval; then its lease runs out.
constexpr duration kSettleWithoutAnswer = std::chrono::milliseconds(2500);

int64_t ToMs(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace

upstream_session::upstream_session(scheduler& clock,
                                   upstream_port& port,
                                   const upstream_info& info,
                                   fencing_token token,
                                   const limits& bounds,
                                   owner& told)
    : clock_(clock),
      port_(port),
      info_(info),
      token_(token),
      limits_(bounds),
      owner_(told),
      refused_until_(clock.now()),
      begun_(clock.now()),
      hold_timer_(clock),
      lease_timer_(clock),
      lapse_timer_(clock) {
  SendHold();
}

upstream_session::~upstream_session() {
  port_.Drop(info_.id);
}

bool upstream_session::usable() const {
  return settled_ && clock_known_ && !gone_ && !info_.draining &&
         failed_holds_ == 0 && clock_.now() >= refused_until_ &&
         !HasFoundRuns();
}

bool upstream_session::HasFoundRuns() const {
  return std::ranges::any_of(runs_, [](const auto& entry) {
    return entry.second.phase == run_phase::kFound;
  });
}

std::optional<int> upstream_session::Progress(const task_name& task) const {
  auto found = runs_.find(task);
  return found == runs_.end() ? std::nullopt : found->second.percent;
}

void upstream_session::Start(const task_name& task,
                             run_number run,
                             const std::string& spec,
                             const resource_amount& need) {
  run_order order{task, run, spec, token_, LatestClock()};
  order.not_after.ms += ToMs(kStartLimit);
  run_record record;
  record.run = run;
  record.need = need;
  record.since = clock_.now();
  record.not_after = order.not_after;
  runs_[task] = record;
  occupied_ += need;
  NoteLease(order.not_after);
  // Its end must not wait for an idle upstream's next hold.
  if (!hold_in_flight_ && failed_holds_ == 0)
    hold_timer_.StartAfter(duration::zero(), [this] { SendHold(); });
  port_.Start(info_.id, order,
              [this, task, run, sent = clock_.now()](const start_reply& reply) {
                OnStarted(task, run, sent, reply);
              });
}

void upstream_session::OnStarted(const task_name& task,
                                 run_number run,
                                 time_point sent,
                                 const start_reply& reply) {
  if (reply.clock)
    TakeClock(*reply.clock, sent);
  auto found = runs_.find(task);
  if (found == runs_.end() || found->second.run != run)
    return;
  run_record& record = found->second;
  // A hold may have listed it before the start's own answer arrived.
  bool was_starting = record.phase == run_phase::kStarting;
  switch (reply.result) {
    case start_result::kStarted:
      refusal_pause_ = duration::zero();
      record.phase = run_phase::kRunning;
      record.since = clock_.now();
      if (record.stop_wanted)
        SendStop(task);
      return;
    case start_result::kUnknown:
      Suspect();
      if (was_starting) {
        record.phase = run_phase::kUnproven;
        record.since = clock_.now();
      }
      SendLease();
      return;
    case start_result::kNotSent:
      Suspect();
      break;
    case start_result::kFenced:
      owner_.OnFenced(*this);
      return;
    case start_result::kGone:
      gone_ = true;
      EndAll(run_end::kLapsed);
      return;
    case start_result::kUnwell:
      Suspect();
      break;
    case start_result::kNoRoom:
      // Something occupies room that we don't know of yet; the next hold
      // lists it.
      refused_until_ = clock_.now() + kHoldRetry;
      break;
    default:
      break;
  }
  if (!was_starting)
    return;
  Remove(found);
  owner_.OnNotStarted(*this, task, run, reply.result);
}

// One that does not take orders must not be offered each task in turn.
void upstream_session::Suspect() {
  refusal_pause_ =
      std::clamp(refusal_pause_ * 2, kFirstRefusalPause, kLongestRefusalPause);
  refused_until_ = clock_.now() + refusal_pause_;
}

void upstream_session::Stop(const task_name& task) {
  auto found = runs_.find(task);
  if (found == runs_.end())
    return;
  found->second.stop_wanted = true;
  SendStop(task);
}

void upstream_session::SendStop(const task_name& task) {
  run_record& record = runs_.at(task);
  if (record.stop_in_flight)
    return;
  record.stop_in_flight = true;
  port_.Stop(info_.id, {task, record.run, token_},
             [this, task, run = record.run](call_result result) {
               auto found = runs_.find(task);
               if (found != runs_.end() && found->second.run == run)
                 found->second.stop_in_flight = false;
               if (result == call_result::kFenced)
                 owner_.OnFenced(*this);
             });
}

void upstream_session::Adopt(const task_name& task,
                             const resource_amount& need) {
  auto found = runs_.find(task);
  if (found == runs_.end() || found->second.phase != run_phase::kFound)
    return;
  found->second.phase = run_phase::kRunning;
  found->second.need = need;
  occupied_ += need;
  if (!HasFoundRuns())
    owner_.OnRoom(*this);
}

bool upstream_session::Answers() const {
  return clock_known_ && clock_.now() - clock_heard_ < kProlongUnanswered;
}

// While runs of an earlier owner are unclaimed, theirs must be allowed to
// lapse: their job may have been sent again and be running elsewhere.
hold_order upstream_session::MakeHold() const {
  hold_order order;
  order.token = token_;
  order.acknowledged = acknowledged_;
  if (settled_ && clock_known_ && !HasFoundRuns() && !runs_.empty() &&
      (Answers() || failed_holds_ == 0)) {
    order.lease_until = LatestClock();
    order.lease_until->ms += ToMs(limits_.longest_lease);
  }
  return order;
}

void upstream_session::SendHold() {
  if (hold_in_flight_ || gone_)
    return;
  hold_order order = MakeHold();
  if (settled_ && failed_holds_ == 0) {
    order.wait = runs_.empty()       ? kIdleHoldWait
                 : order.lease_until ? kHoldWait
                                     : kHoldRetry;
  }
  if (order.lease_until)
    NoteLease(*order.lease_until);
  hold_in_flight_ = true;
  hold_timer_.Stop();
  port_.Hold(info_.id, order,
             [this, sent = clock_.now()](const hold_reply& reply) {
               hold_in_flight_ = false;
               if (reply.result == call_result::kOk)
                 OnHeld(sent, reply);
               else
                 OnHoldFailed(reply.result);
             });
}

void upstream_session::SendLease() {
  if (lease_in_flight_ || gone_ || runs_.empty())
    return;
  hold_order order = MakeHold();
  if (order.lease_until)
    NoteLease(*order.lease_until);
  lease_in_flight_ = true;
  port_.Hold(info_.id, order,
             [this, sent = clock_.now()](const hold_reply& reply) {
               lease_in_flight_ = false;
               if (reply.result == call_result::kOk)
                 TakeHold(sent, reply);
               else
                 OnLeaseFailed();
             });
}

// The hold that waits may show it only seconds later.
void upstream_session::OnLeaseFailed() {
  ++failed_holds_;
  lease_timer_.StartAfter(RetryPause(), [this] { SendLease(); });
  CheckLapse();
}

duration upstream_session::RetryPause() const {
  int doublings = std::clamp(failed_holds_ - 1, 0, 5);
  return std::min(kLongestHoldRetry, kHoldRetry * (1 << doublings));
}

void upstream_session::WatchLease() {
  if (runs_.empty() || failed_holds_ > 0)
    return;
  auto left = std::chrono::milliseconds(given_until_.ms - LatestClock().ms);
  lease_timer_.StartAfter(
      std::max(duration::zero(), duration(left) - kLeaseMargin),
      [this] { SendLease(); });
}

void upstream_session::OnHeld(time_point sent, const hold_reply& reply) {
  // An earlier owner may have prolonged its runs up to now.
  if (!settled_)
    lease_end_ =
        std::max(lease_end_, {reply.clock.ms + ToMs(limits_.longest_lease)});
  settled_ = true;
  TakeHold(sent, reply);
  NextHold(!reply.ended.empty());
}

void upstream_session::TakeHold(time_point sent, const hold_reply& reply) {
  bool was_usable = usable();
  failed_holds_ = 0;
  lapse_timer_.Stop();
  TakeClock(reply.clock, sent);
  TakeEnds(reply);
  TakeRunning(sent, reply);
  JudgeUnlisted(sent, reply);
  if (!reply.ended.empty() || !was_usable)
    owner_.OnRoom(*this);
}

void upstream_session::NextHold(bool any_end) {
  if (any_end && runs_.empty())
    hold_timer_.StartAfter(kIdlePause, [this] { SendHold(); });
  else
    SendHold();
}

void upstream_session::OnHoldFailed(call_result result) {
  if (result == call_result::kFenced) {
    owner_.OnFenced(*this);
    hold_timer_.StartAfter(kHoldRetry, [this] { SendHold(); });
    return;
  }
  if (result == call_result::kGone) {
    gone_ = true;
    settled_ = true;
    EndAll(run_end::kLapsed);
    return;
  }
  ++failed_holds_;
  hold_timer_.StartAfter(RetryPause(), [this] { SendHold(); });
  CheckLapse();
}

// Runs after failed holds until the upstream answers again or nothing of ours
// can be running there.
void upstream_session::CheckLapse() {
  if (!settled_ && clock_.now() - begun_ >= kSettleWithoutAnswer)
    SettleWithoutAnswer();
  if (settled_ && LeaseIsOver()) {
    EndAll(run_end::kLapsed);
    return;
  }
  if (!lapse_timer_.active())
    lapse_timer_.StartAfter(kHoldRetry, [this] { CheckLapse(); });
}

void upstream_session::SettleWithoutAnswer() {
  settled_ = true;
  owner_.OnRoom(*this);
}

bool upstream_session::LeaseIsOver() const {
  return !clock_known_ || EarliestClock().ms > lease_end_.ms + kClockMarginMs;
}

void upstream_session::EndAll(run_end how) {
  std::vector<std::pair<task_name, run_number>> ended;
  for (const auto& [task, record] : runs_)
    ended.emplace_back(task, record.run);
  runs_.clear();
  occupied_ = {};
  for (const auto& [task, run] : ended)
    owner_.OnRunEnded(*this, task, run, how);
}

void upstream_session::TakeClock(upstream_time clock, time_point sent) {
  // Answers may overtake each other.
  if (clock_known_ && clock < clock_reading_)
    return;
  clock_known_ = true;
  clock_reading_ = clock;
  clock_asked_ = sent;
  clock_heard_ = clock_.now();
}

upstream_time upstream_session::EarliestClock() const {
  auto passed =
      static_cast<double>(ToMs(clock_.now() - clock_heard_)) * kSlowestClock;
  return {clock_reading_.ms + static_cast<int64_t>(passed)};
}

upstream_time upstream_session::LatestClock() const {
  return {clock_reading_.ms + ToMs(clock_.now() - clock_asked_) + 1};
}

void upstream_session::NoteLease(upstream_time until) {
  lease_end_ = std::max(lease_end_, until);
  given_until_ = std::max(given_until_, until);
  WatchLease();
}

void upstream_session::TakeEnds(const hold_reply& reply) {
  for (const listed_end& end : reply.ended) {
    acknowledged_ = std::max(acknowledged_, end.sequence);
    auto found = runs_.find(end.task);
    bool known = found != runs_.end();
    // The end of an earlier run says nothing about the present one.
    if (known && end.run < found->second.run)
      continue;
    if (known)
      Remove(found);
    // Also of runs that are unknown here: an earlier owner may have started
    // them for a job that is still wanted.
    owner_.OnRunEnded(*this, end.task, end.run, end.how);
  }
}

void upstream_session::TakeRunning(time_point sent, const hold_reply& reply) {
  std::vector<listed_run> found_runs;
  for (const listed_run& listed : reply.running) {
    auto found = runs_.find(listed.task);
    if (found == runs_.end()) {
      run_record record;
      record.run = listed.run;
      record.phase = run_phase::kFound;
      record.since = clock_.now();
      runs_.emplace(listed.task, record);
      found_runs.push_back(listed);
      continue;
    }
    run_record& record = found->second;
    record.percent = listed.percent;
    if (record.phase == run_phase::kStarting ||
        record.phase == run_phase::kUnproven) {
      record.phase = run_phase::kRunning;
      record.since = sent;
    }
    if (record.stop_wanted)
      SendStop(listed.task);
  }
  for (const listed_run& found : found_runs)
    owner_.OnFound(*this, found.task, found.run);
}

void upstream_session::JudgeUnlisted(time_point sent, const hold_reply& reply) {
  std::vector<std::pair<task_name, run_number>> unlisted;
  for (const auto& [task, record] : runs_) {
    bool listed = std::ranges::any_of(
        reply.running,
        [&name = task](const listed_run& r) { return r.task == name; });
    bool can_judge =
        record.phase == run_phase::kUnproven
            ? reply.clock.ms > record.not_after.ms + kClockMarginMs
            : record.phase != run_phase::kStarting && record.since < sent;
    if (!listed && can_judge)
      unlisted.emplace_back(task, record.run);
  }
  for (const auto& [task, run] : unlisted) {
    auto found = runs_.find(task);
    if (found == runs_.end())
      continue;
    bool never_began = found->second.phase == run_phase::kUnproven;
    Remove(found);
    if (never_began)
      owner_.OnNotStarted(*this, task, run, start_result::kUnknown);
    else
      owner_.OnRunEnded(*this, task, run, run_end::kLapsed);
  }
}

void upstream_session::Remove(run_map::iterator found) {
  occupied_ -= found->second.need;
  runs_.erase(found);
}

}  // namespace jasminedyke
