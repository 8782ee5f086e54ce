// Decides whether a job is accepted or refused on arrival.

#ifndef SRC_POLICY_ADMISSION_H_
#define SRC_POLICY_ADMISSION_H_

#include "base/base.h"

namespace jasminedyke {

enum class admission_verdict {
  kAdmit,
  kNoUpstreamFits,   // no known upstream has the memory for its tasks
  kTooManyTasks,     // the queue would exceed its limit of tasks
  kTooManyBytes,     // the queue would exceed its limit of payload bytes
  kWouldMissTarget,  // the wait would far exceed the class's target
  kWouldTimeOut,     // the wait would exceed the caller's timeout
};

// Limits that bound the memory used by the queue.
struct queue_caps {
  int waiting_tasks = 50'000;
  int64_t payload_bytes = 64 * 1024 * 1024;
};

struct admission_facts {
  int tasks = 0;
  int64_t payload_bytes = 0;
  int memory_mb = 0;
  duration own_work{};      // slot time of all its tasks
  duration longest_task{};  // estimate of its slowest task
  duration target{};
  duration timeout{};

  // Memory of the largest known upstream; 0 if none is known.
  int largest_upstream_mb = 0;
  // Usable slots of the failure domain, and how many of them newly arriving
  // jobs of a better rank keep busy.
  double usable_slots = 0;
  double slots_used_by_better_ranks = 0;
  // Slot time of the queued tasks that run before the job's own.
  duration work_ahead{};
  int queued_tasks = 0;
  int64_t queued_bytes = 0;
};

struct admission_decision {
  admission_verdict verdict = admission_verdict::kAdmit;
  // Delay after which a retry is likely to succeed; zero if it never will.
  duration retry_after{};
};

// Refuses a job because of the wait it would have, not because of its run time:
// the time that it takes on idle upstreams does not count as wait.
admission_decision DecideAdmission(const admission_facts& facts,
                                   const queue_caps& caps);

}  // namespace jasminedyke

#endif  // SRC_POLICY_ADMISSION_H_
