// The home of a group of upstreams: the only instance that starts, stops, holds
// and acknowledges runs there, on behalf of all entry instances.

#ifndef SRC_RUNS_RUN_HOME_H_
#define SRC_RUNS_RUN_HOME_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/admission_estimate.h"
#include "runs/byte_rate.h"
#include "runs/crash_record.h"
#include "runs/home_job.h"
#include "runs/home_reports.h"
#include "runs/home_room.h"
#include "runs/home_upstreams.h"
#include "runs/job_order.h"
#include "runs/late_starts.h"
#include "runs/owner_links.h"
#include "runs/queue_latency.h"
#include "runs/return_bound.h"
#include "runs/run_claims.h"
#include "runs/run_messages.h"
#include "runs/run_times.h"
#include "runs/start_gate.h"
#include "runs/stuck_runs.h"
#include "runs/task_placer.h"
#include "runs/upstream_session.h"

namespace jasminedyke {

struct run_home_metrics {
  uint64_t started = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  // Runs that ended because their lease expired.
  uint64_t lapsed = 0;
  uint64_t stopped = 0;
  uint64_t adopted = 0;
  stuck_runs::counts stuck;
  // Starts on upstreams that were not in good standing.
  uint64_t trials = 0;
  // Upstreams that were lost with runs on them.
  uint64_t upstreams_lost = 0;
  // Jobs given up because several upstreams were lost while they ran the same
  // task.
  uint64_t given_up = 0;
  // Jobs cancelled because their owner was gone.
  uint64_t orphans_cancelled = 0;
  // Cancelled jobs whose runs went on for much longer than a stop takes.
  uint64_t overdue_stops = 0;
  // Orders to start that were sent again, as they went unanswered.
  uint64_t repeated_starts = 0;
  std::map<start_result, uint64_t> refused_starts;
  // The time from a task's arrival until a start request for it, recorded at
  // every start of the task.
  latency_by_queue room_wait;
  // The time from a task's last start request until it is done.
  latency_by_queue run_time;
};

// Schedules the jobs of all entry instances on the upstreams of one group.
//
// A group has a single home because an upstream keeps one list of the results
// of ended runs, which any acknowledgement truncates, and one lease, which any
// lease-renewal request ("hold") prolongs. Two instances that send holds to the
// same upstream would lose each other's results and keep each other's orphaned
// runs alive.
class run_home : public upstream_session::owner {
 public:
  using send_report = home_reports::send_report;
  using fenced_handler = std::function<void()>;
  using crash_handler = std::function<void(const crash_news&)>;

  struct settings {
    upstream_session::limits upstreams;
    // The bandwidth of this instance's network link in each direction; 0 if not
    // known.
    double link_bytes_per_second = 0;
    // How long jobs that have begun may start further tasks after operators
    // have drained the failure domain.
    duration drain_grace_period = duration::zero();
    placement_rule placement = placement_rule::kLeastSlack;
    // How long after the loss of its connection a caller sends its job again.
    duration resend_after = std::chrono::milliseconds(1300);
  };

  run_home(scheduler& clock,
           upstream_port& port,
           const home_group& group,
           const settings& options,
           send_report send,
           fenced_handler on_fenced);
  ~run_home() override;

  // Begins to serve as home. Must not be called while serving: what upstreams
  // have told this home proves nothing of homes whose tokens are between that
  // token and a new one.
  void Begin(fencing_token token);
  // Leaves the upstreams to a successor. Runs are not stopped.
  void End();
  bool serving() const { return serving_; }

  // Sets the group's upstreams. `confirmed` is true if the list comes from the
  // store and this home knew all upstreams when it began.
  void SetUpstreams(const upstream_registry& upstreams, bool confirmed);

  // Sets the state that operators have requested for the failure domain.
  void SetDomainState(domain_state state);

  // `handler` gets news about tasks that crash upstreams, to be sent to the
  // other instances.
  void SetCrashHandler(crash_handler handler) {
    publish_crash_news_ = std::move(handler);
  }
  void AddCrashNews(const crash_news& news);
  crash_news CrashSuspects() const { return crashes_.All(clock_.now()); }

  void OnRequest(const instance_id& from, const run_request& request);
  void OnCancel(const instance_id& from, const run_cancel& cancel);
  // The link to an entry instance broke. Its jobs are cancelled soon unless it
  // sends them again over a new link.
  void OnPeerDown(const instance_id& peer) { owner_links_.OnDown(peer); }
  // There is a new link to an entry instance. Jobs of earlier processes of that
  // instance are cancelled.
  void OnPeerUp(const instance_id& peer, const incarnation_id& incarnation);
  // The instance has handled what reached it until it read a status that this
  // one sent at `sent`, by `scheduler::boot_now`.
  void OnConfirmed(const instance_id& owner, time_point sent);
  // This instance has handled what reached it until `handled_until`, by
  // `scheduler::boot_now`.
  void OnOwnConfirmed(time_point handled_until) {
    owner_links_.OnOwnConfirmed(handled_until);
  }

  home_status Status() const;
  const run_home_metrics& metrics() const { return metrics_; }
  const std::map<run_refusal, uint64_t>& refused_jobs() const {
    return reports_.refused();
  }
  size_t jobs() const { return jobs_.size(); }
  // Whether a run is, or may be, on the upstream.
  bool HasRunsOn(const upstream_id& id) const {
    const upstream_session* session = upstreams_.Find(id);
    return session && !session->idle();
  }
  home_speeds& speeds() { return upstreams_.speeds(); }
  const home_speeds& speeds() const { return upstreams_.speeds(); }

