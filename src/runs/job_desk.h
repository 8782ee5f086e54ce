// The jobs that callers handed to this entry instance, from acceptance to
// answer.

#ifndef SRC_RUNS_JOB_DESK_H_
#define SRC_RUNS_JOB_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/home_directory.h"
#include "runs/queue_latency.h"
#include "runs/run_messages.h"

namespace jasminedyke {

// A step's tasks start when all tasks of the steps in `after` are done.
struct job_step {
  uint32_t tasks = 0;
  resource_amount need;
  duration estimate = duration::zero();
  std::vector<uint32_t> after;
  rack_id rack;
  std::string required_label;
  int max_per_upstream = 0;
};

struct run_job {
  job_key key;
  queue_id queue;
  service_id service;
  std::string spec;
  std::vector<job_step> steps;
  int priority = 0;
  int max_attempts = 1;
  // Over the job's longest chain of work, for its objective.
  double stretch = 1;
  duration target_latency = duration::zero();
  // How long the caller waits.
  duration limit = duration::zero();
};

enum class run_outcome {
  kSucceeded,
  kFailed,   // a task failed as often as allowed
  kNotRun,   // refused: no task has started or will
  kUnknown,  // given up; parts may have run
};

const char* ToString(run_outcome outcome);

struct run_answer {
  run_outcome outcome = run_outcome::kUnknown;
  run_refusal reason = run_refusal::kNone;
  // With `kNotRun`: when it is worth trying again.
  duration retry_after = duration::zero();
};

struct job_desk_metrics {
  uint64_t accepted = 0;
  uint64_t left = 0;
  std::map<run_outcome, uint64_t> outcomes;
  std::map<run_refusal, uint64_t> refusals;
  uint64_t moved = 0;
  // From acceptance to answer.
  latency_by_queue answer_time;
};

// Sends each job to one home and keeps what it needs to go on without it: when
// the home is lost, its successor gets the tasks that are not done.
class job_desk {
 public:
  using answer_callback = std::function<void(const run_answer&)>;
  using send_request =
      std::function<bool(const instance_id&, const run_request&)>;
  using send_cancel =
      std::function<void(const instance_id&, const run_cancel&)>;

  job_desk(scheduler& clock,
           const failure_domain_id& domain,
           home_directory& homes,
           send_request request,
           send_cancel cancel);

  // `done` is called once, never from within this call. A job that is here
  // already under that key is answered as `kUnknown`, and the new one takes
  // over its runs.
  submission_id Submit(run_job submission, answer_callback done);
  // The caller left; it gets no answer.
  void Leave(const job_key& key, submission_id submission);

  // Answers all open jobs as `kUnknown`, at the end of a stop.
  void GiveUpAll();

  void OnReport(const instance_id& from, const run_report& report);
  // A group has another home, or one again.
  void OnHomesChanged();
  void OnPeerDown(const instance_id& peer);
  void OnPeerUp(const instance_id& peer);

  // Null if that submission is not open.
  const std::string* Spec(const job_key& key, submission_id submission) const;
  size_t open_jobs() const { return jobs_.size(); }
  const job_desk_metrics& metrics() const { return metrics_; }

 private:
  struct open_job {
    submission_id submission;
    run_job asked;
    answer_callback done;
    time_point accepted;
    time_point objective;
    time_point limit;
    home_group group;
    // Empty while the group has no home.
    instance_id home;
    // That home has the starts sent from here.
    bool keeps_spec = false;
    time_point homeless_since;
    // How often its group got another home.
    int moved = 0;
    std::set<home_group> refused_by;
    // When the first home that refused it for load expects room for it.
    std::optional<time_point> room_at;
    // Groups that handed the job back because another one seemed to have
    // places.
    std::set<home_group> passed_by;
    bool may_pass = false;
    // Requests sent for this job. A home that ends and begins again within a
    // message's time may refuse an earlier one, as not run, after a later one
    // has made it start the tasks.
    uint32_t sendings = 0;
    // Tasks that were sent to a home at any time and are not done.
    std::set<task_position> sent;
    // Of each step, the tasks that are not done.
    std::vector<uint32_t> left;
    std::set<task_position> finished;
    bool maybe_started = false;
    // No home is known, but one is likely to begin soon. Nothing was sent.
    bool awaits_first_home = false;
  };
  using job_map = std::map<job_key, open_job>;

  // Of all tasks that are ready and not done.
  int64_t ReadyCpuMillis(const open_job& job) const;
  bool StepIsReady(const open_job& job, uint32_t step) const;
  // Sends the tasks of ready steps; with `again`, also those sent before.
  void SendTasks(open_job& job, bool again);
  void ChooseHome(open_job& job, duration retry_after, run_refusal reason);
  void ServeWaiting();
  void LoseHome(open_job& job);
  void OnRefused(open_job& job, const run_report& report);
  void Answer(const job_key& key, const run_answer& answer);
  bool AnyHomeHasPlaces(const open_job& job) const;
  void LogAnswer(const open_job& job, const run_answer& answer) const;
  void CancelAtHome(const open_job& job);
  void Sweep();

  scheduler& clock_;
  failure_domain_id domain_;
  home_directory& homes_;
  send_request request_;
  send_cancel cancel_;
  job_map jobs_;
  uint64_t last_submission_;
  job_desk_metrics metrics_;
  // When a home was last known that had upstreams, or this instance started.
  time_point home_known_at_;
  scoped_timer sweep_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_JOB_DESK_H_
