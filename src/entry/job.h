// A job as callers submit it, and what they get back.

#ifndef SRC_ENTRY_JOB_H_
#define SRC_ENTRY_JOB_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"
#include "upstream/upstream.h"

namespace jasminedyke {

inline constexpr size_t kMaxTasksOfJob = 450;
inline constexpr duration kDefaultTimeout = std::chrono::seconds(30);
inline constexpr duration kLongestTimeout = std::chrono::hours(1);

struct task_spec {
  std::string payload;
  int memory_mb = 0;
  // A hint; zero if nothing was declared.
  duration expected{};
};

struct job_spec {
  // Names the tasks to upstreams.
  std::string name;
  team_id team;
  class_id work_class;
  class_settings settings;
  std::vector<task_spec> tasks;
  duration timeout = kDefaultTimeout;
  // A single request that may run more than once: a failed or unknown attempt
  // may be followed by another within the retry budget. Never set for jobs.
  bool may_repeat = false;

  int64_t payload_bytes() const;
};

enum class failure_reason {
  kTaskFailed,
  kOutcomeUnknown,
  kTimeout,
  kCancelled,
  kLost,  // the instance that owned the job is gone
};

// The wire's word for it.
const char* ToString(failure_reason reason);

// Every task has its answer, in the order of the tasks.
struct job_complete {
  std::vector<answered> answers;
};

struct job_failed {
  failure_reason reason = failure_reason::kTaskFailed;
  // False only if no task of the job can have run.
  bool may_have_run = true;
  // The first task that failed, and what it answered, if that was the reason.
  std::optional<task_index> task;
  std::optional<answered> answer;
};

using job_outcome = std::variant<job_complete, job_failed>;

enum class refusal_reason {
  kNoUpstreamFits,
  kQueueFull,
  kOverloaded,
  kWouldTimeOut,
  kStopping,
};

const char* ToString(refusal_reason reason);

// Why a job was not taken; nothing of it ran.
struct job_refusal {
  refusal_reason reason = refusal_reason::kOverloaded;
  // Zero: trying again won't help.
  duration retry_after{};
};

}  // namespace jasminedyke

#endif  // SRC_ENTRY_JOB_H_
