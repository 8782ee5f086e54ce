#include "runs/upstream_session.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jasminedyke {

namespace {

// How long a hold waits at the upstream while something runs there. If its
// reply is lost, ends stay unknown for as long. Ends are more frequent than
// this on busy upstreams, so a short wait costs few additional calls.
constexpr duration kHoldWait = std::chrono::milliseconds(300);
// How long a hold waits at the upstream while nothing runs there. This is the
// longest wait that upstreams allow.
constexpr duration kIdleHoldWait = std::chrono::milliseconds(2000);
// Pause after the last run's end, during which the next start may send the hold
// that acknowledges that end. The pause must stay well below the several
// seconds after which unacknowledged ends count as lost.
constexpr duration kIdleHoldPause = std::chrono::milliseconds(1000);
// Remaining time of a lease at which it is extended, if no hold is due before.
constexpr duration kLeaseRenewalMargin = std::chrono::milliseconds(250);
// An order that takes longer to arrive is refused as late. The limit also sets
// the initial lease, and is long enough for most tasks to end under it.
constexpr duration kStartTimeLimit = std::chrono::milliseconds(500);
// Starts are usually answered within a fraction of this. A poll checks an
// unanswered start early enough for callers of short tasks to meet their
// target.
constexpr duration kStartReplyTimeout = std::chrono::milliseconds(30);
// Interval between polls for an unanswered start, which doubles each time. A
// poll is answered as fast as a start, but an unresponsive upstream must not be
// flooded.
constexpr duration kMinStartCheckInterval = std::chrono::milliseconds(40);
constexpr duration kMaxStartCheckInterval = std::chrono::milliseconds(320);
// How often an order to start is sent to an upstream that answers other calls,
// if the task may then be moved. Faults that lose orders last for seconds, and
// may affect one upstream only.
constexpr int kMaxSends = 3;
// The time after which an order is sent again doubles with each second one, up
// to this many times.
constexpr int kMaxRepeatDoublings = 3;
// Pause after a failed hold. The first retry must come well within the lease.
// Also the interval between checks whether the lease has expired.
constexpr duration kHoldRetryPause = std::chrono::milliseconds(60);
constexpr duration kMaxHoldRetryPause = std::chrono::milliseconds(1000);
// The part of its wait before which a hold's reply without an end is early, and
// the number of such replies after which the pause no longer grows.
constexpr int kEarlyShare = 2;
constexpr int kMaxEarlyReplies = 5;
// Pause before an unanswered order to stop is repeated. Orders time out after a
// multiple of it, so this matters only where they fail at once.
constexpr duration kStopRetryPause = std::chrono::milliseconds(20);
// Time after which an upstream that has never replied counts as settled. An
// earlier owner that can reach it may still extend its lease then, but only
// while the owners of its jobs confirm to it: tasks that move here wait for
// that (`run_home::EarlierRunsAreKnown`).
constexpr duration kSettleTimeout = std::chrono::milliseconds(2500);

}  // namespace

upstream_session::upstream_session(scheduler& clock,
                                   upstream_port& port,
                                   const upstream_info& info,
                                   fencing_token token,
                                   const limits& session_limits,
                                   answer_times& times,
                                   late_starts& late,
                                   owner& session_owner)
    : clock_(clock),
      port_(port),
      info_(info),
      largest_capacity_(info.capacity),
      token_(token),
      limits_(session_limits),
      times_(times),
      owner_(session_owner),
      created_at_(clock.now()),
      late_starts_(late),
      incarnation_(std::make_unique<incarnation_state>(clock, info.birth)) {
  SendHold(incarnation_->hold);
}

upstream_session::~upstream_session() {
  port_.Drop(info_.id);
}

void upstream_session::SetInfo(const upstream_info& info) {
  registered_ = true;
  bool has_new_birth =
      info.birth != upstream_birth() && info.birth != info_.birth;
  bool is_outdated = has_new_birth && info.birth < incarnation_->birth &&
                     incarnation_->MatchesRegistration(info_.birth);
  if (is_outdated) {
    incarnation_->LogBirth(info_.id, "upstream_row_outdated", info.birth);
    return;
  }
  info_ = info;
  if (has_new_birth)
    ApplyRegisteredBirth();
  largest_capacity_ = ComponentwiseMax(largest_capacity_, info.capacity);
}

