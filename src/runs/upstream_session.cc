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
// An order that takes longer on its way is refused as late. Long enough that
// most tasks end under the lease which their start brings.
constexpr duration kStartLimit = std::chrono::milliseconds(500);
// Starts are answered within a fraction of this; one that is not is looked for
// before callers of short tasks have lost their objective.
constexpr duration kStartPatience = std::chrono::milliseconds(30);
// Between looks for an unanswered start, doubled each time: a look is answered
// as fast as a start, and an upstream that answers nothing must not be flooded.
constexpr duration kStartRecheck = std::chrono::milliseconds(40);
constexpr duration kLongestStartRecheck = std::chrono::milliseconds(320);
// After a failed hold. The first repetition must come well within the lease.
constexpr duration kHoldRetry = std::chrono::milliseconds(60);
constexpr duration kLongestHoldRetry = std::chrono::milliseconds(1000);
// An upstream that never answered us may still be prolonged by an earlier
// owner that can reach it. That one learns of its successor from the store's
// row within its renewal interval; then its lease runs out.
constexpr duration kSettleWithoutAnswer = std::chrono::milliseconds(2500);

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
      begun_(clock.now()),
      life_(std::make_unique<incarnation_state>(clock, info.birth)) {
  SendHold(life_->hold);
}

upstream_session::~upstream_session() {
  port_.Drop(info_.id);
}

void upstream_session::SetInfo(const upstream_info& info) {
  bool is_told = info.birth != upstream_birth() && info.birth != info_.birth;
  bool is_outdated = is_told && info.birth < life_->birth &&
                     life_->IsRegisteredAs(info_.birth);
  if (is_outdated) {
    life_->LogBirth(info_.id, "upstream_row_outdated", info.birth);
    return;
  }
  info_ = info;
  if (is_told)
    TakeRegisteredBirth();
  largest_capacity_ = MaximumOf(largest_capacity_, info.capacity);
}

void upstream_session::TakeRegisteredBirth() {
  // It may be of another kind.
  largest_capacity_ = info_.capacity;
  // An instance of an older release passes registrations on without it.
  if (life_->birth == upstream_birth()) {
    life_->birth = info_.birth;
    return;
  }
  if (info_.birth <= life_->birth)
    return;
  BeginLife(info_.birth);
  SendHold(life_->hold);
}

// What is known to run in the earlier incarnation is over. What was ordered of
// it without an answer may have run there, and the order may still arrive: it
// is over once the new one refuses it.
void upstream_session::BeginLife(upstream_birth birth) {
  life_->LogBirth(info_.id, "upstream_reborn", birth);
  // No answer to a call of before reaches us any more.
  port_.Drop(info_.id);
  ++lives_;
  std::unique_ptr<incarnation_state> old = std::move(life_);
  life_ = std::make_unique<incarnation_state>(clock_, birth, *old);
  if (life_->runs.HasUnclear())
    WatchStarts(times_.Patience(kStartPatience));
  upstream_loss loss{{info_.id, old->birth}, true, {}};
  for (const auto& [task, record] : old->runs.all()) {
    // One order, whichever incarnations it is carried over to.
    if (!record.carried)
      loss.runs.push_back({task, record.seen});
  }
  owner_.OnReborn(*this);
  TellFoundAgain(true);
  if (!loss.runs.empty())
    owner_.OnLost(*this, loss);
  for (const auto& [task, record] : old->runs.all()) {
    if (record.seen)
      owner_.OnRunEnded(*this, task, record.run, run_end::kLapsed);
  }
}

bool upstream_session::usable() const {
  return life_->settled && life_->clock.known() && !life_->gone &&
         life_->IsRegisteredAs(info_.birth) && !info_.draining &&
         life_->failed_holds == 0 && !life_->in_doubt &&
         clock_.now() >= life_->refused_until && !life_->runs.HasFound();
}

