// Types that describe tasks, their runs on upstreams under a lease, the
// resources they need, and how they end.

#ifndef SRC_RUNS_RUN_TYPES_H_
#define SRC_RUNS_RUN_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// A group of upstreams that run the same software.
using service_id = text_id<struct service_tag>;
using rack_id = text_id<struct rack_tag>;

// When an incarnation of an upstream started, in milliseconds since 1970 as
// reported by the upstream; 0 if it reports none. Two incarnations with the
// same id have different values.
using upstream_birth = number_id<struct upstream_birth_tag>;

// Numbers the starts of one task, from 1. An upstream refuses a start unless
// the run number is higher than that of every run of the task that has ended
// there.
using run_number = number_id<struct run_number_tag>;
// Increases with each change of an upstream's owner. An upstream rejects
// requests whose token is lower than the highest that it has seen.
using fencing_token = number_id<struct fencing_token_tag>;

// Distinguishes submissions with the same job key: a caller may submit a job
// again to another instance while the first instance still tracks it.
using submission_id = number_id<struct submission_tag>;

// A time on one upstream's own steady clock; not comparable with other clocks.
struct upstream_time {
  int64_t ms = 0;

  auto operator<=>(const upstream_time&) const = default;
};

// The resources that a task occupies while it runs, or an upstream's capacity.
struct resource_amount {
  // In thousandths of a core.
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool Fits(const resource_amount& room) const {
    return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
  resource_amount& operator+=(const resource_amount& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  resource_amount& operator-=(const resource_amount& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend resource_amount operator-(resource_amount a,
                                   const resource_amount& b) {
    return a -= b;
  }
  auto operator<=>(const resource_amount&) const = default;
};

// Returns the larger amount of each resource.
resource_amount ComponentwiseMax(const resource_amount& a,
                                 const resource_amount& b);

// The position of a task within its job.
struct task_position {
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const task_position&) const = default;
};

struct task_name {
  job_key job;
  // The repetition of a repeated job; 0 for other jobs.
  uint32_t occurrence = 0;
  task_position position;

  auto operator<=>(const task_name&) const = default;
};

enum class run_end {
  kDone,
  kFailed,   // the task or the upstream failed
  kStopped,  // stopped at the home's request
  kLapsed,   // the lease expired, or the run was lost by a restart of the
             // upstream or is missing from its list
  kBroken,   // ended because another member of its group ended
  kAlone,    // ended because it timed out waiting for the other members of
             // its group
};

// A run that an upstream reports as running.
struct listed_run {
  task_name task;
  run_number run;
  // Progress in percent; empty if the upstream does not report it.
  std::optional<int> percent;

  bool operator==(const listed_run&) const = default;
};

// The end of a run, which the upstream reports until it is acknowledged.
struct listed_end {
  // Numbers the ended runs of the upstream's incarnation consecutively.
  uint64_t sequence = 0;
  task_name task;
  run_number run;
  run_end how = run_end::kDone;

  bool operator==(const listed_end&) const = default;
};

// One incarnation of an upstream, from its start to its end.
struct upstream_incarnation {
  upstream_id id;
  upstream_birth birth;

  auto operator<=>(const upstream_incarnation&) const = default;
};

// A run that was on an upstream when the upstream was lost.
struct lost_run {
  task_name task;
  // True if the upstream confirmed or listed the run; otherwise the order may
  // never have been carried out.
  bool begun = false;

  bool operator==(const lost_run&) const = default;
};

// The loss of an upstream that crashed (`crashed`) or was unreachable for
// longer than its lease.
struct upstream_loss {
  upstream_incarnation upstream;
  bool crashed = false;
  std::vector<lost_run> runs;
};

const char* ToString(run_end end);

}  // namespace jasminedyke

#endif  // SRC_RUNS_RUN_TYPES_H_