void upstream_session::ApplyRegisteredBirth() {
  // The capacity of another incarnation may differ.
  largest_capacity_ = info_.capacity;
  // An instance of an older release omits the birth from registrations.
  if (incarnation_->birth == upstream_birth()) {
    incarnation_->birth = info_.birth;
    return;
  }
  if (info_.birth <= incarnation_->birth)
    return;
  BeginIncarnation(info_.birth);
  SendHold(incarnation_->hold);
}

// Ends the runs that are known to have started in the earlier incarnation. A
// run whose start was not answered may have run there, and its order may still
// reach the new incarnation: that run is over only once the new one refuses it.
void upstream_session::BeginIncarnation(upstream_birth birth) {
  incarnation_->LogBirth(info_.id, "upstream_reborn", birth);
  // Discards the replies to earlier calls.
  port_.Drop(info_.id);
  ++incarnation_number_;
  std::unique_ptr<incarnation_state> old = std::move(incarnation_);
  incarnation_ = std::make_unique<incarnation_state>(clock_, birth, *old);
  if (incarnation_->runs.Unconfirmed() > 0)
    ScheduleStartCheck(times_.Timeout(kStartReplyTimeout));
  late_starts_.OnNewIncarnation(info_.id);
  RefuseStarts();
  upstream_loss loss{{info_.id, old->birth}, true, {}};
  for (const auto& [task, record] : old->runs.all()) {
    // A start request carried over from an earlier incarnation is counted as
    // lost once, with the incarnation that it was sent to.
    if (!record.carried)
      loss.runs.push_back({task, record.seen});
  }
  owner_.OnReborn(*this);
  ReportFoundAgain(true);
  if (!loss.runs.empty())
    owner_.OnLost(*this, loss);
  for (const auto& [task, record] : old->runs.all()) {
    if (record.seen)
      owner_.OnRunEnded(*this, task, record.run, run_end::kLapsed);
  }
}

bool upstream_session::usable() const {
  return registered_ && incarnation_->settled && incarnation_->clock.known() &&
         !incarnation_->gone &&
         incarnation_->MatchesRegistration(info_.birth) && !info_.draining &&
         incarnation_->failed_holds == 0 && !incarnation_->start_overdue &&
         clock_.now() >= incarnation_->no_starts_until &&
         !incarnation_->runs.HasFound();
}

bool upstream_session::IsStartRepeated(const task_name& task) const {
  const run_record* found = incarnation_->runs.Find(task);
  return found && found->IsUnconfirmed() && found->sends > 1;
}

std::optional<run_progress> upstream_session::Progress(
    const task_name& task) const {
  const run_record* found = incarnation_->runs.Find(task);
  if (!found || !found->progress)
    return std::nullopt;
  run_progress progress = *found->progress;
  progress.began = found->since;
  return progress;
}

void upstream_session::Start(const task_name& task,
                             run_number run,
                             const std::string& spec,
                             const resource_amount& need,
                             const std::optional<start_delegate>& delegate) {
  run_record record;
  record.run = run;
  record.need = need;
  record.since = clock_.now();
  incarnation_->runs.Put(task, record);
  // An idle upstream's next hold may be due only later, and the report of this
  // run's end must not wait for it.
  if (!incarnation_->hold.in_flight && incarnation_->failed_holds == 0)
    incarnation_->hold.timer.StartAfter(
        duration::zero(), [this] { SendHold(incarnation_->hold); });
  SendSecondHold();
  if (!incarnation_->start_timer.active())
    ScheduleStartCheck(times_.Timeout(kStartReplyTimeout));
  SendStart(task, *incarnation_->runs.Find(task), spec, delegate);
}

