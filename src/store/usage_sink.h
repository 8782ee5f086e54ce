// Where the run times of tasks are booked.

#ifndef SRC_STORE_USAGE_SINK_H_
#define SRC_STORE_USAGE_SINK_H_

#include "base/base.h"

namespace jasminedyke {

class usage_sink {
 public:
  virtual ~usage_sink() = default;
  // To be called at most once for each task that answered.
  virtual void Book(const team_id& team, duration run_time) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_STORE_USAGE_SINK_H_
