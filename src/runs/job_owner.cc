#include "runs/job_owner.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

constexpr duration kExpiryInterval = std::chrono::milliseconds(50);
// A lost home's successor needs a store write after the loss is noticed; a
// silent loss is noticed when the lease row expires. After this time it is
// better for the caller to retry than to wait.
constexpr duration kMaxTimeWithoutHome = std::chrono::milliseconds(900);
constexpr duration kRetryAfterNoHome = std::chrono::seconds(1);
// A job waits for a first home only if a home was known, or this instance
// started, less than this time ago. After a power loss, homes begin soon after
// the first instances; after a planned stop, at once. If no home has been known
// for longer, none can be expected soon.
constexpr duration kWaitForFirstHome = std::chrono::milliseconds(500);
// Drains last many seconds, as operators drain a failure domain for
// maintenance.
constexpr duration kRetryAfterDrained = std::chrono::seconds(5);

// How long a home may take to stop the runs of a job that ended here, also if
// the link to it is down and the home has to notice that itself.
constexpr duration kMaxStopTime = std::chrono::milliseconds(700);

// Returns the length of the longest chain of steps by the caller's estimates.
duration CriticalPath(const std::vector<job_step>& steps) {
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

job_owner::job_owner(scheduler& clock,
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
      expiry_timer_(clock) {
  ExpireJobs();
}

submission_id job_owner::Submit(run_job submission, answer_callback done) {
  job_key key = submission.key;
  if (jobs_.contains(key))
    Answer(key, {run_outcome::kUnknown, run_refusal::kSuperseded, {}});
  ++metrics_.accepted;
  open_job job;
  job.submission = submission_id(++last_submission_);
  job.done = std::move(done);
  job.accepted = clock_.now();
  duration chain = CriticalPath(submission.steps);
  job.objective =
      job.accepted + submission.target_latency +
      std::chrono::duration_cast<duration>(chain * submission.stretch);
  job.limit = job.accepted + submission.limit;
  for (const job_step& step : submission.steps)
    job.left.push_back(step.tasks);
  job.submitted = std::move(submission);
  submission_id id = job.submission;
  open_job& open = jobs_.emplace(key, std::move(job)).first->second;
  auto earlier = ended_jobs_.extract(key);
  if (earlier)
    TakeOver(open, earlier.mapped());
  else
    ChooseHome(open, kRetryAfterNoHome, run_refusal::kNotHome);
  return id;
}

// Sends the job to the home that has the runs of the earlier submission, or
// waits for that home: any other would start the tasks beside those runs.
void job_owner::TakeOver(open_job& job, const ended_job& earlier) {
  job.group = earlier.group;
  job.has_earlier_runs = true;
  job.without_home_since = clock_.now();
  const known_home* home = homes_.Find(job.group);
  if (!home)
    return;
  job.home = home->instance;
  job.owner_sends_starts = home->status.owners_start;
  SendTasks(job, true);
}

void job_owner::Forget(job_map::iterator found) {
  const open_job& job = found->second;
  if (!job.sent.empty() || job.has_earlier_runs)
    ended_jobs_[found->first] = {clock_.now(), job.submission, job.group};
  jobs_.erase(found);
}

void job_owner::ChooseHome(open_job& job,
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
  // Puts homes that handed the job back last.
  std::stable_partition(homes.begin(), homes.end(),
                        [&](const known_home& home) {
                          return !job.passed_by.contains(home.status.group);
                        });
  if (!homes.empty()) {
    job.group = homes.front().status.group;
    job.home = homes.front().instance;
    job.owner_sends_starts = homes.front().status.owners_start;
    // Only a job of one step may be handed back: tasks of several steps may be
    // in transit at the same time.
    job.may_pass =
        job.submitted.steps.size() == 1 &&
        std::any_of(homes.begin() + 1, homes.end(), [&](const auto& other) {
          return !job.passed_by.contains(other.status.group) &&
                 home_directory::HasFreeCapacity(other.status, need);
        });
    homes_.DeductSentWork(job.group, need);
    SendTasks(job, false);
    return;
  }
  job.without_home_since = clock_.now();
  run_answer answer{run_outcome::kNotRun, reason, retry_after};
  if (all_drained)
    answer = {run_outcome::kNotRun, run_refusal::kDrained, kRetryAfterDrained};
  if (job.maybe_started)
    answer.outcome = run_outcome::kUnknown;
  job.answer_due = true;
  // Answers from a timer, as the calling function may still use the job.
  clock_.CallAfter(duration::zero(), [this, key = job.submitted.key,
                                      id = job.submission, answer] {
    auto found = jobs_.find(key);
    if (found != jobs_.end() && found->second.submission == id)
      Answer(key, answer);
  });
}

int64_t job_owner::ReadyCpuMillis(const open_job& job) const {
  int64_t sum = 0;
  for (uint32_t step = 0; step < job.submitted.steps.size(); ++step) {
    if (StepIsReady(job, step))
      sum += job.submitted.steps[step].need.cpu_millis * job.left[step];
  }
  return sum;
}

bool job_owner::StepIsReady(const open_job& job, uint32_t step) const {
  return std::ranges::all_of(
      job.submitted.steps[step].after,
      [&](uint32_t earlier) { return job.left[earlier] == 0; });
}

void job_owner::SendTasks(open_job& job, bool resend) {
  for (uint32_t step = 0; step < job.submitted.steps.size(); ++step) {
    if (job.left[step] == 0 || !StepIsReady(job, step))
      continue;
    const job_step& submitted = job.submitted.steps[step];
    run_request request;
    request.job = job.submitted.key;
    request.submission = job.submission;
    request.queue = job.submitted.queue;
    request.service = job.submitted.service;
    if (job.owner_sends_starts)
      request.kept_spec_bytes =
          static_cast<uint32_t>(job.submitted.spec.size());
    else
      request.spec = job.submitted.spec;
    request.to_objective = job.objective - clock_.now();
    request.to_limit = job.limit - clock_.now();
    request.age = clock_.now() - job.accepted;
    request.max_attempts = job.submitted.max_attempts;
    request.priority = job.submitted.priority;
    request.may_pass = job.may_pass;
    request.has_place = job.first_room_at.has_value();
    request.sending = ++job.requests_sent;
    for (uint32_t index = 0; index < submitted.tasks; ++index) {
      task_position position{step, index};
      bool was_sent = job.sent.contains(position);
      if (job.finished.contains(position) || (was_sent && !resend))
        continue;
      request.tasks.push_back(
          {position, submitted.need, submitted.estimate, submitted.rack,
           submitted.required_label, submitted.max_per_upstream,
           (was_sent && job.maybe_started) || job.has_earlier_runs});
      job.sent.insert(position);
    }
    if (request.tasks.empty())
      continue;
    job.maybe_started = true;
    if (!request_(job.home, request)) {
      // The link to the home is down.
      ClearHome(job);
      return;
    }
  }
}

void job_owner::OnCallerLeft(const job_key& key, submission_id submission) {
  auto found = jobs_.find(key);
  if (found == jobs_.end() || found->second.submission != submission)
    return;
  ++metrics_.left;
  LogEvent(log_level::kInfo, "caller_left",
           {{"job", key.str()},
            {"queue", found->second.submitted.queue.str()},
            {"ms", ToMilliseconds(clock_.now() - found->second.accepted)},
            {"home", found->second.home.str()}});
  CancelAtHome(found->second);
  Forget(found);
}

const std::string* job_owner::Spec(const job_key& key,
                                   submission_id submission) const {
  auto found = jobs_.find(key);
  bool open = found != jobs_.end() && found->second.submission == submission;
  return open ? &found->second.submitted.spec : nullptr;
}

void job_owner::CancelAtHome(const open_job& job) {
  if (job.sent.empty())
    return;
  if (job.home.empty())
    ++metrics_.cancels_unsent;
  else
    cancel_(job.home, {job.submitted.key, job.submission});
}

void job_owner::OnReport(const instance_id& from, const run_report& report) {
  auto found = jobs_.find(report.job);
  if (found == jobs_.end() || found->second.submission != report.submission) {
    LogStrayReport(from, report);
    return;
  }
  open_job& job = found->second;
  if (report.refusal != run_refusal::kNone) {
    // A home that has dropped the job has dropped what it was sent before too.
    bool counts = report.sending == job.requests_sent ||
                  report.refusal == run_refusal::kSuperseded ||
                  (report.refusal == run_refusal::kNotHome && !report.not_run);
    if (job.home == from && counts)
      OnRefused(job, report);
    return;
  }
  // A task that is done counts no matter which home reports it: an earlier home
  // may have sent the report just before its successor took over.
  bool any_step_done = false;
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
    any_step_done = --job.left[task.position.step] == 0 || any_step_done;
  }
  bool all_done =
      std::ranges::all_of(job.left, [](uint32_t n) { return n == 0; });
  if (all_done && job.home != from)
    CancelAtHome(job);
  if (all_done)
    Answer(report.job, {run_outcome::kSucceeded, run_refusal::kNone, {}});
  else if (any_step_done)
    SendTasks(job, false);
}

void job_owner::LogStrayReport(const instance_id& from,
                               const run_report& report) {
  if (report.tasks.empty())
    return;
  ++metrics_.stray_reports;
  LogEvent(log_level::kInfo, "report_without_job",
           {{"job", report.job.str()},
            {"submission", report.submission.value()},
            {"home", from.str()},
            {"tasks", report.tasks.size()}});
}

void job_owner::OnRefused(open_job& job, const run_report& report) {
  // The job runs for another submission by the caller, perhaps at the same
  // home.
  if (report.refusal == run_refusal::kSuperseded) {
    Answer(report.job, {run_outcome::kUnknown, report.refusal, {}});
    return;
  }
  if (report.not_run) {
    // Another home may have room. The refusal covers only the tasks that this
    // home holds now: earlier steps of the job may have run there.
    job.maybe_started = !job.finished.empty();
    job.sent.clear();
    bool passed = report.refusal == run_refusal::kBusy;
    (passed ? job.passed_by : job.refused_by).insert(job.group);
    // The first home that refuses the job because of overload reserves a place
    // for it, so the caller is told to come back when that home expects room.
    if (report.refusal == run_refusal::kOverload && !job.first_room_at)
      job.first_room_at = clock_.now() + report.retry_after;
    duration retry_after = report.retry_after;
    if (job.first_room_at && *job.first_room_at > clock_.now())
      retry_after = *job.first_room_at - clock_.now();
    ChooseHome(job, retry_after, report.refusal);
    return;
  }
  if (report.refusal == run_refusal::kNotHome) {
    ClearHome(job);
    OnHomesChanged();
    return;
  }
  Answer(report.job,
         {run_outcome::kUnknown, report.refusal, report.retry_after});
}

// Leaves the job without a home; the group's next home gets its tasks.
void job_owner::ClearHome(open_job& job) {
  job.home = instance_id();
  job.without_home_since = clock_.now();
}

void job_owner::OnHomesChanged() {
  RetryAwaitingFirstHome();
  for (auto& [key, job] : jobs_) {
    if (job.answer_due)
      continue;
    const known_home* home = homes_.Find(job.group);
    // An instance that stops being home loses its jobs, even if it becomes home
    // again.
    if (!home && !job.home.empty())
      ClearHome(job);
    if (!home || home->instance == job.home)
      continue;
    ++metrics_.moved;
    ++job.moved;
    job.home = home->instance;
    job.owner_sends_starts = home->status.owners_start;
    SendTasks(job, true);
  }
}

// Chooses homes for the jobs that wait for a first one. If such jobs were
// refused at once, a start of all instances would turn away the callers of half
// a second, whom the homes could serve a moment later.
void job_owner::RetryAwaitingFirstHome() {
  for (auto& [key, job] : jobs_) {
    if (job.awaits_first_home)
      ChooseHome(job, kRetryAfterNoHome, run_refusal::kNotHome);
  }
}

void job_owner::OnPeerDown(const instance_id& peer) {
  for (auto& [key, job] : jobs_) {
    if (job.home == peer)
      ClearHome(job);
  }
}

void job_owner::OnPeerUp(const instance_id& peer) {
  // The cancellations may have been lost with the link.
  for (const auto& [key, job] : ended_jobs_)
    cancel_(peer, {key, job.submission});
  OnHomesChanged();
}

void job_owner::Answer(const job_key& key, const run_answer& answer) {
  auto found = jobs_.find(key);
  if (found == jobs_.end())
    return;
  LogAnswer(found->second, answer);
  RecordLatency(metrics_.answer_time, found->second.submitted.queue,
                clock_.now() - found->second.accepted, clock_.now());
  answer_callback done = std::move(found->second.done);
  bool may_have_runs = answer.outcome == run_outcome::kFailed ||
                       answer.outcome == run_outcome::kUnknown;
  if (may_have_runs)
    Forget(found);
  else
    jobs_.erase(found);
  ++metrics_.outcomes[answer.outcome];
  if (answer.reason != run_refusal::kNone)
    ++metrics_.refusals[answer.reason];
  done(answer);
}

bool job_owner::AnyHomeHasPlaces(const open_job& job) const {
  int64_t need = ReadyCpuMillis(job);
  return std::ranges::any_of(
      homes_.Ranked(domain_, need), [need](const known_home& home) {
        return home_directory::HasFreeCapacity(home.status, need);
      });
}

// Logs one line for each job. It names the home, whose log shows under the
// job's id what went wrong there.
void job_owner::LogAnswer(const open_job& job, const run_answer& answer) const {
  const known_home* home = homes_.Find(job.group);
  duration age = home ? clock_.now() - home->received_at : duration::zero();
  bool served = answer.outcome == run_outcome::kSucceeded;
  LogEvent(log_level::kInfo, "job_answered",
           {{"job", job.submitted.key.str()},
            {"queue", job.submitted.queue.str()},
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

void job_owner::GiveUpAll() {
  while (!jobs_.empty()) {
    CancelAtHome(jobs_.begin()->second);
    job_key key = jobs_.begin()->first;
    Answer(key, {run_outcome::kUnknown, run_refusal::kNone, {}});
  }
}

void job_owner::ExpireJobs() {
  std::erase_if(ended_jobs_, [this](const auto& entry) {
    return clock_.now() - entry.second.ended_at > kMaxStopTime;
  });
  // Polls, as a known home may have no upstreams at first.
  RetryAwaitingFirstHome();
  std::vector<job_key> given_up;
  for (const auto& [key, job] : jobs_) {
    bool too_long_without_home =
        job.home.empty() && !job.awaits_first_home &&
        clock_.now() - job.without_home_since > kMaxTimeWithoutHome;
    if (clock_.now() >= job.limit || too_long_without_home)
      given_up.push_back(key);
  }
  for (const job_key& key : given_up) {
    CancelAtHome(jobs_.at(key));
    Answer(key, {run_outcome::kUnknown, run_refusal::kNone, {}});
  }
  expiry_timer_.StartAfter(kExpiryInterval, [this] { ExpireJobs(); });
}

}  // namespace jasminedyke