std::optional<run_progress> upstream_session::Progress(
    const task_name& task) const {
  const run_record* found = life_->runs.Find(task);
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
  run_order order;
  order.task = task;
  order.run = run;
  order.spec = spec;
  order.token = token_;
  order.delegate = delegate;
  order.not_after = life_->clock.UpperBound();
  order.not_after.ms += WholeMilliseconds(kStartLimit);
  run_record record;
  record.run = run;
  record.need = need;
  record.since = clock_.now();
  record.ordered = life_->clock.LowerBound();
  record.not_after = order.not_after;
  life_->runs.Put(task, record);
  NoteLease(order.not_after);
  // Its end must not wait for an idle upstream's next hold.
  if (!life_->hold.in_flight && life_->failed_holds == 0)
    life_->hold.timer.StartAfter(duration::zero(),
                                 [this] { SendHold(life_->hold); });
  SendSpareHold();
  if (!life_->start_timer.active())
    WatchStarts(times_.Patience(kStartPatience));
  port_.Start(info_.id, order,
              [this, task, run, life = lives_,
               sent = clock_.now()](const start_reply& reply) {
                if (life == lives_)
                  OnStarted(task, run, sent, reply);
              });
}

void upstream_session::OnStarted(const task_name& task,
                                 run_number run,
                                 time_point sent,
                                 const start_reply& reply) {
  if (reply.clock) {
    life_->clock.AddReading(*reply.clock, sent);
    times_.Note(clock_.now() - sent);
    life_->in_doubt = false;
  }
  run_record* found = life_->runs.Find(task);
  if (!found || found->run != run)
    return;
  run_record& record = *found;
  // A hold may have listed it before the start's own answer arrived.
  bool was_starting = record.phase == run_phase::kStarting;
  switch (reply.result) {
    case start_result::kStarted:
      life_->refusal_pause = duration::zero();
      record.phase = run_phase::kRunning;
      record.since = clock_.now();
      NoteSeen(record, reply);
      if (record.stop_wanted)
        SendStop(record, task);
      return;
    case start_result::kUnknown:
      NoteUnanswered();
      if (was_starting)
        record.phase = run_phase::kUnproven;
      SendLook();
      return;
    case start_result::kNotSent:
      life_->Suspect();
      break;
    case start_result::kFenced:
      owner_.OnFenced(*this);
      return;
    case start_result::kGone:
      life_->gone = true;
      EndAll(run_end::kLapsed);
      return;
    case start_result::kUnwell:
      life_->Suspect();
      break;
    case start_result::kNoRoom:
      // Something occupies room that we don't know of yet; the next hold
      // lists it.
      life_->refused_until = clock_.now() + kHoldRetry;
      break;
    default:
      break;
  }
  if (!was_starting)
    return;
  life_->runs.Remove(task);
  owner_.OnNotStarted(*this, task, run, reply.result);
}

// The answer to a start tells no birth. One whose clock shows less than it did
// when the order was sent is of a later incarnation.
void upstream_session::NoteSeen(run_record& record, const start_reply& reply) {
  record.seen = reply.clock && *reply.clock >= record.ordered;
  if (!record.seen && life_->birth != upstream_birth())
    SendLook();
}

