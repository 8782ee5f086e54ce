// Whether a job is taken or refused at once.

#ifndef SRC_POLICY_ADMISSION_H_
#define SRC_POLICY_ADMISSION_H_

#include "base/base.h"

namespace jasminedyke {

enum class admission_verdict {
  kAdmit,
  kNoUpstreamFits,   // no known upstream can ever hold one of its tasks
  kTooManyTasks,     // the queue is at its cap of tasks
  kTooManyBytes,     // the queue is at its cap of payload bytes
  kWouldMissTarget,  // the wait is far beyond the class's target
  kWouldTimeOut,     // it could not finish within the caller's timeout
};

// Caps that bound the memory of the queue whatever arrives.
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

  // The most memory that a known upstream has; 0 if none is known.
  int largest_upstream_mb = 0;
  // Slots of the failure domain, and those of them that jobs with a better
  // rank keep busy as they arrive.
  double usable_slots = 0;
  double slots_taken_before = 0;
  // Slot time that will be served before the job's own tasks.
  duration work_ahead{};
  int queued_tasks = 0;
  int64_t queued_bytes = 0;
};

struct admission_decision {
  admission_verdict verdict = admission_verdict::kAdmit;
  // When trying again is likely to succeed; zero if it never will.
  duration retry_after{};
};

// A job is refused only for the wait that it would have, not for being large:
// the time that it would take on idle upstreams is not counted against it.
admission_decision DecideAdmission(const admission_facts& facts,
                                   const queue_caps& caps);

}  // namespace jasminedyke

#endif  // SRC_POLICY_ADMISSION_H_
