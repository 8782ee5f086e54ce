// What the owner of a job and the home of a group of upstreams tell each
// other.

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

// One group of a failure domain's upstreams, with one home at a time.
struct home_group {
  failure_domain_id domain;
  uint32_t number = 0;

  std::string ToString() const {
    return domain.str() + "/" + std::to_string(number);
  }
  auto operator<=>(const home_group&) const = default;
};

struct task_demand {
  task_position position;
  resource_amount need;
  // The caller's guess of the run time, often far off.
  duration estimate = duration::zero();
  // The rack of its data; empty if it has none.
  rack_id rack;
  // Of the upstream; empty: any.
  std::string required_label;
  // At most so many tasks of its step on one upstream; 0: any number.
  int max_per_upstream = 0;
  // Has been asked of a home before: it may be running, or have ended.
  bool maybe_started = false;

  bool operator==(const task_demand&) const = default;
};

// Times are durations from the sending, as clocks differ between instances.
struct run_request {
  job_key job;
  submission_id submission;
  queue_id queue;
  service_id service;
  std::string spec;
  // Until the job's objective, below zero once it is missed; until the caller
  // leaves; and how long the caller has waited already.
  duration to_objective = duration::zero();
  duration to_limit = duration::zero();
  duration age = duration::zero();
  int max_attempts = 1;
  // Of the queue; 0 goes first.
  int priority = 0;
  // Another group seems to have places for all its tasks: the job is to be
  // handed back at once rather than wait here.
  bool may_pass = false;
  // A home that refused it for load has told when it expects room for it.
  bool has_place = false;
  // Counts the owner's requests for this job.
  uint32_t sending = 0;
  // The owner kept the specification, of so many bytes, and sends the starts
  // itself; `spec` is empty then.
  std::optional<uint32_t> kept_spec_bytes;
  std::vector<task_demand> tasks;

  bool operator==(const run_request&) const = default;
};

// The job's owner has no use for it any more.
struct run_cancel {
  job_key job;
  submission_id submission;

  bool operator==(const run_cancel&) const = default;
};

enum class task_verdict {
  kDone,
  kFailed,  // for good: as often as allowed
};

struct task_report {
  task_position position;
  task_verdict verdict = task_verdict::kDone;

  bool operator==(const task_report&) const = default;
};

enum class run_refusal {
  kNone,
  kOverload,       // it would not end within its caller's limit
  kNoUpstream,     // no upstream of this group can run it now
  kNotHome,        // the receiver is no home, or no longer
  kSuperseded,     // the job was submitted again through another instance
  kBusy,           // no places now, and the job may go to another group
  kDrained,        // operators drained the group's failure domain
  kUpstreamsLost,  // upstreams were lost under a task of it, again and again
  kNotAccepted,    // upstreams refuse the orders of a task as malformed
};

// Ends of tasks; or a refusal, which holds for the whole job here.
struct run_report {
  job_key job;
  submission_id submission;
  std::vector<task_report> tasks;
  run_refusal refusal = run_refusal::kNone;
  // With a refusal: of the request that is refused.
  uint32_t sending = 0;
  // With a refusal: no task of the job was started or can still start here.
  bool not_run = false;
  // With a refusal: when it is worth trying again.
  duration retry_after = duration::zero();

  bool operator==(const run_report&) const = default;
};

// Sent by each home to all entry instances, at intervals and when it begins or
// ends to be home.
struct home_status {
  home_group group;
  // Of two that claim one group, the higher token is right.
  fencing_token token;
  // False: the sender has stopped being this group's home.
  bool serving = true;
  // The sender asks a stronger instance to take over, and serves until then.
  bool yielding = false;
  // All upstreams of the group are known: what was asked of an earlier home
  // runs, has ended, or never will.
  bool settled = false;
  // Owners are to keep their jobs' specifications and send the starts.
  bool owners_start = false;
  int64_t free_cpu_millis = 0;
  int64_t total_cpu_millis = 0;
  // How long a task that comes now would wait for room.
  duration wait = duration::zero();

  bool operator==(const home_status&) const = default;
};

// The home of a job asks the job's owner to send a start.
struct delegated_start {
  // Of the home's; comes back with the result.
  uint64_t number = 0;
  submission_id submission;
  upstream_id upstream;
  // Without the specification.
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