void upstream_session::SendStart(
    const task_name& task,
    run_record& record,
    const std::string& spec,
    const std::optional<start_delegate>& delegate) {
  run_order order;
  order.task = task;
  order.run = record.run;
  order.spec = spec;
  order.token = token_;
  order.delegate = delegate;
  upstream_time now = incarnation_->clock.LowerBound();
  // The order prolongs the lease of the upstream's other runs as well.
  order.not_after =
      std::max(now, std::min(incarnation_->clock.OrderLimit(kStartTimeLimit),
                             NextLeaseEnd()));
  record.not_after = std::max(record.not_after, order.not_after);
  RecordRequestedLease(order.not_after);
  port_.Start(info_.id, order,
              [this, task, run = record.run, number = incarnation_number_,
               sent = clock_.now(), now](const start_reply& reply) {
                if (number == incarnation_number_)
                  OnStarted(task, run, sent, now, reply);
              });
}

void upstream_session::RepeatStart(
    const task_name& task,
    const std::string& spec,
    const std::optional<start_delegate>& delegate) {
  run_record& record = *incarnation_->runs.Find(task);
  AddLateStart(task, record.run, record.since);
  record.since = clock_.now();
  AddLateStart(task, record.run, record.since);
  ++record.sends;
  SendStart(task, record, spec, delegate);
}

void upstream_session::AddLateStart(const task_name& task,
                                    run_number run,
                                    time_point sent) {
  if (incarnation_->birth != upstream_birth())
    late_starts_.Add(info_.id, {task, run}, sent, clock_.now());
}

bool upstream_session::MayRepeat(const run_record& record) const {
  bool may_move = incarnation_->birth == upstream_birth();
  return record.may_repeat && !record.carried && !record.stop_wanted &&
         !record.stop_in_flight && !record.stop_confirmed_at && registered_ &&
         !incarnation_->gone && !info_.draining &&
         incarnation_->MatchesRegistration(info_.birth) &&
         (!may_move || record.sends < kMaxSends);
}

void upstream_session::OnStarted(const task_name& task,
                                 run_number run,
                                 time_point sent,
                                 upstream_time ordered,
                                 const start_reply& reply) {
  if (reply.result != start_result::kUnknown)
    late_starts_.Remove(info_.id, {task, run}, sent);
  if (reply.clock) {
    incarnation_->clock.AddReading(*reply.clock, sent);
    times_.Add(clock_.now() - sent);
    incarnation_->start_overdue = false;
  }
  run_record* found = incarnation_->runs.Find(task);
  if (!found || found->run != run)
    return;
  run_record& record = *found;
  // A hold may have listed the run before the reply to its start arrived.
  bool was_starting = record.phase == run_phase::kStarting;
  switch (reply.result) {
    case start_result::kStarted:
      incarnation_->backoff = duration::zero();
      record.phase = run_phase::kRunning;
      record.since = clock_.now();
      UpdateSeen(record, ordered, reply);
      if (record.stop_wanted)
        SendStop(record, task);
      return;
    case start_result::kUnknown:
      RecordUnansweredCall();
      if (was_starting)
        record.phase = run_phase::kUnanswered;
      SendPoll();
      return;
    case start_result::kNotSent:
      incarnation_->BackOff();
      break;
    case start_result::kFenced:
      owner_.OnFenced(*this);
      return;
    case start_result::kGone:
      incarnation_->gone = true;
      EndRuns(run_end::kLapsed);
      return;
    case start_result::kUnwell:
      incarnation_->BackOff();
      break;
    case start_result::kLate:
    case start_result::kNoRoom:
      // The reading of the clock is old, or a run that is unknown here occupies
      // capacity; the next hold tells.
      incarnation_->no_starts_until = clock_.now() + kHoldRetryPause;
      break;
    default:
      break;
  }
  if (!record.IsUnconfirmed())
    return;
  // Another order for the run may yet arrive, or has been carried out.
  if (record.sends > 1) {
    bool transient = reply.result == start_result::kNotSent ||
                     reply.result == start_result::kLate;
    record.may_repeat = record.may_repeat && transient;
    SendPoll();
    return;
  }
  if (!was_starting)
    return;
  incarnation_->runs.Remove(task);
  owner_.OnNotStarted(*this, task, run, reply.result);
}

// The reply to a start contains no birth. If its clock is behind the reading
// `ordered` that was known when the order was sent, a later incarnation has
// replied.
void upstream_session::UpdateSeen(run_record& record,
                                  upstream_time ordered,
                                  const start_reply& reply) {
  record.seen = reply.clock && *reply.clock >= ordered;
  if (!record.seen && incarnation_->birth != upstream_birth())
    SendPoll();
}

