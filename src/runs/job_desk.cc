#include "runs/job_desk.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

constexpr duration kSweepInterval = std::chrono::milliseconds(50);
// A lost home's successor needs a store write after the loss is
// noticed; a silent loss takes the lease row's expiry. After this time the
// caller does better to come back than to wait.
constexpr duration kLongestHomeless = std::chrono::milliseconds(900);
constexpr duration kRetryAfterNoHome = std::chrono::seconds(1);
// A job for which no home is known waits for one so long, if there was one, or
// this instance started, that short a time ago: after a loss of power the homes
// begin soon after the first instances, after a planned stop at once. When
// there has been none for longer, nothing says that one is near.
constexpr duration kWaitForFirstHome = std::chrono::milliseconds(500);
// Operators drain a failure domain for work that takes many seconds.
constexpr duration kRetryAfterDrained = std::chrono::seconds(5);

// Work of the longest chain of steps, by the caller's own estimates.
duration LongestChain(const std::vector<job_step>& steps) {
  std::vector<duration> ends;
  duration longest = duration::zero();
  for (const job_step& step : steps) {
    duration begin = duration::zero();
    for (uint32_t earlier : step.after)
      begin = std::max(begin, ends.at(earlier));
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

const char* ToString(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kSucceeded:
      return "succeeded";
    case run_outcome::kFailed:
      return "failed";
    case run_outcome::kNotRun:
      return "not_run";
    case run_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

job_desk::job_desk(scheduler& clock,
                   const failure_domain_id& domain,
                   home_directory& homes,
                   send_request request,
                   send_cancel cancel)
    : clock_(clock),
      domain_(domain),
      homes_(homes),
      request_(std::move(request)),
      cancel_(std::move(cancel)),
      last_submission_(
          static_cast<uint64_t>(clock.now().time_since_epoch().count())),
      home_known_at_(clock.now()),
      sweep_timer_(clock) {
  Sweep();
}

submission_id job_desk::Submit(run_job submission, answer_callback done) {
  job_key key = submission.key;
  if (jobs_.contains(key))
    Answer(key, {run_outcome::kUnknown, run_refusal::kSuperseded, {}});
  ++metrics_.accepted;
  open_job job;
  job.submission = submission_id(++last_submission_);
  job.done = std::move(done);
  job.accepted = clock_.now();
  duration chain = LongestChain(submission.steps);
  job.objective =
      job.accepted + submission.target_latency +
      std::chrono::duration_cast<duration>(chain * submission.stretch);
  job.limit = job.accepted + submission.limit;
  for (const job_step& step : submission.steps)
    job.left.push_back(step.tasks);
  job.asked = std::move(submission);
  submission_id id = job.submission;
  open_job& open = jobs_.emplace(key, std::move(job)).first->second;
  ChooseHome(open, kRetryAfterNoHome, run_refusal::kNotHome);
  return id;
}

void job_desk::ChooseHome(open_job& job,
                          duration retry_after,
                          run_refusal reason) {
  int64_t need = ReadyCpuMillis(job);
  std::vector<known_home> homes = homes_.Ranked(domain_, need);
  if (!homes.empty())
    home_known_at_ = clock_.now();
  bool all_drained = homes_.AllDrained();
  job.awaits_first_home = homes.empty() && job.refused_by.empty() &&
                          !all_drained &&
                          clock_.now() - home_known_at_ < kWaitForFirstHome;
  if (job.awaits_first_home)
    return;
  std::erase_if(homes, [&](const known_home& home) {
    return job.refused_by.contains(home.status.group);
  });
  // Those that passed it on come last.
  std::stable_partition(homes.begin(), homes.end(),
                        [&](const known_home& home) {
                          return !job.passed_by.contains(home.status.group);
                        });
  if (!homes.empty()) {
    job.group = homes.front().status.group;
    job.home = homes.front().instance;
    job.keeps_spec = homes.front().status.owners_start;
    // Of one step, since the tasks of several may be on their way at once.
    job.may_pass =
        job.asked.steps.size() == 1 &&
        std::any_of(homes.begin() + 1, homes.end(), [&](const auto& other) {
          return !job.passed_by.contains(other.status.group) &&
                 home_directory::HasFreeCapacity(other.status, need);
        });
    homes_.DeductSentWork(job.group, need);
    SendTasks(job, false);
    return;
  }
  job.homeless_since = clock_.now();
  run_answer answer{run_outcome::kNotRun, reason, retry_after};
  if (all_drained)
    answer = {run_outcome::kNotRun, run_refusal::kDrained, kRetryAfterDrained};
  if (job.maybe_started)
    answer.outcome = run_outcome::kUnknown;
  // From a timer, as the caller of this may still use the job.
  clock_.CallAfter(duration::zero(),
                   [this, key = job.asked.key, id = job.submission, answer] {
                     auto found = jobs_.find(key);
                     if (found != jobs_.end() && found->second.submission == id)
                       Answer(key, answer);
                   });
}

int64_t job_desk::ReadyCpuMillis(const open_job& job) const {
  int64_t sum = 0;
  for (uint32_t step = 0; step < job.asked.steps.size(); ++step) {
    if (StepIsReady(job, step))
      sum += job.asked.steps[step].need.cpu_millis * job.left[step];
  }
  return sum;
}

bool job_desk::StepIsReady(const open_job& job, uint32_t step) const {
  return std::ranges::all_of(
      job.asked.steps[step].after,
      [&](uint32_t earlier) { return job.left[earlier] == 0; });
}

void job_desk::SendTasks(open_job& job, bool again) {
  for (uint32_t step = 0; step < job.asked.steps.size(); ++step) {
    if (job.left[step] == 0 || !StepIsReady(job, step))
      continue;
    const job_step& asked = job.asked.steps[step];
    run_request request;
    request.job = job.asked.key;
    request.submission = job.submission;
    request.queue = job.asked.queue;
    request.service = job.asked.service;
    if (job.keeps_spec)
      request.kept_spec_bytes = static_cast<uint32_t>(job.asked.spec.size());
    else
      request.spec = job.asked.spec;
    request.to_objective = job.objective - clock_.now();
    request.to_limit = job.limit - clock_.now();
    request.age = clock_.now() - job.accepted;
    request.max_attempts = job.asked.max_attempts;
    request.priority = job.asked.priority;
    request.may_pass = job.may_pass;
    request.has_place = job.room_at.has_value();
    request.sending = ++job.sendings;
    for (uint32_t index = 0; index < asked.tasks; ++index) {
      task_position position{step, index};
      bool was_sent = job.sent.contains(position);
      if (job.finished.contains(position) || (was_sent && !again))
        continue;
      request.tasks.push_back({position, asked.need, asked.estimate, asked.rack,
                               asked.required_label, asked.max_per_upstream,
                               was_sent && job.maybe_started});
      job.sent.insert(position);
    }
    if (request.tasks.empty())
      continue;
    job.maybe_started = true;
    if (!request_(job.home, request)) {
      // The link just broke.
      LoseHome(job);
      return;
    }
  }
}

void job_desk::Leave(const job_key& key, submission_id submission) {
  auto found = jobs_.find(key);
  if (found == jobs_.end() || found->second.submission != submission)
    return;
  ++metrics_.left;
  LogEvent(log_level::kInfo, "caller_left",
           {{"job", key.str()},
            {"queue", found->second.asked.queue.str()},
            {"ms", ToMilliseconds(clock_.now() - found->second.accepted)},
            {"home", found->second.home.str()}});
  CancelAtHome(found->second);
  jobs_.erase(found);
}

const std::string* job_desk::Spec(const job_key& key,
                                  submission_id submission) const {
  auto found = jobs_.find(key);
  bool open = found != jobs_.end() && found->second.submission == submission;
  return open ? &found->second.asked.spec : nullptr;
}

void job_desk::CancelAtHome(const open_job& job) {
  if (!job.home.empty() && !job.sent.empty())
    cancel_(job.home, {job.asked.key, job.submission});
}

void job_desk::OnReport(const instance_id& from, const run_report& report) {
  auto found = jobs_.find(report.job);
  if (found == jobs_.end())
    return;
  open_job& job = found->second;
  if (job.submission != report.submission)
    return;
  if (report.refusal != run_refusal::kNone) {
    bool of_latest = report.sending == job.sendings ||
                     report.refusal == run_refusal::kSuperseded;
    if (job.home == from && of_latest)
      OnRefused(job, report);
    return;
  }
  // Ends count from whichever home: an earlier one may have told of one just
  // before its successor took over.
  bool step_done = false;
  for (const task_report& task : report.tasks) {
    if (task.verdict == task_verdict::kFailed && job.home != from)
      continue;
    if (task.verdict == task_verdict::kFailed) {
      CancelAtHome(job);
      Answer(report.job, {run_outcome::kFailed, run_refusal::kNone, {}});
      return;
    }
    if (task.position.step >= job.left.size() ||
        !job.finished.insert(task.position).second)
      continue;
    step_done = --job.left[task.position.step] == 0 || step_done;
  }
  bool all_done =
      std::ranges::all_of(job.left, [](uint32_t n) { return n == 0; });
  if (all_done && job.home != from)
    CancelAtHome(job);
  if (all_done)
    Answer(report.job, {run_outcome::kSucceeded, run_refusal::kNone, {}});
  else if (step_done)
    SendTasks(job, false);
}

void job_desk::OnRefused(open_job& job, const run_report& report) {
  // It runs for another submission of the caller, perhaps at that very home.
  if (report.refusal == run_refusal::kSuperseded) {
    Answer(report.job, {run_outcome::kUnknown, report.refusal, {}});
    return;
  }
  if (report.not_run) {
    // That home is out; another one may have room. It speaks for what it has of
    // the job: earlier steps may have run there.
    job.maybe_started = !job.finished.empty();
    job.sent.clear();
    bool passed = report.refusal == run_refusal::kBusy;
    (passed ? job.passed_by : job.refused_by).insert(job.group);
    // The first one keeps a place for it.
    if (report.refusal == run_refusal::kOverload && !job.room_at)
      job.room_at = clock_.now() + report.retry_after;
    duration retry_after = report.retry_after;
    if (job.room_at && *job.room_at > clock_.now())
      retry_after = *job.room_at - clock_.now();
    ChooseHome(job, retry_after, report.refusal);
    return;
  }
  if (report.refusal == run_refusal::kNotHome) {
    LoseHome(job);
    OnHomesChanged();
    return;
  }
  Answer(report.job, {run_outcome::kUnknown, report.refusal, {}});
}

// The group's next home gets the tasks.
void job_desk::LoseHome(open_job& job) {
  job.home = instance_id();
  job.homeless_since = clock_.now();
}

void job_desk::OnHomesChanged() {
  ServeWaiting();
  for (auto& [key, job] : jobs_) {
    const known_home* home = homes_.Find(job.group);
    // Also one that ends and begins again forgets its jobs in between.
    if (!home && !job.home.empty())
      LoseHome(job);
    if (!home || home->instance == job.home)
      continue;
    ++metrics_.moved;
    ++job.moved;
    job.home = home->instance;
    job.keeps_spec = home->status.owners_start;
    SendTasks(job, true);
  }
}

// Refusing them would be true and quick, but with all instances just started it
// turned away half a second of callers whom the homes served a moment later.
void job_desk::ServeWaiting() {
  for (auto& [key, job] : jobs_) {
    if (job.awaits_first_home)
      ChooseHome(job, kRetryAfterNoHome, run_refusal::kNotHome);
  }
}

void job_desk::OnPeerDown(const instance_id& peer) {
  for (auto& [key, job] : jobs_) {
    if (job.home == peer)
      LoseHome(job);
  }
}

void job_desk::OnPeerUp(const instance_id&) {
  OnHomesChanged();
}

void job_desk::Answer(const job_key& key, const run_answer& answer) {
  auto found = jobs_.find(key);
  if (found == jobs_.end())
    return;
  LogAnswer(found->second, answer);
  RecordLatency(metrics_.answer_time, found->second.asked.queue,
                clock_.now() - found->second.accepted, clock_.now());
  answer_callback done = std::move(found->second.done);
  jobs_.erase(found);
  ++metrics_.outcomes[answer.outcome];
  if (answer.reason != run_refusal::kNone)
    ++metrics_.refusals[answer.reason];
  done(answer);
}

bool job_desk::AnyHomeHasPlaces(const open_job& job) const {
  int64_t need = ReadyCpuMillis(job);
  return std::ranges::any_of(
      homes_.Ranked(domain_, need), [need](const known_home& home) {
        return home_directory::HasFreeCapacity(home.status, need);
      });
}

// One line for each job tells where to look next: the home's log has the job's
// id with what went wrong there.
void job_desk::LogAnswer(const open_job& job, const run_answer& answer) const {
  const known_home* home = homes_.Find(job.group);
  duration age = home ? clock_.now() - home->received_at : duration::zero();
  bool served = answer.outcome == run_outcome::kSucceeded;
  LogEvent(log_level::kInfo, "job_answered",
           {{"job", job.asked.key.str()},
            {"queue", job.asked.queue.str()},
            {"outcome", ToString(answer.outcome)},
            {"reason", ToString(answer.reason)},
            {"ms", ToMilliseconds(clock_.now() - job.accepted)},
            {"objective_ms", ToMilliseconds(job.objective - job.accepted)},
            {"group", job.group.ToString()},
            {"home", job.home.str()},
            {"failure_domain", domain_.str()},
            {"passed_by", job.passed_by.size()},
            {"moved", job.moved},
            {"room_left", !served && AnyHomeHasPlaces(job) ? 1 : 0},
            {"token", home ? home->status.token.value() : 0},
            {"home_heard_ms_ago", ToMilliseconds(age)},
            {"done", job.finished.size()},
            {"sent", job.sent.size()}});
}

void job_desk::GiveUpAll() {
  while (!jobs_.empty()) {
    CancelAtHome(jobs_.begin()->second);
    job_key key = jobs_.begin()->first;
    Answer(key, {run_outcome::kUnknown, run_refusal::kNone, {}});
  }
}

void job_desk::Sweep() {
  // Also a home that is known may have no upstreams at first.
  ServeWaiting();
  std::vector<job_key> given_up;
  for (const auto& [key, job] : jobs_) {
    bool too_long_homeless =
        job.home.empty() && !job.awaits_first_home &&
        clock_.now() - job.homeless_since > kLongestHomeless;
    if (clock_.now() >= job.limit || too_long_homeless)
      given_up.push_back(key);
  }
  for (const job_key& key : given_up) {
    CancelAtHome(jobs_.at(key));
    Answer(key, {run_outcome::kUnknown, run_refusal::kNone, {}});
  }
  sweep_timer_.StartAfter(kSweepInterval, [this] { Sweep(); });
}

}  // namespace jasminedyke
