#include "entry/dispatcher.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// A queue of our own with fewer tasks says little about the others' queues.
constexpr int kFewWaitingTasks = 20;
constexpr duration kLongestLease = std::chrono::minutes(5);
constexpr duration kShortestLease = std::chrono::milliseconds(1);
constexpr duration kFirstRetryDelay = std::chrono::milliseconds(5);
constexpr duration kLongestRetryDelay = std::chrono::seconds(2);
constexpr int kMaxRepeats = 2;
// A running task that is expected to end sooner is not worth a message.
constexpr duration kWorthStopping = std::chrono::milliseconds(250);

duration RetryDelay(int refusals) {
  int doublings = std::min(refusals - 1, 10);
  return std::min(kFirstRetryDelay * (1 << doublings), kLongestRetryDelay);
}

refusal_reason ToRefusal(admission_verdict verdict) {
  switch (verdict) {
    case admission_verdict::kNoUpstreamFits:
      return refusal_reason::kNoUpstreamFits;
    case admission_verdict::kTooManyTasks:
    case admission_verdict::kTooManyBytes:
      return refusal_reason::kQueueFull;
    case admission_verdict::kWouldTimeOut:
      return refusal_reason::kWouldTimeOut;
    case admission_verdict::kAdmit:
    case admission_verdict::kWouldMissTarget:
      break;
  }
  return refusal_reason::kOverloaded;
}

}  // namespace

dispatcher::dispatcher(scheduler& clock,
                       attempt_port& attempts,
                       usage_sink& usage,
                       upstream_table& upstreams,
                       const order_rule& rule,
                       const queue_caps& caps)
    : clock_(clock),
      port_(attempts),
      usage_(usage),
      upstreams_(upstreams),
      caps_(caps),
      queue_(rule) {}

dispatcher::~dispatcher() = default;

void dispatcher::SetStrategy(std::unique_ptr<slot_strategy> strategy,
                             peer_sender send_to_peer) {
  strategy_ = std::move(strategy);
  send_to_peer_ = std::move(send_to_peer);
}

void dispatcher::SetWorkElsewhere(std::function<work_elsewhere()> look) {
  look_elsewhere_ = std::move(look);
}

outcome<local_job, job_refusal> dispatcher::Submit(job_spec spec,
                                                   completion done) {
  duration declared{};
  for (const task_spec& task : spec.tasks)
    declared += task.expected;
  declared /= static_cast<int64_t>(std::max<size_t>(1, spec.tasks.size()));
  run_time_estimate estimate = estimator_.Estimate(spec.work_class, declared);
  auto admitted = Admit(spec, estimate);
  if (!admitted.ok()) {
    ++metrics_.refusals[admitted.error().reason];
    return admitted;
  }
  ++metrics_.jobs_admitted;
  queued_job as_queued = AsQueued(spec, estimate);
  arrivals_.Record(queue_.RankAtArrival(as_queued), as_queued.remaining_work(),
                   clock_.now());
  local_job number = admitted.value();
  auto job = std::make_unique<job_state>(clock_);
  job->done = std::move(done);
  job->arrival = clock_.now();
  job->deadline = clock_.now() + spec.timeout;
  job->estimate = estimate;
  job->payload_bytes = spec.payload_bytes();
  job->tasks.resize(spec.tasks.size());
  for (uint32_t i = 0; i < spec.tasks.size(); ++i) {
    job->memory_mb = std::max(job->memory_mb, spec.tasks[i].memory_mb);
    job->waiting.push_back(i);
  }
  job->spec = std::move(spec);
  queued_bytes_ += job->payload_bytes;
  job->deadline_timer.StartAt(job->deadline, [this, number] {
    Fail(number, failure_reason::kTimeout);
  });
  job_state& kept = *job;
  jobs_.emplace(number, std::move(job));
  Requeue(number, kept);
  strategy_->OnWorkChanged();
  return number;
}

void dispatcher::Cancel(local_job job) {
  Fail(job, failure_reason::kCancelled);
}

std::vector<local_job> dispatcher::JobsOfTeam(const team_id& team) const {
  std::vector<local_job> found;
  for (const auto& [number, job] : jobs_) {
    if (job->spec.team == team)
      found.push_back(number);
  }
  return found;
}

std::vector<demand_entry> dispatcher::Demand(size_t limit_per_team) const {
  return queue_.Demand(limit_per_team, clock_.now());
}