void upstream_session::Stop(const task_name& task) {
  run_record* found = life_->runs.Find(task);
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
             {task, record.run, token_, times_.Patience(kReplyTimeout)},
             [this, task, run = record.run, life = lives_](call_result result) {
               if (life != lives_)
                 return;
               run_record* found = life_->runs.Find(task);
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
    NoteUnanswered();
  if (result != call_result::kOk || !record.IsUnclear())
    return;
  record.refused_since = clock_.now();
  SendLook();
}

void upstream_session::WatchStarts(duration pause) {
  life_->start_timer.StartAfter(pause, [this, pause] {
    CheckStarts();
    if (life_->runs.HasUnclear())
      WatchStarts(std::clamp(pause * 2, kStartRecheck, kLongestStartRecheck));
  });
}

void upstream_session::CheckStarts() {
  std::vector<task_name> in_doubt =
      life_->runs.InDoubt(clock_.now(), times_.Patience(kStartPatience));
  if (in_doubt.empty())
    return;
  for (const task_name& task : in_doubt) {
    if (!life_->clock.HasReadingSince(life_->runs.Find(task)->since))
      life_->in_doubt = true;
  }
  NoteUnanswered();
  SendLook();
}

// A start that is neither listed nor answered may be on its way for seconds.
// Its task would wait for the order's time limit: a caller of short tasks has
// its answer late by then. Once the upstream has confirmed the stop of this run
// number it refuses the order whenever it comes.
void upstream_session::RefuseUnlistedStarts(time_point sent,
                                            const hold_reply& reply) {
  duration patience = times_.Patience(kStartPatience);
  for (const task_name& task : life_->runs.InDoubt(sent, patience)) {
    run_record* record = life_->runs.Find(task);
    if (!record->refused_since && !IsListed(reply, task, record->run))
      SendStop(*record, task);
  }
}

void upstream_session::Adopt(const task_name& task,
                             const resource_amount& need) {
  run_record* found = life_->runs.Find(task);
  if (!found || found->phase != run_phase::kFound)
    return;
  life_->runs.Adopt(*found, need);
  if (!life_->runs.HasFound())
    owner_.OnCapacityChanged(*this);
}

// While runs of an earlier owner are unclaimed, theirs must be allowed to
// lapse: their job may have been sent again and be running elsewhere.
hold_order upstream_session::MakeHold() {
  hold_order order;
  order.token = token_;
  // The next incarnation must not forget ends of its own by our number.
  order.acknowledged = life_->MayBeOver() ? 0 : life_->acknowledged;
  order.reply_timeout = times_.Patience(kReplyTimeout);
  if (life_->settled && life_->clock.known() && !life_->runs.HasFound() &&
      !life_->runs.empty() && (life_->Answers() || life_->failed_holds == 0)) {
    order.lease_until = life_->clock.UpperBound();
    order.lease_until->ms += WholeMilliseconds(limits_.longest_lease);
    NoteLease(*order.lease_until);
  }
  return order;
}

void upstream_session::SendHold(waiting_hold& hold) {
  if (hold.in_flight || life_->gone)
    return;
  hold_order order = MakeHold();
  // One that waits would hide another incarnation as long.
  bool may_wait = life_->answered || !life_->follows;
  if (life_->settled && life_->failed_holds == 0 && may_wait &&
      !life_->MayBeOver()) {
    order.wait = life_->runs.empty() ? kIdleHoldWait
                 : order.lease_until ? kHoldWait
                                     : kHoldRetry;
  }
  hold.in_flight = true;
  hold.idle = life_->runs.empty();
  hold.timer.Stop();
  port_.Hold(info_.id, order,
             [this, &hold, life = lives_,
              sent = clock_.now()](const hold_reply& reply) {
               if (life != lives_)
                 return;
               hold.in_flight = false;
               if (reply.result == call_result::kOk)
                 OnAnswered(hold, sent, reply);
               else
                 OnHoldFailed(hold, sent, reply.result);
             });
}

// While answers get lost, ends are learnt late, and the room that they free
// stays empty as long. Where all upstreams are late none
// of it is lost, and a second hold for each end doubles what is on the link.
void upstream_session::SendSpareHold() {
  bool wanted = life_->settled && life_->failed_holds == 0 &&
                life_->LosesAnswers() && !times_.AllLate() &&
                !life_->runs.empty() && !life_->runs.HasFound();
  if (wanted)
    SendHold(life_->spare_hold);
}

void upstream_session::SendLook() {
  if (life_->gone || life_->runs.empty())
    return;
  if (life_->look_in_flight) {
    life_->look_again = true;
    return;
  }
  hold_order order = MakeHold();
  life_->look_in_flight = true;
  life_->look_again = false;
  port_.Hold(
      info_.id, order,
      [this, life = lives_, sent = clock_.now()](const hold_reply& reply) {
        if (life != lives_)
          return;
        life_->look_in_flight = false;
        OnLooked(sent, reply);
        if (life_->look_again)
          SendLook();
      });
}

// One of a later incarnation is taken here, and no reference to what was kept
// of the present one holds afterwards.
answer_of upstream_session::WhoseAnswer(time_point sent,
                                        const hold_reply& reply) {
  answer_of whose = life_->WhoAnswers(info_.id, sent, reply);
  if (whose == answer_of::kNext) {
    BeginLife(*reply.birth);
    OnHeld(life_->hold, sent, reply);
  }
  return whose;
}

void upstream_session::OnLooked(time_point sent, const hold_reply& reply) {
  if (reply.result != call_result::kOk) {
    OnLookFailed(sent);
    return;
  }
  times_.Note(clock_.now() - sent);
  answer_of whose = WhoseAnswer(sent, reply);
  if (whose == answer_of::kPresent)
    TakeHold(sent, reply);
  else if (whose == answer_of::kNobody)
    OnLookFailed(sent);
}

// The hold that waits may show it only seconds later.
void upstream_session::OnLookFailed(time_point sent) {
  NoteUnanswered();
  life_->unanswered = true;
  if (!life_->clock.HasReadingSince(sent))
    ++life_->failed_holds;
  life_->look_timer.StartAfter(RetryPause(), [this] { SendLook(); });
  CheckLapse();
}

duration upstream_session::RetryPause() const {
  int doublings = std::clamp(life_->failed_holds - 1, 0, 5);
  return std::min(kLongestHoldRetry, kHoldRetry * (1 << doublings));
}

void upstream_session::WatchLease() {
  if (life_->runs.empty() || life_->failed_holds > 0)
    return;
  duration left = std::chrono::milliseconds(life_->given_until.ms -
                                            life_->clock.UpperBound().ms);
  duration pause = std::max(duration::zero(), left - kLeaseMargin);
  // A lost one would hide ends for its whole wait.
  if (life_->hold.in_flight && life_->hold.idle)
    pause = std::min(pause, kHoldWait);
  life_->look_timer.StartAfter(pause, [this] { SendLook(); });
}

void upstream_session::OnAnswered(waiting_hold& hold,
                                  time_point sent,
                                  const hold_reply& reply) {
  answer_of whose = WhoseAnswer(sent, reply);
  if (whose == answer_of::kPresent)
    OnHeld(hold, sent, reply);
  else if (whose == answer_of::kNobody)
    OnHoldFailed(hold, sent, call_result::kUnknown);
}

void upstream_session::OnHeld(waiting_hold& hold,
                              time_point sent,
                              const hold_reply& reply) {
  // An earlier owner, or an order for an earlier incarnation, may have
  // prolonged its runs up to now.
  bool is_first = life_->follows && !life_->answered;
  if (!life_->settled || is_first)
    life_->NoteForeignLease(reply.clock, limits_);
  life_->settled = true;
  TakeHold(sent, reply);
  NextHold(hold, !reply.ended.empty());
}

void upstream_session::TakeHold(time_point sent, const hold_reply& reply) {
  bool was_usable = usable();
  life_->failed_holds = 0;
  life_->answered = true;
  life_->unanswered = false;
  life_->in_doubt = false;
  life_->lapse_timer.Stop();
  life_->clock.AddReading(reply.clock, sent);
  TellFoundAgain(false);
  TakeEnds(reply);
  TakeRunning(reply);
  JudgeUnlisted(sent, reply);
  RefuseUnlistedStarts(sent, reply);
  if (!reply.ended.empty() || !was_usable)
    owner_.OnCapacityChanged(*this);
}

void upstream_session::NextHold(waiting_hold& hold, bool any_end) {
  bool is_main = &hold == &life_->hold;
  if (is_main && any_end && life_->runs.empty())
    hold.timer.StartAfter(kIdlePause, [this] { SendHold(life_->hold); });
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
    life_->gone = true;
    life_->settled = true;
    EndAll(run_end::kLapsed);
    return;
  }
  NoteUnanswered();
  life_->unanswered = true;
  // A single lost answer does not take an upstream out of use that answers
  // other calls.
  if (life_->clock.HasReadingSince(sent)) {
    NextHold(hold, false);
    return;
  }
  ++life_->failed_holds;
  hold.timer.StartAfter(RetryPause(), [this, &hold] { SendHold(hold); });
  CheckLapse();
}

