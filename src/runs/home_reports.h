// What a home tells the owners of its jobs: ends of tasks, and refusals.

#ifndef SRC_RUNS_HOME_REPORTS_H_
#define SRC_RUNS_HOME_REPORTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "base/base.h"
#include "runs/crash_record.h"
#include "runs/home_job.h"
#include "runs/run_messages.h"

namespace jasminedyke {

class home_reports {
 public:
  using send_report =
      std::function<void(const instance_id&, const run_report&)>;

  home_reports(scheduler& clock, home_job_map& jobs, send_report send);

  // Owners can do something with an end only when it is the job's last one
  // here, or a failure. The others wait a moment for it: one message for a job
  // of four tasks instead of four.
  void Report(home_job& job, const home_task& task, task_verdict verdict);
  // Says where the time went of a job that is late, once its last task has
  // ended or nobody waits for it any more.
  void LogLate(const home_job& job) const;
  // The ends that show the job as failed.
  void LogFailed(const home_job& job, const home_task& task) const;
  // The losses for which the task is not started.
  void LogHeld(const task_name& task,
               const std::vector<task_loss>& losses) const;
  // The job is not served here; `token` is the home's, for the log.
  void Refuse(const home_job& job,
              run_refusal reason,
              duration retry_after,
              fencing_token token);
  // The same without a log line of its own.
  void SendRefusal(const home_job& job,
                   run_refusal reason,
                   duration retry_after);
  // To one that takes this instance for a home.
  void SendNotHome(const instance_id& to, const run_request& request);
  // What waits is not sent any more.
  void Stop() { timer_.Stop(); }

  const std::map<run_refusal, uint64_t>& refused() const { return refused_; }

 private:
  void Send(home_job& job);
  void SendAll();

  scheduler& clock_;
  home_job_map& jobs_;
  send_report send_;
  std::map<run_refusal, uint64_t> refused_;
  scoped_timer timer_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_REPORTS_H_