std::vector<team_count> dispatcher::running_by_team() const {
  std::vector<team_count> running;
  for (const auto& [team, count] : running_by_team_)
    running.push_back({team, count});
  return running;
}

bool dispatcher::StartOn(const start_request& order) {
  bool may_start = order.granted
                       ? upstreams_.HasRoom(order.upstream, clock_.now())
                       : upstreams_.MayStart(order.upstream, clock_.now());
  if (!may_start)
    return false;
  int memory_mb = upstreams_.Find(order.upstream)->info.memory_mb;
  const upstream_health& health = upstreams_.health();
  bool trial = order.granted
                   ? order.trial
                   : health.TrialNeedsIdempotent(order.upstream, clock_.now());
  auto fits = [&](local_job number, const queued_job& facts) {
    const job_state& job = *jobs_.at(number);
    // After a pause of this process messages may come before the timers that
    // are due; a task of a job that is over would run for nobody.
    bool in_time = job.deadline - clock_.now() >= kShortestLease;
    return in_time && facts.memory_mb <= memory_mb &&
           (order.granted || job.avoid != order.upstream) &&
           (!trial || MayRunOnTrial(number));
  };
  auto at_quota = [&](const team_id& team) {
    auto running = running_by_team_.find(team);
    return quotas_.AtQuota(
        team, running == running_by_team_.end() ? 0 : running->second);
  };
  auto best = order.team.empty() ? queue_.Best(at_quota, fits)
                                 : queue_.BestOfTeam(order.team, fits);
  if (!best)
    return false;
  StartTask(*best, *jobs_.at(*best), order.upstream);
  return true;
}

void dispatcher::SendToPeer(const instance_id& peer,
                            const slot_message& message) {
  send_to_peer_(peer, message);
}

outcome<local_job, job_refusal> dispatcher::Admit(
    const job_spec& spec,
    const run_time_estimate& estimate) {
  if (!admitting_)
    return job_refusal{refusal_reason::kStopping, std::chrono::seconds(1)};
  admission_decision decision =
      DecideAdmission(AdmissionFacts(spec, estimate), caps_);
  if (decision.verdict != admission_verdict::kAdmit)
    return job_refusal{ToRefusal(decision.verdict), decision.retry_after};
  return ++last_job_;
}

admission_facts dispatcher::AdmissionFacts(
    const job_spec& spec,
    const run_time_estimate& estimate) const {
  admission_facts facts;
  facts.tasks = static_cast<int>(spec.tasks.size());
  facts.payload_bytes = spec.payload_bytes();
  facts.memory_mb = AsQueued(spec, estimate).memory_mb;
  facts.own_work = estimate.mean * facts.tasks;
  facts.longest_task = estimate.p99;
  facts.target = spec.settings.target;
  facts.timeout = spec.timeout;
  facts.largest_upstream_mb = upstreams_.largest_memory_mb();
  facts.usable_slots = upstreams_.usable_local_slots(clock_.now());
  facts.queued_tasks = queue_.waiting_tasks();
  facts.queued_bytes = queued_bytes_;

  queued_job as_queued = AsQueued(spec, estimate);
  facts.work_ahead = queue_.WorkAhead(as_queued);
  facts.slots_used_by_better_ranks =
      arrivals_.SlotsBefore(queue_.RankAtArrival(as_queued), clock_.now());
  if (!look_elsewhere_)
    return facts;
  // The others' jobs are assumed to look like ours.
  work_elsewhere elsewhere = look_elsewhere_();
  double waiting = std::max(0, elsewhere.waiting);
  double running = std::max(0, elsewhere.running);
  facts.work_ahead += FromSeconds(ToSeconds(facts.work_ahead) * waiting /
                                  (queue_.waiting_tasks() + kFewWaitingTasks));
  if (!attempts_.empty())
    facts.slots_used_by_better_ranks *=
        1 + running / static_cast<double>(attempts_.size());
  return facts;
}

queued_job dispatcher::AsQueued(const job_spec& spec,
                                const run_time_estimate& estimate) const {
  int memory_mb = 0;
  for (const task_spec& task : spec.tasks)
    memory_mb = std::max(memory_mb, task.memory_mb);
  return {spec.team,     clock_.now(), spec.settings.target,
          estimate.mean, estimate.p99, static_cast<int>(spec.tasks.size()),
          memory_mb};
}

void dispatcher::Requeue(local_job number, job_state& job) {
  queue_.Put(number, {job.spec.team, job.arrival, job.spec.settings.target,
                      job.estimate.mean, job.estimate.p99,
                      static_cast<int>(job.waiting.size()), job.memory_mb});
}