// Runs after failed holds until the upstream answers again or nothing of ours
// can be running there.
void upstream_session::CheckLapse() {
  if (!life_->settled && clock_.now() - begun_ >= kSettleWithoutAnswer)
    SettleWithoutAnswer();
  if (life_->settled && life_->LeaseIsOver()) {
    EndAll(run_end::kLapsed);
    if (life_->runs.empty())
      return;
  }
  if (!life_->lapse_timer.active())
    life_->lapse_timer.StartAfter(kHoldRetry, [this] { CheckLapse(); });
}

void upstream_session::SettleWithoutAnswer() {
  life_->settled = true;
  owner_.OnCapacityChanged(*this);
}

void upstream_session::EndAll(run_end how) {
  std::vector<run_over> ended = life_->TakeAllOver(clock_.now());
  upstream_loss loss{{info_.id, life_->birth}, life_->gone, {}};
  for (const run_over& over : ended)
    loss.runs.push_back({over.task, over.begun});
  if (life_->gone)
    TellFoundAgain(true);
  if (!ended.empty() && !missing_)
    owner_.OnLost(*this, loss);
  if (!ended.empty() && !life_->gone)
    AddMissing(loss);
  for (const run_over& over : ended)
    owner_.OnRunEnded(*this, over.task, over.run, how);
}