 private:
  struct chosen_place {
    upstream_session* upstream = nullptr;
    // The task must not share the upstream.
    bool alone = false;
  };

  void OnRunEnded(upstream_session& session,
                  const task_name& task,
                  run_number run,
                  run_end how) override;
  void OnLost(upstream_session& session, const upstream_loss& loss) override;
  // A lost upstream replies again, or is known to have crashed.
  void OnFoundAgain(upstream_session& session,
                    const upstream_loss& loss,
                    bool crashed) override;
  void OnReborn(upstream_session& session) override;
  void OnNotStarted(upstream_session& session,
                    const task_name& task,
                    run_number run,
                    start_result why) override;
  bool OnStartUnanswered(upstream_session& session,
                         const task_name& task,
                         run_number run) override;
  // A run that an earlier home started was found on an upstream.
  void OnFound(upstream_session& session,
               const task_name& task,
               run_number run) override;
  time_point EndOfRun(const task_name& task) const override;
  void OnCapacityChanged(upstream_session& session) override;
  void OnFenced(upstream_session& session) override;

  home_task* FindTask(const task_name& task, home_job** job);
  void AddTasks(home_job& job, const run_request& request);
  // Marks the task as running on `upstream` since before this home began.
  void MarkAdopted(home_job& job, home_task& task, const upstream_id& upstream);
  void CancelJob(home_job& job);
  // Cancels a job whose owner is gone; `why` is for the log.
  void CancelOrphan(home_job& job, const char* why);
  // Cancels the jobs with runs whose owners have fallen silent.
  void CancelUnconfirmed();
  void EraseIfFinished(const job_key& key);
  void OnTaskDone(home_job& job, home_task& task);
  void OnTaskFailed(home_job& job, home_task& task);
  void PublishCrashNews();
  void Requeue(home_job& job, home_task& task);
  void GiveUp(home_job& job, const home_task& task);
  void Refuse(home_job& job, run_refusal reason, duration retry_after);
  // True if every run that an earlier home may have started is known or over.
  bool AllSettled() const;
  // How long runs of earlier homes may live.
  duration EarlierRunsTime() const;
  // True if that holds for a task that its owner moved here at `moved_at`.
  bool EarlierRunsAreKnown(time_point moved_at) const;
  // True if no run of an earlier home can be on an upstream that has not
  // replied yet.
  bool MayStartTasks() const;
  void QueueMaybeStarted();
  void ScheduleDispatch();
  void Dispatch();
  std::vector<waiting_job> RankWaitingJobs();
  // Refuses the job as busy and cancels it here; its owner sends it to another
  // group.
  void PassToOtherGroup(home_job& job);
  void ReturnToOwner(home_job& job, run_refusal reason, duration retry_after);
  bool PlaceTasks(home_job& job);
  bool PlaceTask(home_job& job, home_task& task);
  // Returns no upstream if none is suitable now.
  chosen_place ChoosePlace(home_job& job, home_task& task);
  // Returns where the task must run while orders for it may arrive late.
  std::optional<late_starts::place> LatePlaceOf(const task_name& task) const;
  // The instance that sends the starts of the job, if that is its owner.
  std::optional<start_delegate> DelegateOf(const home_job& job) const;
  void StartOn(upstream_session& session,
               home_job& job,
               home_task& task,
               const resource_amount& need);
  crash_suspicion SuspicionOf(const home_job& job, const home_task& task) const;
  // Returns the first queued task that must not be started, because upstreams
  // were lost while they ran it, or null.
  const home_task* HeldTask(const home_job& job) const;
  void Sweep();
  // Logs each cancelled job once whose runs should have been stopped by now.
  void LogOverdueStops();
  // Returns how long a task of the job waits for an upstream that has left,
  // whose late start must not meet another run of the task; 0 if none does.
  duration WaitForLeftUpstream(const home_job& job) const;
  void RefuseLateJobs();
  void EraseFinishedCancelled();
  void RecordRunEnd(home_job& job, const home_task& task, run_end how);
  // Decides whether owners send the starts of their jobs themselves.
  void UpdateOwnersStart();
  duration EstimateRoomWait() const;

  scheduler& clock_;
  upstream_port& port_;
  home_group group_;
  settings settings_;
  return_bound bound_;
  fenced_handler on_fenced_;
  bool serving_ = false;
  fencing_token token_;
  start_gate gate_;
  upstream_registry registry_;
  // Kept when this instance ceases to be home. The sessions refer to it.
  late_starts late_starts_;
  home_upstreams upstreams_;
  task_placer placer_;
  home_job_map jobs_;
  home_reports reports_;
  run_claims claims_;
  owner_links owner_links_;
  run_home_metrics metrics_;
  time_point begun_at_;
  // True once the list of upstreams includes those that earlier homes used and
  // those that the store has listed since this home began.
  bool upstreams_confirmed_ = false;
  bool began_with_upstreams_ = false;
  bool dispatch_scheduled_ = false;
  crash_record crashes_;
  crash_handler publish_crash_news_;
  // The rate of specification bytes in all starts, including those that owners
  // send.
  byte_rate spec_rate_;
  answer_times answer_times_;
  run_times run_times_;
  home_room room_;
  stuck_runs stuck_runs_;
  // True while owners send the starts of their jobs themselves.
  bool owners_start_ = false;
  scoped_timer dispatch_timer_;
  scoped_timer sweep_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_RUN_HOME_H_