void dispatcher::StartTask(local_job number,
                           job_state& job,
                           const upstream_id& upstream) {
  uint32_t index = job.waiting.front();
  job.waiting.pop_front();
  Requeue(number, job);
  task_state& task = job.tasks[index];
  const task_spec& spec = job.spec.tasks[index];
  if (++task.attempts == 1) {
    ++metrics_.first_attempts;
    budget_.RecordFirstAttempt();
  }
  attempt_request request;
  request.upstream = upstream;
  request.task = job.spec.name + "/" + std::to_string(index);
  request.attempt = task.attempts;
  request.work_class = job.spec.work_class;
  request.team = job.spec.team;
  request.lease = std::min(job.deadline - clock_.now(), kLongestLease);
  request.payload = spec.payload;

  attempt_number attempt = ++last_attempt_;
  attempts_.emplace(
      attempt, attempt_state{number, index, request.task, upstream,
                             job.spec.team, job.spec.work_class, spec.expected,
                             job.estimate.mean, clock_.now()});
  job.running.insert(attempt);
  ++running_by_team_[job.spec.team];
  upstreams_.RecordStart(upstream, clock_.now());
  port_.Start(request, [this, attempt](const attempt_outcome& outcome) {
    OnAttemptEnded(attempt, outcome);
  });
}

void dispatcher::OnAttemptEnded(attempt_number number,
                                const attempt_outcome& outcome) {
  auto found = attempts_.find(number);
  attempt_state attempt = std::move(found->second);
  attempts_.erase(found);
  released_slot slot = AccountAttempt(attempt, outcome);
  auto job = jobs_.find(attempt.job);
  if (job == jobs_.end()) {
    CountWaste(waste_kind::kAnswerUnwanted);
  } else {
    job_state& state = *job->second;
    state.running.erase(number);
    if (const auto* answer = std::get_if<answered>(&outcome))
      OnAnswered(attempt.job, state, attempt, *answer);
    else if (const auto* proof = std::get_if<not_run>(&outcome))
      OnNotRun(attempt.job, state, attempt, *proof);
    else
      OnUnknown(attempt.job, state, attempt);
  }
  strategy_->OnAttemptEnded(slot);
}

// What an end tells apart from the job: slots, health, run times, charges.
released_slot dispatcher::AccountAttempt(const attempt_state& attempt,
                                         const attempt_outcome& outcome) {
  auto running = running_by_team_.find(attempt.team);
  if (--running->second == 0)
    running_by_team_.erase(running);
  released_slot slot{attempt.upstream, ToSlotResult(outcome)};
  const auto* answer = std::get_if<answered>(&outcome);
  if (answer && answer->run_time) {
    usage_.Book(attempt.team, *answer->run_time);
    if (answer->succeeded()) {
      slot.slowness =
          ToSeconds(*answer->run_time) / ToSeconds(attempt.expected);
      estimator_.Learn(attempt.work_class, attempt.declared, *answer->run_time,
                       clock_.now());
    }
  }
  if (const auto* unknown = std::get_if<outcome_unknown>(&outcome))
    ++metrics_.unknown_outcomes[unknown->reason];
  // A task that was stopped with its job answers as failed. That says nothing
  // about the upstream: a job that one bad upstream fails would get all the
  // others quarantined that ran its tasks.
  bool failed = slot.result == slot_result::kTaskError;
  if (failed && !jobs_.contains(attempt.job))
    slot.result = slot_result::kStopped;
  upstreams_.RecordEnd(slot, clock_.now());
  return slot;
}

void dispatcher::OnAnswered(local_job number,
                            job_state& job,
                            const attempt_state& attempt,
                            const answered& answer) {
  ++metrics_.answers;
  job.may_have_run = true;
  task_state& task = job.tasks[attempt.task];
  if (!answer.succeeded()) {
    CountWaste(waste_kind::kTaskError);
    if (!TryRepeat(number, job, attempt))
      Fail(number, job_failed{failure_reason::kTaskFailed, true,
                              task_index(attempt.task), answer});
    return;
  }
  task.answer = answer;
  job.spec.tasks[attempt.task].payload = std::string();
  if (++job.answered < job.tasks.size())
    return;
  job_complete complete;
  for (task_state& each : job.tasks)
    complete.answers.push_back(std::move(*each.answer));
  Finish(number, complete);
}