void upstream_session::Stop(const task_name& task) {
  run_record* found = incarnation_->runs.Find(task);
  if (!found)
    return;
  found->stop_wanted = true;
  SendStop(*found, task);
}

void upstream_session::SendStop(run_record& record, const task_name& task) {
  if (record.stop_in_flight)
    return;
  record.stop_in_flight = true;
  port_.Stop(info_.id,
             {task, record.run, token_, times_.Timeout(kReplyTimeout)},
             [this, task, run = record.run,
              number = incarnation_number_](call_result result) {
               if (number != incarnation_number_)
                 return;
               run_record* found = incarnation_->runs.Find(task);
               if (found && found->run == run) {
                 found->stop_in_flight = false;
                 OnStopAnswered(*found, result);
               }
               if (result == call_result::kFenced)
                 owner_.OnFenced(*this);
             });
}

void upstream_session::OnStopAnswered(run_record& record, call_result result) {
  if (result == call_result::kUnknown)
    RecordUnansweredCall();
  bool lost =
      result == call_result::kUnknown || result == call_result::kNotSent;
  if (lost && record.stop_wanted)
    ScheduleStopRetry();
  if (result != call_result::kOk || !record.IsUnconfirmed())
    return;
  record.stop_confirmed_at = clock_.now();
  SendPoll();
}

// Does not wait until the run is listed again: the reply to a hold may take
// long, and the run keeps the leases of others short.
void upstream_session::ScheduleStopRetry() {
  if (incarnation_->stop_timer.active())
    return;
  incarnation_->stop_timer.StartAfter(kStopRetryPause, [this] {
    for (const auto& [task, record] : incarnation_->runs.all()) {
      if (record.stop_wanted)
        SendStop(*incarnation_->runs.Find(task), task);
    }
  });
}

// Stopping a run that is not there makes the upstream refuse its start.
void upstream_session::RefuseStarts() {
  if (incarnation_->failed_holds > 0) {
    ScheduleRefusals();
    return;
  }
  for (const late_starts::start& late :
       late_starts_.Unrefused(info_.id, clock_.now())) {
    if (!incarnation_->runs.Find(late.first))
      RefuseStart(late);
  }
}

void upstream_session::RefuseStart(const late_starts::start& refused) {
  port_.Stop(
      info_.id,
      {refused.first, refused.second, token_, times_.Timeout(kReplyTimeout)},
      [this, refused, number = incarnation_number_](call_result result) {
        if (number != incarnation_number_)
          return;
        if (result == call_result::kOk) {
          late_starts_.OnRefused(info_.id, refused);
          owner_.OnCapacityChanged(*this);
        } else if (result == call_result::kFenced) {
          owner_.OnFenced(*this);
        } else if (result != call_result::kGone) {
          ScheduleRefusals();
        }
      });
}

void upstream_session::ScheduleRefusals() {
  if (!late_starts_.empty() && !incarnation_->refusal_timer.active())
    incarnation_->refusal_timer.StartAfter(RetryPause(),
                                           [this] { RefuseStarts(); });
}

void upstream_session::ScheduleStartCheck(duration pause) {
  incarnation_->start_timer.StartAfter(pause, [this, pause] {
    duration next = CheckStarts() ? kMinStartCheckInterval : pause * 2;
    if (incarnation_->runs.Unconfirmed() > 0)
      ScheduleStartCheck(
          std::clamp(next, kMinStartCheckInterval, kMaxStartCheckInterval));
  });
}

bool upstream_session::CheckStarts() {
  std::vector<task_name> overdue = incarnation_->runs.UnconfirmedLongerThan(
      clock_.now(), times_.Timeout(kStartReplyTimeout));
  if (overdue.empty())
    return false;
  for (const task_name& task : overdue) {
    if (!incarnation_->clock.HasReadingSince(
            incarnation_->runs.Find(task)->since))
      incarnation_->start_overdue = true;
  }
  RecordUnansweredCall();
  SendPoll();
  return RepeatStarts(overdue);
}

