#include "runs/upstream_session.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jasminedyke {

namespace {

// How long a hold waits at the upstream while something runs there. One whose
// answer is lost hides ends for as long; ends are more frequent than this on
// upstreams at work, so a shorter wait costs few calls.
constexpr duration kHoldWait = std::chrono::milliseconds(300);
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
// An order that takes longer on its way is refused as late. Long enough that
// most tasks end under the lease which their start brings.
constexpr duration kStartLimit = std::chrono::milliseconds(500);
// Starts are answered within 2 to 5 ms; one that is not after this time is
// looked for. A caller of 60 ms tasks can lose 96 ms in all.
constexpr duration kStartPatience = std::chrono::milliseconds(30);
// Between looks for an unanswered start, doubled each time: a look is answered
// as fast as a start, and an upstream that answers nothing must not be flooded.
constexpr duration kStartRecheck = std::chrono::milliseconds(40);
constexpr duration kLongestStartRecheck = std::chrono::milliseconds(320);
// Answers get lost in spells of seconds. Between two losses on an upstream at
// work, with 8 % lost and 20 calls a second, lie 0.6 s.
constexpr duration kLossMemory = std::chrono::seconds(3);
// After a failed hold. The first repetition must come well within the lease.
constexpr duration kHoldRetry = std::chrono::milliseconds(60);
constexpr duration kLongestHoldRetry = std::chrono::milliseconds(1000);
// Beyond a time on the upstream's clock, before something counts as over.
constexpr int64_t kClockMarginMs = 30;
// After an upstream has refused work as unwell: at first, and at most.
constexpr duration kFirstRefusalPause = std::chrono::milliseconds(200);
constexpr duration kLongestRefusalPause = std::chrono::seconds(4);
// An upstream that never answered us may still be prolonged by an earlier
// owner that can reach it. That one learns of its successor from the store's
// row within its renewal interval; then its lease runs out.
constexpr duration kSettleWithoutAnswer = std::chrono::milliseconds(2500);

// An earlier run of the task says nothing of this one: the reply was written
// before this one could begin.
bool IsListed(const hold_reply& reply, const task_name& task, run_number run) {
  return std::ranges::any_of(reply.running, [&](const listed_run& listed) {
    return listed.task == task && listed.run >= run;
  });
}

}  // namespace

upstream_session::upstream_session(scheduler& clock,
                                   upstream_port& port,
                                   const upstream_info& info,
                                   fencing_token token,
                                   const limits& bounds,
                                   answer_times& times,
                                   owner& told)
    : clock_(clock),
      port_(port),
      info_(info),
      largest_capacity_(info.capacity),
      token_(token),
      limits_(bounds),
      times_(times),
      owner_(told),
      refused_until_(clock.now()),
      begun_(clock.now()),
      upstream_clock_(clock),
      hold_(clock),
      spare_hold_(clock),
      look_timer_(clock),
      start_timer_(clock),
      lapse_timer_(clock) {
  SendHold(hold_);
}

upstream_session::~upstream_session() {
  port_.Drop(info_.id);
}

void upstream_session::SetInfo(const upstream_info& info) {
  info_ = info;
  largest_capacity_.cpu_millis =
      std::max(largest_capacity_.cpu_millis, info.capacity.cpu_millis);
  largest_capacity_.memory_mb =
      std::max(largest_capacity_.memory_mb, info.capacity.memory_mb);
  largest_capacity_.accelerators =
      std::max(largest_capacity_.accelerators, info.capacity.accelerators);
}

bool upstream_session::usable() const {
  return settled_ && upstream_clock_.known() && !gone_ && !info_.draining &&
         failed_holds_ == 0 && !in_doubt_ && clock_.now() >= refused_until_ &&
         !HasFoundRuns();
}

bool upstream_session::HasFoundRuns() const {
  return std::ranges::any_of(runs_, [](const auto& entry) {
    return entry.second.phase == run_phase::kFound;
  });
}

std::optional<run_progress> upstream_session::Progress(
    const task_name& task) const {
  auto found = runs_.find(task);
  if (found == runs_.end() || !found->second.progress)
    return std::nullopt;
  run_progress progress = *found->second.progress;
  progress.began = found->second.since;
  return progress;
}