void dispatcher::OnNotRun(local_job number,
                          job_state& job,
                          const attempt_state& attempt,
                          const not_run& proof) {
  ++metrics_.retries[proof.reason()];
  CountWaste(proof.reason() == not_run_reason::kNothingSent
                 ? waste_kind::kUnreachable
                 : waste_kind::kRefusedStart);
  task_state& task = job.tasks[attempt.task];
  ++task.refusals;
  // The first refusal is retried at once on another upstream. Each further one
  // waits longer, so a task can't circle between full upstreams.
  if (task.refusals == 1 && budget_.TakeRetry(clock_.now())) {
    ReturnToQueue(number, attempt.task);
    return;
  }
  RetryLater(number, attempt.task, RetryDelay(task.refusals));
}

void dispatcher::OnUnknown(local_job number,
                           job_state& job,
                           const attempt_state& attempt) {
  CountWaste(waste_kind::kUnknownOutcome);
  job.may_have_run = true;
  if (TryRepeat(number, job, attempt))
    return;
  Fail(number, job_failed{failure_reason::kOutcomeUnknown, true,
                          task_index(attempt.task), std::nullopt});
}

bool dispatcher::TryRepeat(local_job number,
                           job_state& job,
                           const attempt_state& attempt) {
  if (!job.spec.may_repeat || job.tasks[attempt.task].attempts > kMaxRepeats)
    return false;
  if (!budget_.TakeRetry(clock_.now())) {
    ++metrics_.retry_budget_spent;
    return false;
  }
  ++metrics_.repeats;
  job.avoid = attempt.upstream;
  ReturnToQueue(number, attempt.task);
  return true;
}

void dispatcher::RetryLater(local_job number, uint32_t task, duration delay) {
  clock_.CallAfter(delay, [this, number, task, delay] {
    if (!jobs_.contains(number))
      return;
    if (budget_.TakeRetry(clock_.now())) {
      ReturnToQueue(number, task);
      return;
    }
    ++metrics_.retry_budget_spent;
    RetryLater(number, task, std::min(delay * 2, kLongestRetryDelay));
  });
}

void dispatcher::ReturnToQueue(local_job number, uint32_t task) {
  job_state& job = *jobs_.at(number);
  job.waiting.push_front(task);
  Requeue(number, job);
  strategy_->OnWorkChanged();
}

void dispatcher::Fail(local_job number, failure_reason reason) {
  auto found = jobs_.find(number);
  if (found == jobs_.end())
    return;
  const job_state& job = *found->second;
  bool may_have_run = job.may_have_run || !job.running.empty();
  Fail(number, job_failed{reason, may_have_run, std::nullopt, std::nullopt});
}

void dispatcher::Fail(local_job number, job_failed failure) {
  ++metrics_.failures[failure.reason];
  StopRunning(*jobs_.at(number));
  Finish(number, failure);
}

void dispatcher::Finish(local_job number, const job_outcome& result) {
  auto found = jobs_.find(number);
  std::unique_ptr<job_state> job = std::move(found->second);
  jobs_.erase(found);
  bool had_waiting = !job->waiting.empty();
  queue_.Remove(number);
  queued_bytes_ -= job->payload_bytes;
  if (std::holds_alternative<job_complete>(result)) {
    ++metrics_.jobs_complete;
    duration response = clock_.now() - job->arrival;
    class_times& times = metrics_.times[job->spec.work_class];
    double over = ToSeconds(response) / ToSeconds(job->spec.settings.target);
    times.response_ms.Add(ToMilliseconds(response), clock_.now());
    times.over_target.Add(over, clock_.now());
    ++times.complete;
    times.within_target += over <= 1;
  }
  job->done(result);
  if (had_waiting)
    strategy_->OnWorkChanged();
}

void dispatcher::StopRunning(const job_state& job) {
  for (attempt_number number : job.running) {
    const attempt_state& attempt = attempts_.at(number);
    duration ran = clock_.now() - attempt.started;
    // Beyond its mean a task may go on for as long again.
    duration left = std::max(attempt.expected - ran, attempt.expected / 2);
    if (left < kWorthStopping)
      continue;
    CountWaste(waste_kind::kStopMessage);
    port_.Stop(attempt.upstream, attempt.name);
  }
}

bool dispatcher::MayRunOnTrial(local_job number) const {
  const job_state& job = *jobs_.at(number);
  return job.spec.may_repeat || job.spec.settings.idempotent;
}

}  // namespace jasminedyke