// An upstream that answers other calls has probably lost the order, or will
// carry it out late. One that answers nothing must not be flooded.
bool upstream_session::RepeatStarts(const std::vector<task_name>& overdue) {
  if (!incarnation_->HasRecentReply())
    return false;
  bool any_repeated = false;
  for (const task_name& task : overdue) {
    run_record* record = incarnation_->runs.Find(task);
    if (!record || !record->IsUnconfirmed())
      continue;
    int sends = record->sends;
    RequestRepeat(*record, task);
    any_repeated = any_repeated || record->sends > sends;
  }
  return any_repeated;
}

bool upstream_session::RequestRepeat(run_record& record,
                                     const task_name& task) {
  record.may_repeat = MayRepeat(record) && !IsLeaseCut();
  int doublings = std::min((record.sends - 1) / 2, kMaxRepeatDoublings);
  bool due = clock_.now() - record.since >=
             times_.Timeout(kStartReplyTimeout) * (1 << doublings);
  if (record.may_repeat && due)
    record.may_repeat = owner_.OnStartUnanswered(*this, task, record.run);
  return record.may_repeat;
}

// Stops starts that are neither answered nor listed and can't be repeated. Such
// an order may be in transit for seconds, and waiting for its time limit would
// make the answer to a caller of short tasks late. Once the upstream has
// confirmed the stop of a run number, it refuses the order whenever it arrives.
void upstream_session::StopUnlistedStarts(time_point sent,
                                          const hold_reply& reply) {
  duration reply_timeout = times_.Timeout(kStartReplyTimeout);
  listed_runs listed(reply);
  for (const task_name& task :
       incarnation_->runs.UnconfirmedLongerThan(sent, reply_timeout)) {
    run_record* record = incarnation_->runs.Find(task);
    if (!record->stop_confirmed_at && !listed.Contain(task, record->run) &&
        !RequestRepeat(*record, task))
      SendStop(*record, task);
  }
}

void upstream_session::Adopt(const task_name& task,
                             const resource_amount& need) {
  run_record* found = incarnation_->runs.Find(task);
  if (!found || found->phase != run_phase::kFound)
    return;
  incarnation_->runs.Adopt(*found, need);
  if (!incarnation_->runs.HasFound())
    owner_.OnCapacityChanged(*this);
}

// A lease holds for all runs on the upstream, and is never shortened.
upstream_time upstream_session::NextLeaseEnd() {
  time_point now = clock_.boot_now();
  time_point end = now + limits_.requested_lease;
  for (const auto& [task, record] : incarnation_->runs.all())
    end = std::min(end, owner_.EndOfRun(task));
  incarnation_->lease_cut = end - now < kStartTimeLimit;
  return incarnation_->clock.EarliestAt(end);
}

// The lease must not be extended while runs of an earlier owner are unclaimed:
// they must be able to lapse, as their job may have been submitted again and be
// running elsewhere.
hold_order upstream_session::MakeHoldOrder() {
  hold_order order;
  order.token = token_;
  // The next incarnation must not remove its ended runs because of a sequence
  // number of this incarnation.
  order.acknowledged =
      incarnation_->MayBeSuperseded() ? 0 : incarnation_->acknowledged;
  order.reply_timeout = times_.Timeout(kReplyTimeout);
  if (incarnation_->settled && incarnation_->clock.known() &&
      !incarnation_->runs.HasFound() && !incarnation_->runs.empty() &&
      (incarnation_->HasRecentReply() || incarnation_->failed_holds == 0)) {
    upstream_time until = NextLeaseEnd();
    if (until > incarnation_->clock.LowerBound())
      order.lease_until = until;
    RecordRequestedLease(until);
  }
  return order;
}

