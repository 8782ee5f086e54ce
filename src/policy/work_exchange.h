// Which of its waiting jobs a home gives to a home that has room, and whom a
// home with room asks for how much.
//
// The load that it answers: demand of the failure domains differs by a multiple
// and swings within seconds. What has queued at one home while all were full
// stays there though others become free: owners choose a home when a job comes.

#ifndef SRC_POLICY_WORK_EXCHANGE_H_
#define SRC_POLICY_WORK_EXCHANGE_H_

#include <cstdint>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// A home, as far as its status tells.
struct home_pressure {
  failure_domain_id domain;
  int64_t free_cpu_millis = 0;
  int64_t total_cpu_millis = 0;
  duration wait = duration::zero();
};

struct work_ask {
  failure_domain_id domain;
  int64_t cpu_millis = 0;

  bool operator==(const work_ask&) const = default;
};

// On the side of a home with room.
class work_seeker {
 public:
  explicit work_seeker(scheduler& clock) : clock_(clock) {}

  // The pressed homes to ask now, each for a share of the room by its own
  // excess. What has been asked for lately counts as taken.
  std::vector<work_ask> Ask(const home_pressure& own,
                            const std::vector<home_pressure>& others);

 private:
  struct recent_ask {
    time_point until;
    int64_t cpu_millis = 0;
  };

  scheduler& clock_;
  std::vector<recent_ask> recent_;
};

// A job that waits, in the order in which jobs get room.
struct waiting_work {
  // Of its tasks that wait, together.
  int64_t cpu_millis = 0;
  double core_seconds = 0;
  duration longest_task = duration::zero();
  duration to_objective = duration::zero();
  // Until its answer is of no use any more.
  duration to_uselessness = duration::zero();
  // Nothing of it has begun, and it has not gone from home to home too often.
  bool may_go = false;
};

// On the side of the home that is asked: positions in `in_order` of the jobs to
// give, at most `cpu_millis` together. Those go first that are late here and
// would be in time elsewhere, then those that would be of no use here, then
// those that are late in both. What is in time here stays.
std::vector<size_t> ChooseGifts(const std::vector<waiting_work>& in_order,
                                double cores,
                                int64_t cpu_millis);

}  // namespace jasminedyke

#endif  // SRC_POLICY_WORK_EXCHANGE_H_
