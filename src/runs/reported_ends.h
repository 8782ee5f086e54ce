// Remembers the tasks that a home has reported as done.

#ifndef SRC_RUNS_REPORTED_ENDS_H_
#define SRC_RUNS_REPORTED_ENDS_H_

#include <deque>
#include <set>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// A report may be lost with the link to the job's owner, which both sides may
// notice only a second later. The owner then sends the task again, and the
// home, which has forgotten the job, would run it a second time.
class reported_ends {
 public:
  explicit reported_ends(const scheduler& clock) : clock_(clock) {}

  void Add(const task_name& task);
  bool Contains(const task_name& task) const { return tasks_.contains(task); }
  void Clear();

 private:
  struct entry {
    time_point reported_at;
    task_name task;
  };

  void Forget();

  const scheduler& clock_;
  // In the order of their times. A task is in it as often as it was reported.
  std::deque<entry> entries_;
  std::multiset<task_name> tasks_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_REPORTED_ENDS_H_