void upstream_session::run_record::NoteProgress(int percent, time_point now) {
  // A reply that was overtaken shows an earlier state.
  if (progress && percent < progress->percent)
    return;
  if (!progress || percent > progress->percent)
    progress = run_progress{percent, now, now, now};
  progress->listed = now;
}

void upstream_session::Start(const task_name& task,
                             run_number run,
                             const std::string& spec,
                             const resource_amount& need,
                             const std::optional<start_delegate>& delegate) {
  run_order order;
  order.task = task;
  order.run = run;
  order.spec = spec;
  order.token = token_;
  order.delegate = delegate;
  order.not_after = upstream_clock_.Latest();
  order.not_after.ms += WholeMilliseconds(kStartLimit);
  run_record record;
  record.run = run;
  record.need = need;
  record.since = clock_.now();
  record.not_after = order.not_after;
  runs_[task] = record;
  occupied_ += need;
  NoteLease(order.not_after);
  // Its end must not wait for an idle upstream's next hold.
  if (!hold_.in_flight && failed_holds_ == 0)
    hold_.timer.StartAfter(duration::zero(), [this] { SendHold(hold_); });
  SendSpareHold();
  if (!start_timer_.active())
    WatchStarts(times_.Patience(kStartPatience));
  port_.Start(info_.id, order,
              [this, task, run, sent = clock_.now()](const start_reply& reply) {
                OnStarted(task, run, sent, reply);
              });
}

void upstream_session::OnStarted(const task_name& task,
                                 run_number run,
                                 time_point sent,
                                 const start_reply& reply) {
  if (reply.clock) {
    upstream_clock_.Take(*reply.clock, sent);
    times_.Note(clock_.now() - sent);
    in_doubt_ = false;
  }
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
      NoteUnanswered();
      if (was_starting)
        record.phase = run_phase::kUnproven;
      SendLook();
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
  port_.Stop(info_.id,
             {task, record.run, token_, times_.Patience(kAnswerPatience)},
             [this, task, run = record.run](call_result result) {
               auto found = runs_.find(task);
               if (found != runs_.end() && found->second.run == run) {
                 found->second.stop_in_flight = false;
                 OnStopAnswered(found->second, result);
               }
               if (result == call_result::kFenced)
                 owner_.OnFenced(*this);
             });
}

void upstream_session::OnStopAnswered(run_record& record, call_result result) {
  if (result == call_result::kUnknown)
    NoteUnanswered();
  if (result != call_result::kOk || !record.IsUnclear())
    return;
  record.refused_since = clock_.now();
  SendLook();
}

void upstream_session::WatchStarts(duration pause) {
  start_timer_.StartAfter(pause, [this, pause] {
    CheckStarts();
    bool any_unclear = std::ranges::any_of(
        runs_, [](const auto& entry) { return entry.second.IsUnclear(); });
    if (any_unclear)
      WatchStarts(std::clamp(pause * 2, kStartRecheck, kLongestStartRecheck));
  });
}

bool upstream_session::IsInDoubt(const run_record& record,
                                 time_point now) const {
  return record.IsUnclear() &&
         now - record.since >= times_.Patience(kStartPatience);
}

void upstream_session::CheckStarts() {
  bool any = false;
  for (const auto& [task, record] : runs_) {
    if (!IsInDoubt(record, clock_.now()))
      continue;
    any = true;
    in_doubt_ = in_doubt_ || !upstream_clock_.HeardSince(record.since);
  }
  if (!any)
    return;
  NoteUnanswered();
  SendLook();
}

// A start that is neither listed nor answered may be on its way for seconds.
// Its task would wait for the order's time limit: a caller of short tasks has
// its answer late by then. Once the upstream has confirmed the stop of this run
// number it refuses the order whenever it comes.
void upstream_session::RefuseUnlistedStarts(time_point sent,
                                            const hold_reply& reply) {
  for (const auto& [task, record] : runs_) {
    if (IsInDoubt(record, sent) && !record.refused_since &&
        !IsListed(reply, task, record.run))
      SendStop(task);
  }
}

bool upstream_session::LosesAnswers() const {
  return last_unanswered_ && clock_.now() - *last_unanswered_ < kLossMemory;
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
  return upstream_clock_.HeardSince(clock_.now() - kProlongUnanswered);
}