void upstream_session::SendHold(hold_call& hold) {
  if (hold.in_flight || incarnation_->gone)
    return;
  hold_order order = MakeHoldOrder();
  // A hold that waits would delay the discovery of another incarnation.
  bool may_wait =
      incarnation_->any_hold_answered || !incarnation_->has_predecessor;
  if (incarnation_->settled && incarnation_->failed_holds == 0 && may_wait &&
      !incarnation_->MayBeSuperseded()) {
    bool long_lease = order.lease_until && !incarnation_->lease_cut;
    order.wait = incarnation_->runs.empty() ? kIdleHoldWait
                 : long_lease               ? kHoldWait
                                            : kHoldRetryPause;
  }
  hold.in_flight = true;
  hold.wait = order.wait;
  hold.idle = incarnation_->runs.empty();
  hold.timer.Stop();
  port_.Hold(info_.id, order,
             [this, &hold, number = incarnation_number_,
              sent = clock_.now()](const hold_reply& reply) {
               if (number != incarnation_number_)
                 return;
               hold.in_flight = false;
               if (reply.result == call_result::kOk)
                 OnHoldReply(hold, sent, reply);
               else
                 OnHoldFailed(hold, sent, reply.result);
             });
}

// Sends a second hold while replies are being lost, as ends would otherwise be
// learnt late and the capacity that they free would stay unused meanwhile. If
// the replies of all upstreams are late, none are lost, and a second hold for
// each end would only double the traffic on the link.
void upstream_session::SendSecondHold() {
  bool wanted = incarnation_->settled && incarnation_->failed_holds == 0 &&
                incarnation_->HasRecentUnansweredCall() && !times_.AllLate() &&
                !incarnation_->second_hold.timer.active() &&
                !incarnation_->runs.empty() && !incarnation_->runs.HasFound();
  if (wanted)
    SendHold(incarnation_->second_hold);
}

void upstream_session::SendPoll() {
  if (incarnation_->gone || incarnation_->runs.empty())
    return;
  if (incarnation_->poll_in_flight) {
    incarnation_->poll_again = true;
    return;
  }
  hold_order order = MakeHoldOrder();
  incarnation_->poll_in_flight = true;
  incarnation_->poll_again = false;
  port_.Hold(info_.id, order,
             [this, number = incarnation_number_,
              sent = clock_.now()](const hold_reply& reply) {
               if (number != incarnation_number_)
                 return;
               incarnation_->poll_in_flight = false;
               OnPollReply(sent, reply);
               if (incarnation_->poll_again)
                 SendPoll();
             });
}

// Applies the reply of a later incarnation before returning. This replaces
// `incarnation_` and invalidates all references into it.
reply_source upstream_session::ResolveReplySource(time_point sent,
                                                  const hold_reply& reply) {
  reply_source source = incarnation_->ClassifyReply(info_.id, sent, reply);
  if (source == reply_source::kLater) {
    BeginIncarnation(*reply.birth);
    OnHoldAnswered(incarnation_->hold, sent, reply);
  }
  return source;
}

void upstream_session::OnPollReply(time_point sent, const hold_reply& reply) {
  if (reply.result != call_result::kOk) {
    OnPollFailed(sent);
    return;
  }
  times_.Add(clock_.now() - sent);
  reply_source source = ResolveReplySource(sent, reply);
  if (source == reply_source::kCurrent)
    ApplyReply(sent, reply);
  else if (source == reply_source::kUnusable)
    OnPollFailed(sent);
}

// Retries on a timer of its own, as a hold that waits at the upstream may
// reveal the failure only seconds later.
void upstream_session::OnPollFailed(time_point sent) {
  RecordUnansweredCall();
  incarnation_->last_hold_unanswered = true;
  if (!incarnation_->clock.HasReadingSince(sent))
    ++incarnation_->failed_holds;
  incarnation_->poll_timer.StartAfter(RetryPause(), [this] { SendPoll(); });
  CheckLapse();
}

duration upstream_session::RetryPause() const {
  int doublings = std::clamp(incarnation_->failed_holds - 1, 0, 5);
  return std::min(kMaxHoldRetryPause, kHoldRetryPause * (1 << doublings));
}