void upstream_session::AddMissing(const upstream_loss& loss) {
  if (!missing_)
    missing_ = upstream_loss{loss.upstream, false, {}};
  missing_->runs.insert(missing_->runs.end(), loss.runs.begin(),
                        loss.runs.end());
}

void upstream_session::TellFoundAgain(bool crashed) {
  if (auto loss = std::exchange(missing_, std::nullopt))
    owner_.OnFoundAgain(*this, *loss, crashed);
}

void upstream_session::NoteLease(upstream_time until) {
  life_->lease_end = std::max(life_->lease_end, until);
  life_->given_until = std::max(life_->given_until, until);
  WatchLease();
}

void upstream_session::TakeEnds(const hold_reply& reply) {
  // Also of runs that are unknown here: an earlier owner may have started
  // them for a job that is still wanted.
  for (const listed_end& end : life_->TakeEnds(reply))
    owner_.OnRunEnded(*this, end.task, end.run, end.how);
}

void upstream_session::TakeRunning(const hold_reply& reply) {
  std::vector<listed_run> strangers = life_->TakeRunning(reply, limits_);
  for (const listed_run& listed : reply.running) {
    run_record* record = life_->runs.Find(listed.task);
    if (record && record->stop_wanted && listed.run >= record->run)
      SendStop(*record, listed.task);
  }
  for (const listed_run& found : strangers)
    owner_.OnFound(*this, found.task, found.run);
}

void upstream_session::JudgeUnlisted(time_point sent, const hold_reply& reply) {
  for (const run_over& over : life_->runs.Unlisted(sent, reply)) {
    // Gone by what the owner did when told of another one.
    if (!life_->runs.Find(over.task))
      continue;
    life_->runs.Remove(over.task);
    if (over.never_began)
      owner_.OnNotStarted(*this, over.task, over.run, start_result::kUnknown);
    else
      owner_.OnRunEnded(*this, over.task, over.run, run_end::kLapsed);
  }
}

}  // namespace jasminedyke
