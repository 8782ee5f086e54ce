// Estimates how long tasks of a class run.

#ifndef SRC_POLICY_RUN_TIME_ESTIMATOR_H_
#define SRC_POLICY_RUN_TIME_ESTIMATOR_H_

#include <map>
#include <optional>

#include "base/base.h"

namespace jasminedyke {

struct run_time_estimate {
  duration mean{};
  duration p99{};
  // False while too few tasks of the class have finished; the values are then
  // defaults.
  bool learnt = false;
};

// Estimates run times per class from those that upstreams report. The run time
// that a caller declares is a hint: the estimator also learns the ratio of
// actual to declared time, and uses the declared time only while this ratio
// varies clearly less than the run times of the class. Needs constant memory
// for each class.
class run_time_estimator {
 public:
  run_time_estimator();
  ~run_time_estimator();

  // `declared` is zero if the caller declared nothing.
  void Learn(const class_id& work_class,
             duration declared,
             duration run_time,
             time_point now);

  run_time_estimate Estimate(const class_id& work_class,
                             duration declared) const;

 private:
  struct class_history;

  std::map<class_id, class_history> by_class_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_RUN_TIME_ESTIMATOR_H_
