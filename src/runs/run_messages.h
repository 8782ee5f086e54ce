// Messages between the owner of a job and the home of a group of upstreams.

#ifndef SRC_RUNS_RUN_MESSAGES_H_
#define SRC_RUNS_RUN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"
#include "runs/upstream_port.h"

namespace jasminedyke {

// One group of a failure domain's upstreams; it has one home at a time.
struct home_group {
  failure_domain_id domain;
  uint32_t number = 0;

  std::string ToString() const {
    return domain.str() + "/" + std::to_string(number);
  }
  auto operator<=>(const home_group&) const = default;
};

// A task that the home is to run, and what it requires.
struct task_demand {
  task_position position;
  resource_amount need;
  // The caller's estimate of the run time, often inaccurate.
  duration estimate = duration::zero();
  // The rack that holds the task's data; empty if there is none.
  rack_id rack;
  // A label that the upstream must have; empty if any upstream will do.
  std::string required_label;
  // The maximum number of tasks of this step on one upstream; 0 if unlimited.
  int max_per_upstream = 0;
  // True if the task was sent to a home before: it may be running or have
  // ended.
  bool maybe_started = false;

  bool operator==(const task_demand&) const = default;
};

// A request to run tasks of a job. Times are relative to the moment of sending,
// as clocks differ between instances.
struct run_request {
  job_key job;
  submission_id submission;
  queue_id queue;
  service_id service;
  std::string spec;
  // The time until the job's objective; negative once it is missed.
  duration to_objective = duration::zero();
  // The time until the caller stops waiting.
  duration to_limit = duration::zero();
  // How long the caller has waited already.
  duration age = duration::zero();
  int max_attempts = 1;
  // The queue's priority; 0 is the highest.
  int priority = 0;
  // True if another group seems to have room for all tasks. The home then hands
  // the job back at once if it would have to wait at this home.
  bool may_pass = false;
  // True if a home that refused the job because of overload has announced when
  // it expects to have room for it, and has reserved that room. Another home
  // that refuses the job then reserves none.
  bool has_place = false;
  // The number of this request among the owner's requests for this job, from 1.
  // A refusal of the request repeats it.
  uint32_t sending = 0;
  // The size of the specification if the owner kept it and sends the starts
  // itself; `spec` is then empty.
  std::optional<uint32_t> kept_spec_bytes;
  std::vector<task_demand> tasks;

  bool operator==(const run_request&) const = default;
};

// Tells the home that the job's owner no longer needs the job.
struct run_cancel {
  job_key job;
  submission_id submission;

  bool operator==(const run_cancel&) const = default;
};

enum class task_verdict {
  kDone,
  kFailed,  // all allowed attempts failed
};

struct task_report {
  task_position position;
  task_verdict verdict = task_verdict::kDone;

  bool operator==(const task_report&) const = default;
};

enum class run_refusal {
  kNone,
  kOverload,       // the job would not end within its caller's limit
  kNoUpstream,     // no upstream of this group can run the job now
  kNotHome,        // the receiver is not, or no longer, a home
  kSuperseded,     // the job continues for another submission by its caller,
                   // which came through another instance
  kBusy,           // no room now, and the job may go to another group
  kDrained,        // operators drained the group's failure domain
  kUpstreamsLost,  // upstreams were lost repeatedly while running a task
  kNotAccepted,    // upstreams reject the orders of a task as malformed
};

// Reports ended tasks, or a refusal that applies to the whole job at this home.
struct run_report {
  job_key job;
  submission_id submission;
  std::vector<task_report> tasks;
  run_refusal refusal = run_refusal::kNone;
  // With a refusal: the number of the refused request.
  uint32_t sending = 0;
  // With a refusal: no task of the job was started here or can still start.
  bool not_run = false;
  // With a refusal: how long to wait before trying again.
  duration retry_after = duration::zero();

  bool operator==(const run_report&) const = default;
};

// Sent by each home to all entry instances, periodically and when it starts or
// stops being the home of its group.
struct home_status {
  home_group group;
  // If two instances claim the same group, the higher token wins.
  fencing_token token;
  // False if the sender has stopped being this group's home.
  bool serving = true;
  // True if the sender asks a stronger instance to take over, and serves until
  // it does.
  bool yielding = false;
  // True if all upstreams of the group are known: it is then known of
  // every task that was sent to an earlier home whether the task is running,
  // has ended, or will never start.
  bool settled = false;
  // True if owners are to keep their jobs' specifications and send the starts.
  bool owners_start = false;
  int64_t free_cpu_millis = 0;
  int64_t total_cpu_millis = 0;
  // How long a task that arrives now would wait for room.
  duration wait = duration::zero();
  // When it was sent, by the sender's `scheduler::boot_now`. Receivers return
  // it with their heartbeats.
  time_point sent_at;

  bool operator==(const home_status&) const = default;
};

// A request from a job's home to the job's owner to send a start.
struct delegated_start {
  // Assigned by the home and returned with the result.
  uint64_t number = 0;
  submission_id submission;
  upstream_id upstream;
  // The order, without the specification.
  run_order order;

  bool operator==(const delegated_start&) const = default;
};

struct delegated_start_result {
  uint64_t number = 0;
  start_reply reply;

  bool operator==(const delegated_start_result&) const = default;
};

const char* ToString(run_refusal reason);

}  // namespace jasminedyke

#endif  // SRC_RUNS_RUN_MESSAGES_H_