void upstream_session::ScheduleLeasePoll() {
  if (incarnation_->runs.empty() || incarnation_->failed_holds > 0)
    return;
  duration left =
      std::chrono::milliseconds(incarnation_->requested_lease_end.ms -
                                incarnation_->clock.UpperBound().ms);
  // While the lease can't be prolonged, the holds that wait for a short time
  // try again more often than this.
  duration shortest =
      incarnation_->lease_cut ? 2 * kHoldRetryPause : duration::zero();
  duration pause = std::max(shortest, left - kLeaseRenewalMargin);
  // If the reply to an idle hold were lost, ends would stay unknown for its
  // whole wait.
  if (incarnation_->hold.in_flight && incarnation_->hold.idle)
    pause = std::min(pause, kHoldWait);
  incarnation_->poll_timer.StartAfter(pause, [this] { SendPoll(); });
}

void upstream_session::OnHoldReply(hold_call& hold,
                                   time_point sent,
                                   const hold_reply& reply) {
  reply_source source = ResolveReplySource(sent, reply);
  if (source == reply_source::kCurrent)
    OnHoldAnswered(hold, sent, reply);
  else if (source == reply_source::kUnusable)
    OnHoldFailed(hold, sent, call_result::kUnknown);
}

void upstream_session::OnHoldAnswered(hold_call& hold,
                                      time_point sent,
                                      const hold_reply& reply) {
  incarnation_->settled = true;
  bool is_early =
      reply.ended.empty() && clock_.now() - sent < hold.wait / kEarlyShare;
  hold.early_replies =
      is_early ? std::min(hold.early_replies + 1, kMaxEarlyReplies) : 0;
  ApplyReply(sent, reply);
  ScheduleNextHold(hold, !reply.ended.empty());
}

void upstream_session::ApplyReply(time_point sent, const hold_reply& reply) {
  bool was_usable = usable();
  // Until its first reply an earlier owner, or an order sent to an earlier
  // incarnation, may have extended the lease.
  if (!incarnation_->any_hold_answered)
    incarnation_->AddUnknownLease(reply.clock, limits_);
  incarnation_->failed_holds = 0;
  incarnation_->any_hold_answered = true;
  incarnation_->last_hold_unanswered = false;
  incarnation_->start_overdue = false;
  incarnation_->lapse_timer.Stop();
  incarnation_->clock.AddReading(reply.clock, sent);
  ReportFoundAgain(false);
  ApplyEnds(reply);
  ApplyRunning(reply);
  EndUnlistedRuns(sent, reply);
  StopUnlistedStarts(sent, reply);
  if (!reply.ended.empty() || !was_usable)
    owner_.OnCapacityChanged(*this);
}

// An upstream that does not wait for ends, or that lists one which can't be
// read, would be called without a pause. Of two holds that wait for the same
// end, one may be answered early.
duration upstream_session::EarlyReplyPause(const hold_call& hold) {
  return hold.early_replies < 2
             ? duration::zero()
             : kHoldRetryPause * (1 << (hold.early_replies - 2));
}

void upstream_session::ScheduleNextHold(hold_call& hold, bool any_end) {
  bool is_main_hold = &hold == &incarnation_->hold;
  duration pause = EarlyReplyPause(hold);
  if (is_main_hold && any_end && incarnation_->runs.empty())
    pause = kIdleHoldPause;
  if (pause > duration::zero())
    hold.timer.StartAfter(pause, [this, is_main_hold] {
      if (is_main_hold)
        SendHold(incarnation_->hold);
      else
        SendSecondHold();
    });
  else if (is_main_hold)
    SendHold(hold);
  SendSecondHold();
}

void upstream_session::OnHoldFailed(hold_call& hold,
                                    time_point sent,
                                    call_result result) {
  if (result == call_result::kFenced) {
    owner_.OnFenced(*this);
    hold.timer.StartAfter(kHoldRetryPause, [this, &hold] { SendHold(hold); });
    return;
  }
  if (result == call_result::kGone) {
    incarnation_->gone = true;
    incarnation_->settled = true;
    EndRuns(run_end::kLapsed);
    return;
  }
  RecordUnansweredCall();
  incarnation_->last_hold_unanswered = true;
  // If the upstream has replied to other calls since, a single lost reply does
  // not make it unusable.
  if (incarnation_->clock.HasReadingSince(sent)) {
    ScheduleNextHold(hold, false);
    return;
  }
  ++incarnation_->failed_holds;
  hold.timer.StartAfter(RetryPause(), [this, &hold] { SendHold(hold); });
  CheckLapse();
}

