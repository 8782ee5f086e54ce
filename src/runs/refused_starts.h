// Starts that an upstream has promised to refuse although their orders may
// still be on their way.

#ifndef SRC_RUNS_REFUSED_STARTS_H_
#define SRC_RUNS_REFUSED_STARTS_H_

#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// How long after it was sent an unanswered order may be carried out.
inline constexpr duration kMaxOrderDelay = std::chrono::seconds(15);

// An unanswered order may be carried out seconds later. The upstream's promise
// to refuse it ends with the incarnation that gave it, and so does the order's
// time limit: the next incarnation has another clock. So each incarnation must
// promise anew, for as long as the order may arrive.
class refused_starts {
 public:
  using start = std::pair<task_name, run_number>;

  // Records a start that was sent at `sent` and that the current incarnation
  // refuses.
  void Add(const start& refused, time_point sent, time_point now);
  // The current incarnation has promised to refuse the start.
  void OnPromised(const start& refused);
  // The next incarnation has promised nothing.
  void OnNewIncarnation();
  // Returns the starts that may still arrive and that the current incarnation
  // has not promised to refuse.
  std::vector<start> Unpromised(time_point now);

 private:
  struct refused_start {
    run_number run;
    time_point sent;
    bool promised = true;
  };

  // Forgets starts whose orders can't arrive any more.
  void ForgetOld(time_point now);

  // Of each task the latest one: an upstream that refuses a run refuses the
  // task's earlier runs too.
  std::map<task_name, refused_start> starts_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_REFUSED_STARTS_H_