// While runs of an earlier owner are unclaimed, theirs must be allowed to
// lapse: their job may have been sent again and be running elsewhere.
hold_order upstream_session::MakeHold() {
  hold_order order;
  order.token = token_;
  order.acknowledged = acknowledged_;
  order.patience = times_.Patience(kAnswerPatience);
  if (settled_ && upstream_clock_.known() && !HasFoundRuns() &&
      !runs_.empty() && (Answers() || failed_holds_ == 0)) {
    order.lease_until = upstream_clock_.Latest();
    order.lease_until->ms += WholeMilliseconds(limits_.longest_lease);
    NoteLease(*order.lease_until);
  }
  return order;
}

void upstream_session::SendHold(waiting_hold& hold) {
  if (hold.in_flight || gone_)
    return;
  hold_order order = MakeHold();
  if (settled_ && failed_holds_ == 0) {
    order.wait = runs_.empty()       ? kIdleHoldWait
                 : order.lease_until ? kHoldWait
                                     : kHoldRetry;
  }
  hold.in_flight = true;
  hold.idle = runs_.empty();
  hold.timer.Stop();
  port_.Hold(info_.id, order,
             [this, &hold, sent = clock_.now()](const hold_reply& reply) {
               hold.in_flight = false;
               if (reply.result == call_result::kOk)
                 OnHeld(hold, sent, reply);
               else
                 OnHoldFailed(hold, sent, reply.result);
             });
}

// With 8 in 100 calls unanswered, ends were learnt up to 0.7 s late, and the
// room that they free stayed empty as long. Where all upstreams are late none
// of it is lost, and a second hold for each end doubles what is on the link.
void upstream_session::SendSpareHold() {
  bool wanted = settled_ && failed_holds_ == 0 && LosesAnswers() &&
                !times_.AllLate() && !runs_.empty() && !HasFoundRuns();
  if (wanted)
    SendHold(spare_hold_);
}

void upstream_session::SendLook() {
  if (gone_ || runs_.empty())
    return;
  if (look_in_flight_) {
    look_again_ = true;
    return;
  }
  hold_order order = MakeHold();
  look_in_flight_ = true;
  look_again_ = false;
  port_.Hold(info_.id, order,
             [this, sent = clock_.now()](const hold_reply& reply) {
               look_in_flight_ = false;
               if (reply.result == call_result::kOk) {
                 times_.Note(clock_.now() - sent);
                 TakeHold(sent, reply);
               } else
                 OnLookFailed(sent);
               if (look_again_)
                 SendLook();
             });
}

// The hold that waits may show it only seconds later.
void upstream_session::OnLookFailed(time_point sent) {
  NoteUnanswered();
  if (!upstream_clock_.HeardSince(sent))
    ++failed_holds_;
  look_timer_.StartAfter(RetryPause(), [this] { SendLook(); });
  CheckLapse();
}

duration upstream_session::RetryPause() const {
  int doublings = std::clamp(failed_holds_ - 1, 0, 5);
  return std::min(kLongestHoldRetry, kHoldRetry * (1 << doublings));
}

void upstream_session::WatchLease() {
  if (runs_.empty() || failed_holds_ > 0)
    return;
  duration left =
      std::chrono::milliseconds(given_until_.ms - upstream_clock_.Latest().ms);
  duration pause = std::max(duration::zero(), left - kLeaseMargin);
  // A lost one would hide ends for its whole wait.
  if (hold_.in_flight && hold_.idle)
    pause = std::min(pause, kHoldWait);
  look_timer_.StartAfter(pause, [this] { SendLook(); });
}

void upstream_session::OnHeld(waiting_hold& hold,
                              time_point sent,
                              const hold_reply& reply) {
  // An earlier owner may have prolonged its runs up to now.
  if (!settled_)
    lease_end_ =
        std::max(lease_end_,
                 {reply.clock.ms + WholeMilliseconds(limits_.longest_lease)});
  settled_ = true;
  TakeHold(sent, reply);
  NextHold(hold, !reply.ended.empty());
}

void upstream_session::TakeHold(time_point sent, const hold_reply& reply) {
  bool was_usable = usable();
  failed_holds_ = 0;
  in_doubt_ = false;
  lapse_timer_.Stop();
  upstream_clock_.Take(reply.clock, sent);
  TellFoundAgain(false);
  TakeEnds(reply);
  TakeRunning(reply);
  JudgeUnlisted(sent, reply);
  RefuseUnlistedStarts(sent, reply);
  if (!reply.ended.empty() || !was_usable)
    owner_.OnRoom(*this);
}