// Runs repeatedly after failed holds, until the upstream replies or none of the
// session's runs can be running there.
void upstream_session::CheckLapse() {
  if (!incarnation_->settled && clock_.now() - created_at_ >= kSettleTimeout)
    SettleWithoutReply();
  if (incarnation_->settled && incarnation_->IsLeaseExpired()) {
    EndRuns(run_end::kLapsed);
    if (incarnation_->runs.empty())
      return;
  }
  if (!incarnation_->lapse_timer.active())
    incarnation_->lapse_timer.StartAfter(kHoldRetryPause,
                                         [this] { CheckLapse(); });
}

void upstream_session::SettleWithoutReply() {
  incarnation_->settled = true;
  owner_.OnCapacityChanged(*this);
}

void upstream_session::EndRuns(run_end how) {
  std::vector<ended_run> ended = incarnation_->RemoveEndedRuns(clock_.now());
  upstream_loss loss{{info_.id, incarnation_->birth}, incarnation_->gone, {}};
  for (const ended_run& entry : ended)
    loss.runs.push_back({entry.task, entry.begun});
  if (incarnation_->gone)
    ReportFoundAgain(true);
  if (!ended.empty() && !unreachable_loss_)
    owner_.OnLost(*this, loss);
  if (!ended.empty() && !incarnation_->gone)
    AddUnreachableRuns(loss);
  for (const ended_run& entry : ended)
    owner_.OnRunEnded(*this, entry.task, entry.run, how);
  ScheduleRefusals();
}

void upstream_session::AddUnreachableRuns(const upstream_loss& loss) {
  if (!unreachable_loss_)
    unreachable_loss_ = upstream_loss{loss.upstream, false, {}};
  unreachable_loss_->runs.insert(unreachable_loss_->runs.end(),
                                 loss.runs.begin(), loss.runs.end());
}

void upstream_session::ReportFoundAgain(bool crashed) {
  if (auto loss = std::exchange(unreachable_loss_, std::nullopt))
    owner_.OnFoundAgain(*this, *loss, crashed);
}

void upstream_session::RecordRequestedLease(upstream_time until) {
  incarnation_->lease_end = std::max(incarnation_->lease_end, until);
  incarnation_->requested_lease_end =
      std::max(incarnation_->requested_lease_end, until);
  ScheduleLeasePoll();
}

void upstream_session::ApplyEnds(const hold_reply& reply) {
  // Ends of runs that are unknown here are reported too: an earlier owner may
  // have started them for a job that is still wanted.
  for (const listed_end& end : incarnation_->ApplyEnds(reply)) {
    // An upstream refuses a run that has ended there.
    late_starts_.OnRefused(info_.id, {end.task, end.run});
    owner_.OnRunEnded(*this, end.task, end.run, end.how);
  }
}

void upstream_session::ApplyRunning(const hold_reply& reply) {
  std::vector<listed_run> unknown_runs =
      incarnation_->ApplyRunning(reply, limits_);
  for (const listed_run& listed : reply.running) {
    run_record* record = incarnation_->runs.Find(listed.task);
    if (record && record->stop_wanted && listed.run >= record->run)
      SendStop(*record, listed.task);
  }
  for (const listed_run& found : unknown_runs)
    owner_.OnFound(*this, found.task, found.run);
}

void upstream_session::EndUnlistedRuns(time_point sent,
                                       const hold_reply& reply) {
  for (const ended_run& entry : incarnation_->runs.EndedRuns(sent, reply)) {
    // The owner's handling of another ended run may have removed this one.
    const run_record* record = incarnation_->runs.Find(entry.task);
    if (!record)
      continue;
    if (record->IsUnconfirmed()) {
      AddLateStart(entry.task, record->run, record->since);
      late_starts_.OnRefused(info_.id, {entry.task, record->run});
    } else {
      ScheduleRefusals();
    }
    incarnation_->runs.Remove(entry.task);
    if (entry.never_began)
      owner_.OnNotStarted(*this, entry.task, entry.run, start_result::kUnknown);
    else
      owner_.OnRunEnded(*this, entry.task, entry.run, run_end::kLapsed);
  }
}

}  // namespace jasminedyke
