#include "runs/home_reports.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// Delay for batching reports. Ends not yet reported are lost if the home
// crashes, and their tasks run again, so it must be short.
constexpr duration kReportDelay = std::chrono::milliseconds(20);

// How one task spent its time, until its end or until now: waiting for free
// capacity, in runs that were lost, and in its last run.
struct task_times {
  time_point end;
  duration room_wait = duration::zero();
  duration lost = duration::zero();
  duration run = duration::zero();
};

task_times SplitTaskTime(const home_task& task, time_point now) {
  task_times times;
  times.end = task.phase() == task_phase::kDone ? task.ended_at : now;
  bool queued = task.phase() == task_phase::kQueued;
  time_point ordered = queued ? times.end : task.ordered_at;
  bool ever_ordered = task.first_ordered_at != time_point();
  time_point first = ever_ordered ? task.first_ordered_at : ordered;
  times.room_wait = first - task.queued_at;
  times.lost = ordered - first;
  times.run = times.end - ordered;
  return times;
}

}  // namespace

home_reports::home_reports(scheduler& clock,
                           home_job_map& jobs,
                           send_report send)
    : clock_(clock),
      jobs_(jobs),
      send_(std::move(send)),
      reported_(clock),
      timer_(clock) {}

void home_reports::Report(home_job& job,
                          home_task& task,
                          task_verdict verdict) {
  job.unreported.push_back({task.demand().position, verdict});
  task.unreported = true;
  bool all_done = job.tasks.AllDone();
  if (all_done)
    LogLate(job);
  if (all_done || verdict == task_verdict::kFailed)
    SendPending(job);
  else if (!timer_.active())
    timer_.StartAfter(kReportDelay, [this] { SendAll(); });
}

// The steps of a job run one after the other, and each takes as long as the
// task that ends last in it. The sums therefore count one task per step.
void home_reports::LogLate(const home_job& job) const {
  time_point now = clock_.now();
  if (now <= job.objective || job.tasks.empty())
    return;
  std::map<uint32_t, const home_task*> last_task_of_step;
  time_point first_queued = now;
  for (const auto& [position, task] : job.tasks) {
    first_queued = std::min(first_queued, task.queued_at);
    const home_task*& last = last_task_of_step[position.step];
    if (!last || SplitTaskTime(task, now).end >= SplitTaskTime(*last, now).end)
      last = &task;
  }
  task_times total;
  duration expected = duration::zero();
  for (const auto& [step, task] : last_task_of_step) {
    task_times times = SplitTaskTime(*task, now);
    total.room_wait += times.room_wait;
    total.lost += times.lost;
    total.run += times.run;
    expected += task->demand().estimate;
  }
  const home_task& last = *last_task_of_step.rbegin()->second;
  duration age =
      job.request.age + job.request.to_objective + (now - job.objective);
  LogEvent(log_level::kInfo, "job_late",
           {{"job", job.key.str()},
            {"age_ms", ToMilliseconds(age)},
            {"came_ms", ToMilliseconds(age - (now - first_queued))},
            {"room_wait_ms", ToMilliseconds(total.room_wait)},
            {"lost_ms", ToMilliseconds(total.lost)},
            {"run_ms", ToMilliseconds(total.run)},
            {"expected_ms", ToMilliseconds(expected)},
            {"upstream", last.upstream().str()},
            {"runs", last.last_run},
            {"answers_lost", last.answers_lost ? 1 : 0}});
}

void home_reports::LogFailed(const home_job& job, const home_task& task) const {
  std::string runs;
  for (const failed_run& failure : task.failures)
    runs += (runs.empty() ? "" : ",") + failure.upstream.str() + "/" +
            std::to_string(failure.run);
  LogEvent(log_level::kInfo, "task_failed",
           {{"job", job.key.str()},
            {"task", task.demand().position.index},
            {"failures", task.failures.size()},
            {"max_attempts", job.request.max_attempts},
            {"runs", runs}});
}

void home_reports::LogHeld(const task_name& task,
                           const std::vector<task_loss>& losses) const {
  std::string upstreams;
  for (const task_loss& loss : losses)
    upstreams += (upstreams.empty() ? "" : ",") + loss.upstream.id.str() +
                 (loss.begun ? "/begun" : "/ordered");
  LogEvent(log_level::kWarning, "task_held",
           {{"job", task.job.str()},
            {"task", task.position.index},
            {"lost_upstreams", upstreams}});
}

void home_reports::SendPending(home_job& job) {
  if (job.unreported.empty() || job.orphaned)
    return;
  run_report report{job.key, job.request.submission, {}};
  report.tasks = std::exchange(job.unreported, {});
  for (const task_report& task : report.tasks) {
    job.tasks.Find(task.position)->unreported = false;
    if (task.verdict == task_verdict::kDone)
      reported_.Add({job.key, 0, task.position});
  }
  send_(job.owner, report);
}

void home_reports::Clear() {
  timer_.Stop();
  reported_.Clear();
}

void home_reports::SendAll() {
  for (auto& [key, job] : jobs_) {
    if (!job.cancelled)
      SendPending(job);
  }
}

void home_reports::Refuse(const home_job& job,
                          run_refusal reason,
                          duration retry_after,
                          fencing_token token) {
  duration to_objective = job.objective - clock_.now();
  LogEvent(log_level::kInfo, "home_refuses",
           {{"job", job.key.str()},
            {"owner", job.owner.str()},
            {"reason", ToString(reason)},
            {"not_run", job.HasNotStarted() ? 1 : 0},
            {"retry_after_ms", ToMilliseconds(retry_after)},
            {"to_objective_ms", ToMilliseconds(to_objective)},
            {"token", token.value()}});
  SendRefusal(job, reason, retry_after);
}

void home_reports::SendRefusal(const home_job& job,
                               run_refusal reason,
                               duration retry_after) {
  ++refused_[reason];
  run_report report{job.key, job.request.submission, {}};
  report.refusal = reason;
  report.sending = job.request.sending;
  report.not_run = job.HasNotStarted();
  report.retry_after = retry_after;
  send_(job.owner, report);
}

void home_reports::SendSuperseded(const instance_id& to,
                                  const run_request& request) {
  ++refused_[run_refusal::kSuperseded];
  run_report report{request.job, request.submission, {}};
  report.refusal = run_refusal::kSuperseded;
  report.sending = request.sending;
  send_(to, report);
}

void home_reports::SendNotHome(const instance_id& to,
                               const run_request& request) {
  run_report report{request.job, request.submission, {}};
  report.refusal = run_refusal::kNotHome;
  report.sending = request.sending;
  // Tasks may have been started here if this instance was home when the job was
  // first sent.
  report.not_run = std::ranges::none_of(
      request.tasks, [](const task_demand& t) { return t.maybe_started; });
  send_(to, report);
}

}  // namespace jasminedyke
