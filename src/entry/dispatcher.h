// Takes jobs, starts their tasks where the slot strategy says, and gives each
// job its one outcome.

#ifndef SRC_ENTRY_DISPATCHER_H_
#define SRC_ENTRY_DISPATCHER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "entry/dispatch_metrics.h"
#include "entry/job.h"
#include "policy/policy.h"
#include "store/store.h"
#include "upstream/upstream.h"

namespace jasminedyke {

// The owner of all jobs that one entry instance accepted. It alone starts
// their tasks. It knows no sockets: attempts go through an `attempt_port`.
class dispatcher : public slot_host {
 public:
  using completion = std::function<void(const job_outcome&)>;
  using peer_sender =
      std::function<void(const instance_id& peer, const slot_message&)>;

  dispatcher(scheduler& clock,
             attempt_port& attempts,
             usage_sink& usage,
             upstream_table& upstreams,
             const order_rule& rule,
             const queue_caps& caps);
  ~dispatcher() override;

  // To be called once, before any job.
  void SetStrategy(std::unique_ptr<slot_strategy> strategy,
                   peer_sender send_to_peer);
  slot_strategy& strategy() { return *strategy_; }

  void SetQuotas(const team_quotas& quotas) { quotas_ = quotas; }
  // What the failure domain's other entry instances have, as far as is known;
  // for admission only.
  struct work_elsewhere {
    int waiting = 0;
    int running = 0;
  };
  void SetWorkElsewhere(std::function<work_elsewhere()> look);

  // Takes the job and calls `done` once, never from within this call; or says
  // why not, and never calls it.
  outcome<local_job, job_refusal> Submit(job_spec spec, completion done);

  // Ends the job as failed; one that is over is ignored. Its waiting tasks
  // never start.
  void Cancel(local_job job);

  // From now on `Submit` refuses.
  void StopAdmitting() { admitting_ = false; }

  std::vector<local_job> JobsOfTeam(const team_id& team) const;
  size_t jobs() const { return jobs_.size(); }
  size_t attempts_in_flight() const { return attempts_.size(); }
  int64_t queued_bytes() const { return queued_bytes_; }
  const job_queue& queue() const { return queue_; }
  const dispatch_metrics& metrics() const { return metrics_; }
  const run_time_estimator& estimator() const { return estimator_; }

  // slot_host:
  int waiting_tasks() const override { return queue_.waiting_tasks(); }
  std::vector<demand_entry> Demand(size_t limit_per_team) const override;
  std::vector<team_count> running_by_team() const override;
  bool StartOn(const start_request& order) override;
  void SendToPeer(const instance_id& peer,
                  const slot_message& message) override;

 private:
  using attempt_number = uint64_t;

  struct task_state {
    int attempts = 0;
    int refusals = 0;
    std::optional<answered> answer;
  };

  struct job_state {
    job_state(scheduler& clock) : deadline_timer(clock) {}

    job_spec spec;
    completion done;
    time_point arrival;
    time_point deadline;
    run_time_estimate estimate;
    int memory_mb = 0;
    int64_t payload_bytes = 0;
    std::vector<task_state> tasks;
    // Tasks that wait for a slot, next one first. With the running ones, the
    // delayed ones and the answered ones this makes all tasks, each once.
    std::deque<uint32_t> waiting;
    std::set<attempt_number> running;
    size_t answered = 0;
    // A task has answered or has an unknown outcome.
    bool may_have_run = false;
    // The upstream that a repeat should not go to again. The home chooses
    // another by itself, since it was told of the failure.
    upstream_id avoid;
    scoped_timer deadline_timer;
  };

  struct attempt_state {
    local_job job = 0;
    uint32_t task = 0;
    std::string name;
    upstream_id upstream;
    team_id team;
    class_id work_class;
    duration declared{};
    duration expected{};
    time_point started;
  };

  outcome<local_job, job_refusal> Admit(const job_spec& spec,
                                        const run_time_estimate& estimate);
  queued_job AsQueued(const job_spec& spec,
                      const run_time_estimate& estimate) const;
  admission_facts AdmissionFacts(const job_spec& spec,
                                 const run_time_estimate& estimate) const;
  void Requeue(local_job number, job_state& job);
  void StartTask(local_job number, job_state& job, const upstream_id& upstream);
  void OnAttemptEnded(attempt_number number, const attempt_outcome& outcome);
  released_slot AccountAttempt(const attempt_state& attempt,
                               const attempt_outcome& outcome);
  void OnAnswered(local_job number,
                  job_state& job,
                  const attempt_state& attempt,
                  const answered& answer);
  void OnNotRun(local_job number,
                job_state& job,
                const attempt_state& attempt,
                const not_run& proof);
  void OnUnknown(local_job number,
                 job_state& job,
                 const attempt_state& attempt);
  bool TryRepeat(local_job number,
                 job_state& job,
                 const attempt_state& attempt);
  void RetryLater(local_job number, uint32_t task, duration delay);
  void ReturnToQueue(local_job number, uint32_t task);
  void Fail(local_job number, failure_reason reason);
  void Fail(local_job number, job_failed failure);
  void Finish(local_job number, const job_outcome& result);
  void StopRunning(const job_state& job);
  bool MayRunOnTrial(local_job number) const;
  void CountWaste(waste_kind kind) { ++metrics_.wasted[kind]; }

  scheduler& clock_;
  attempt_port& port_;
  usage_sink& usage_;
  upstream_table& upstreams_;
  queue_caps caps_;
  team_quotas quotas_;
  std::unique_ptr<slot_strategy> strategy_;
  peer_sender send_to_peer_;
  std::function<work_elsewhere()> look_elsewhere_;
  bool admitting_ = true;

  job_queue queue_;
  run_time_estimator estimator_;
  retry_budget budget_;
  arrival_meter arrivals_;
  std::unordered_map<local_job, std::unique_ptr<job_state>> jobs_;
  // Outlives the job: a late end must still free its slot and be counted.
  std::unordered_map<attempt_number, attempt_state> attempts_;
  std::map<team_id, int> running_by_team_;
  int64_t queued_bytes_ = 0;
  local_job last_job_ = 0;
  attempt_number last_attempt_ = 0;
  dispatch_metrics metrics_;
};

}  // namespace jasminedyke

#endif  // SRC_ENTRY_DISPATCHER_H_
