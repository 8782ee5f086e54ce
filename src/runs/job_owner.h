// Tracks the jobs that callers submitted to this entry instance, from
// acceptance to answer.

#ifndef SRC_RUNS_JOB_OWNER_H_
#define SRC_RUNS_JOB_OWNER_H_

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

// A job as its caller submitted it.
struct run_job {
  job_key key;
  queue_id queue;
  service_id service;
  std::string spec;
  std::vector<job_step> steps;
  int priority = 0;
  int max_attempts = 1;
  // The factor on the estimated length of the job's critical path that its
  // objective allows.
  double stretch = 1;
  duration target_latency = duration::zero();
  // How long the caller waits.
  duration limit = duration::zero();
};

enum class run_outcome {
  kSucceeded,
  kFailed,   // all allowed attempts of a task failed
  kNotRun,   // refused: no task has started or will start
  kUnknown,  // abandoned; some tasks may have run
};

const char* ToString(run_outcome outcome);

struct run_answer {
  run_outcome outcome = run_outcome::kUnknown;
  run_refusal reason = run_refusal::kNone;
  // How long to wait before trying again; always set with `kNotRun`, and with
  // `kUnknown` if that is known.
  duration retry_after = duration::zero();
};

struct job_owner_metrics {
  uint64_t accepted = 0;
  // Jobs whose callers left before the answer.
  uint64_t left = 0;
  std::map<run_outcome, uint64_t> outcomes;
  std::map<run_refusal, uint64_t> refusals;
  // How often a job was sent again because its group had a new home.
  uint64_t moved = 0;
  // Jobs that ended here while their home could not be told so.
  uint64_t cancels_unsent = 0;
  // Reports of tasks' ends for submissions that are not open here.
  uint64_t stray_reports = 0;
  // The time from acceptance to answer.
  latency_by_queue answer_time;
};

// Owns the jobs that were submitted here. Sends each job to one home and keeps
// the state to continue without that home: if it is lost, its successor gets
// the tasks that are not done.
class job_owner {
 public:
  using answer_callback = std::function<void(const run_answer&)>;
  using send_request =
      std::function<bool(const instance_id&, const run_request&)>;
  using send_cancel =
      std::function<void(const instance_id&, const run_cancel&)>;

  job_owner(scheduler& clock,
            const failure_domain_id& domain,
            home_directory& homes,
            send_request request,
            send_cancel cancel);

  // Accepts a job. `done` is called at most once, never from within this call.
  // An open job with the same key is answered as `kUnknown`, and the new job
  // takes over its runs.
  submission_id Submit(run_job submission, answer_callback done);
  // Drops the job of a caller that left; it gets no answer.
  void OnCallerLeft(const job_key& key, submission_id submission);

  // Answers all open jobs as `kUnknown`, at the end of a shutdown.
  void GiveUpAll();

  void OnReport(const instance_id& from, const run_report& report);
  // Called when a group has lost its home or has another one.
  void OnHomesChanged();
  void OnPeerDown(const instance_id& peer);
  void OnPeerUp(const instance_id& peer);

  // Returns the job's specification; null if that submission is not open.
  const std::string* Spec(const job_key& key, submission_id submission) const;
  size_t open_jobs() const { return jobs_.size(); }
  const job_owner_metrics& metrics() const { return metrics_; }

 private:
  struct open_job {
    submission_id submission;
    run_job submitted;
    answer_callback done;
    time_point accepted;
    time_point objective;
    time_point limit;
    home_group group;
    // Empty while the group has no home.
    instance_id home;
    // True if this instance keeps the specification and sends the starts for
    // the home.
    bool owner_sends_starts = false;
    time_point without_home_since;
    // How often the job was sent to a new home of its group.
    int moved = 0;
    // Groups whose home refused the job as not run, except for `passed_by`.
    std::set<home_group> refused_by;
    // When the first home that refused the job because of overload expects room
    // for it.
    std::optional<time_point> first_room_at;
    // Groups that handed the job back because another one seemed to have room.
    std::set<home_group> passed_by;
    bool may_pass = false;
    // The number of requests sent for this job. A home that stops and becomes
    // home again while a message is in transit may refuse an earlier request as
    // not run after a later one has made it start the tasks. A refusal
    // therefore counts only if it answers the latest request.
    uint32_t requests_sent = 0;
    // Tasks that were sent to a home, including those that are done; cleared
    // when a home refuses the job as not run.
    std::set<task_position> sent;
    // The number of tasks of each step that are left to finish.
    std::vector<uint32_t> left;
    std::set<task_position> finished;
    bool maybe_started = false;
    // The home may have runs of an earlier submission, of any task.
    bool has_earlier_runs = false;
    // True while no home is known but one is likely to begin soon; nothing was
    // sent yet.
    bool awaits_first_home = false;
    // True if no home takes the job: it is answered in the next turn of the
    // event loop and must not be sent any more.
    bool answer_due = false;
  };
  using job_map = std::map<job_key, open_job>;
  // A job that ended here although its home may have runs of it.
  struct ended_job {
    time_point ended_at;
    submission_id submission;
    home_group group;
  };

  // Returns the CPU need of all tasks that are ready and not done.
  int64_t ReadyCpuMillis(const open_job& job) const;
  bool StepIsReady(const open_job& job, uint32_t step) const;
  // Sends the unfinished tasks of ready steps; with `resend`, also those that
  // were sent before.
  void SendTasks(open_job& job, bool resend);
  // Sends the job to the best home that has not refused it. Without one, the
  // job waits for a first home if that is likely to begin soon, or else is
  // answered with `reason` and `retry_after`.
  void ChooseHome(open_job& job, duration retry_after, run_refusal reason);
  void RetryAwaitingFirstHome();
  // Sends the job to the home that may have runs of its earlier submission.
  void TakeOver(open_job& job, const ended_job& earlier);
  // Ends the job here; remembers it while its home may have runs of it.
  void Forget(job_map::iterator found);
  void ClearHome(open_job& job);
  void OnRefused(open_job& job, const run_report& report);
  void Answer(const job_key& key, const run_answer& answer);
  // Returns true if a home has free capacity for all tasks that are ready and
  // not done.
  bool AnyHomeHasPlaces(const open_job& job) const;
  void LogAnswer(const open_job& job, const run_answer& answer) const;
  void CancelAtHome(const open_job& job);
  // Logs ends of tasks of a submission that is not open here. They crossed with
  // the end of the job, or their home runs tasks for which nobody waits.
  void LogStrayReport(const instance_id& from, const run_report& report);
  void ExpireJobs();

  scheduler& clock_;
  failure_domain_id domain_;
  home_directory& homes_;
  send_request request_;
  send_cancel cancel_;
  job_map jobs_;
  std::map<job_key, ended_job> ended_jobs_;
  uint64_t last_submission_;
  job_owner_metrics metrics_;
  // When a home with upstreams was last known; initially when this instance
  // started.
  time_point home_known_at_;
  scoped_timer expiry_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_JOB_OWNER_H_