void upstream_session::NextHold(waiting_hold& hold, bool any_end) {
  bool is_main = &hold == &hold_;
  if (is_main && any_end && runs_.empty())
    hold.timer.StartAfter(kIdlePause, [this] { SendHold(hold_); });
  else if (is_main)
    SendHold(hold);
  SendSpareHold();
}

void upstream_session::OnHoldFailed(waiting_hold& hold,
                                    time_point sent,
                                    call_result result) {
  if (result == call_result::kFenced) {
    owner_.OnFenced(*this);
    hold.timer.StartAfter(kHoldRetry, [this, &hold] { SendHold(hold); });
    return;
  }
  if (result == call_result::kGone) {
    gone_ = true;
    settled_ = true;
    EndAll(run_end::kLapsed);
    return;
  }
  NoteUnanswered();
  // A single lost answer does not take an upstream out of use that answers
  // other calls.
  if (upstream_clock_.HeardSince(sent)) {
    NextHold(hold, false);
    return;
  }
  ++failed_holds_;
  hold.timer.StartAfter(RetryPause(), [this, &hold] { SendHold(hold); });
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
  return !upstream_clock_.known() ||
         upstream_clock_.Earliest().ms > lease_end_.ms + kClockMarginMs;
}

void upstream_session::EndAll(run_end how) {
  std::vector<std::pair<task_name, run_number>> ended;
  std::vector<task_name> ran;
  for (const auto& [task, record] : runs_) {
    ended.emplace_back(task, record.run);
    ran.push_back(task);
  }
  runs_.clear();
  occupied_ = {};
  if (gone_)
    TellFoundAgain(true);
  if (!ran.empty()) {
    owner_.OnLost(*this, ran, gone_);
    if (!gone_)
      missing_ = std::move(ran);
  }
  for (const auto& [task, run] : ended)
    owner_.OnRunEnded(*this, task, run, how);
}

void upstream_session::TellFoundAgain(bool crashed) {
  if (!missing_.empty())
    owner_.OnFoundAgain(*this, std::exchange(missing_, {}), crashed);
}

void upstream_session::NoteLease(upstream_time until) {
  lease_end_ = std::max(lease_end_, until);
  given_until_ = std::max(given_until_, until);
  WatchLease();
}

void upstream_session::TakeEnds(const hold_reply& reply) {
  for (const listed_end& end : reply.ended) {
    // Two calls may bring the same end.
    if (end.sequence <= acknowledged_)
      continue;
    acknowledged_ = end.sequence;
    newest_ends_ = std::max(newest_ends_, reply.clock);
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

void upstream_session::TakeRunning(const hold_reply& reply) {
  // Replies may overtake each other: this one may have been written before the
  // end that another one brought, and the run would look like a stranger's.
  uint64_t last_end = reply.ended.empty() ? 0 : reply.ended.back().sequence;
  bool is_stale = reply.clock < newest_ends_ ||
                  (reply.clock == newest_ends_ && last_end < acknowledged_);
  std::vector<listed_run> found_runs;
  for (const listed_run& listed : reply.running) {
    auto found = runs_.find(listed.task);
    if (found == runs_.end()) {
      if (is_stale)
        continue;
      run_record record;
      record.run = listed.run;
      record.phase = run_phase::kFound;
      record.since = clock_.now();
      runs_.emplace(listed.task, record);
      found_runs.push_back(listed);
      continue;
    }
    run_record& record = found->second;
    if (listed.run < record.run)
      continue;
    if (listed.percent)
      record.NoteProgress(*listed.percent, clock_.now());
    if (record.IsUnclear()) {
      record.phase = run_phase::kRunning;
      record.since = clock_.now();
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
    bool too_late = reply.clock.ms > record.not_after.ms + kClockMarginMs ||
                    (record.refused_since && sent >= *record.refused_since);
    bool can_judge = record.IsUnclear() ? too_late : record.since < sent;
    if (!IsListed(reply, task, record.run) && can_judge)
      unlisted.emplace_back(task, record.run);
  }
  for (const auto& [task, run] : unlisted) {
    auto found = runs_.find(task);
    if (found == runs_.end())
      continue;
    bool never_began = found->second.IsUnclear();
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
