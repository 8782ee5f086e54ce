// Reports from a home to the owners of its jobs: finished tasks and refusals.

#ifndef SRC_RUNS_HOME_REPORTS_H_
#define SRC_RUNS_HOME_REPORTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "base/base.h"
#include "runs/crash_record.h"
#include "runs/home_job.h"
#include "runs/reported_ends.h"
#include "runs/run_messages.h"

namespace jasminedyke {

// Sends the reports of one home and logs late, failed, held and refused work.
class home_reports {
 public:
  using send_report =
      std::function<void(const instance_id&, const run_report&)>;

  home_reports(scheduler& clock, home_job_map& jobs, send_report send);

  // Reports the end of a task to the job's owner. Owners act only on a failure
  // or on the last end of a job at this home, so other ends are delayed briefly
  // and batched: a job of four tasks usually needs one message instead of four.
  // Ends of orphaned jobs wait until the owner sends the job again.
  void Report(home_job& job, home_task& task, task_verdict verdict);
  // Sends the ends that wait.
  void SendPending(home_job& job);
  // Returns true if the task was reported as done so recently that its owner
  // may not know.
  bool WasDone(const task_name& task) const { return reported_.Contains(task); }
  // If the job has missed its objective, logs how its time was spent. Called
  // once its last task has ended or no caller waits for it any more.
  void LogLate(const home_job& job) const;
  // Logs the failed runs because of which the job fails.
  void LogFailed(const home_job& job, const home_task& task) const;
  // Logs the lost upstreams because of which the task is not started again.
  void LogHeld(const task_name& task,
               const std::vector<task_loss>& losses) const;
  // Sends the owner a report that this home does not serve the job, and logs
  // the refusal with the home's fencing token.
  void Refuse(const home_job& job,
              run_refusal reason,
              duration retry_after,
              fencing_token token);
  // Like `Refuse`, but writes no log line.
  void SendRefusal(const home_job& job,
                   run_refusal reason,
                   duration retry_after);
  // Refuses a request whose sender wrongly assumes that this instance is home.
  void SendNotHome(const instance_id& to, const run_request& request);
  // Refuses a request for a job that runs for a later submission by its caller.
  void SendSuperseded(const instance_id& to, const run_request& request);
  // Cancels the pending batch of reports and forgets the earlier ones.
  void Clear();

  const std::map<run_refusal, uint64_t>& refused() const { return refused_; }

 private:
  void SendAll();

  scheduler& clock_;
  home_job_map& jobs_;
  send_report send_;
  reported_ends reported_;
  std::map<run_refusal, uint64_t> refused_;
  scoped_timer timer_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_REPORTS_H_
