#include "runs/home_reports.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// What a home that dies may not have told; the tasks would run once more.
constexpr duration kReportPause = std::chrono::milliseconds(20);

}  // namespace

home_reports::home_reports(scheduler& clock,
                           home_job_map& jobs,
                           send_report send)
    : clock_(clock), jobs_(jobs), send_(std::move(send)), timer_(clock) {}

void home_reports::Report(home_job& job,
                          const home_task& task,
                          task_verdict verdict) {
  job.unreported.push_back({task.demand.position, verdict});
  bool all_done = std::ranges::all_of(job.tasks, [](const auto& entry) {
    return entry.second.phase == task_phase::kDone;
  });
  if (all_done || verdict == task_verdict::kFailed)
    Send(job);
  else if (!timer_.active())
    timer_.StartAfter(kReportPause, [this] { SendAll(); });
}

void home_reports::Send(home_job& job) {
  run_report report{job.key, job.request.submission, {}};
  report.tasks = std::exchange(job.unreported, {});
  send_(job.owner, report);
}

void home_reports::SendAll() {
  for (auto& [key, job] : jobs_) {
    if (!job.unreported.empty() && !job.cancelled)
      Send(job);
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
            {"not_run", job.IsUntouched() ? 1 : 0},
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
  report.not_run = job.IsUntouched();
  report.retry_after = retry_after;
  send_(job.owner, report);
}

void home_reports::SendNotHome(const instance_id& to,
                               const run_request& request) {
  run_report report{request.job, request.submission, {}};
  report.refusal = run_refusal::kNotHome;
  report.sending = request.sending;
  // It may have been home when the job was sent first.
  report.not_run = std::ranges::none_of(
      request.tasks, [](const task_demand& t) { return t.maybe_started; });
  send_(to, report);
}

}  // namespace jasminedyke
