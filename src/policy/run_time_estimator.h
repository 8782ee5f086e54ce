// Learns how long tasks of a class run.

#ifndef SRC_POLICY_RUN_TIME_ESTIMATOR_H_
#define SRC_POLICY_RUN_TIME_ESTIMATOR_H_

#include <map>
#include <optional>

#include "base/base.h"

namespace jasminedyke {

struct run_time_estimate {
  duration mean{};
  duration p99{};
  // False while too few tasks of the class have been seen.
  bool learnt = false;
};

// Per class, from the run times that upstreams report. What callers declare is
// a hint: the ratio of real to declared time is learnt too, and the declared
// value is used only while it predicts better than the class's own spread.
// Constant memory for each class.
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
