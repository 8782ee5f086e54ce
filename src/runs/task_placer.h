// Where a home's waiting tasks find room, during one dispatch.
//
// Answers the pattern of short and long tasks on upstreams of which the
// slowest make the long ones late: the last task of a job decides when it is
// answered, so all of them go where the job still ends in time, and one that
// would not waits for a faster upstream while that can help.

#ifndef SRC_RUNS_TASK_PLACER_H_
#define SRC_RUNS_TASK_PLACER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "runs/home_job.h"
#include "runs/home_upstreams.h"
#include "runs/placement.h"

namespace jasminedyke {

// The upstream runs what the task belongs to, has the label that it requires,
// and not too many tasks of its step.
bool MayRun(const upstream_session& session,
            const home_job& job,
            const home_task& task);

// One look at the upstreams serves all jobs of a dispatch: a home with hundreds
// of upstreams can't look at each of them anew for each waiting task.
class task_placer {
 public:
  task_placer(scheduler& clock,
              home_upstreams& upstreams,
              placement_rule rule = placement_rule::kLeastSlack)
      : clock_(clock), upstreams_(upstreams), rule_(rule) {}

  // Looks at all upstreams anew.
  void Refresh();

  // True if all tasks of the job could be placed at once, and none would rather
  // wait for a faster upstream.
  bool HasPlacesFor(const home_job& job) const;

  // The upstream to start the task on, whose room it takes; null if there is
  // none now.
  upstream_session* Place(const home_job& job, const home_task& task);
  // The same for a task that is to run beside nothing else: all room of an
  // upstream that is idle.
  upstream_session* PlaceAlone(const home_job& job, const home_task& task);

 private:
  struct listed_upstream {
    upstream_session* session = nullptr;
    int speed_class = 0;
  };
  // An upstream that can be given tasks, with room for some.
  struct open_upstream {
    upstream_session* session = nullptr;
    resource_amount room;
    // Else it gets a single trial at most.
    bool good = true;
    int speed_class = 0;
  };
  // All good upstreams of one speed class.
  struct class_room {
    int64_t free_cpu_millis = 0;
    int64_t total_cpu_millis = 0;

    double free_share() const;
  };

  void ListUpstreams();
  bool MayTry(const open_upstream& open);
  bool PaysOffRack(const home_job& job, const home_task& task) const;
  // The objective, or what the job's runs lead to if that is later.
  time_point WantedEnd(const home_job& job) const;
  // For the task to be done by `end`; infinite if no upstream is fast enough.
  double LeastSpeed(const home_job& job,
                    const home_task& task,
                    time_point end) const;
  // A faster upstream that is busy now may still make the job's end in time.
  bool WaitsForFaster(const home_task& task,
                      int speed_class,
                      double least_speed) const;
  void Take(open_upstream& open, const resource_amount& need);

  scheduler& clock_;
  home_upstreams& upstreams_;
  placement_rule rule_;
  // All, by id; right while `home_upstreams::changes` is `listed_`.
  std::vector<listed_upstream> upstreams_listed_;
  std::optional<uint64_t> listed_;
  std::map<int, class_room> classes_;
  // By id.
  std::vector<open_upstream> open_;
  // No task that needs more can be placed.
  int64_t largest_cpu_ = 0;
  // The job that was placed last, and its `WantedEnd`; of this look only.
  const home_job* judged_ = nullptr;
  time_point judged_end_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_TASK_PLACER_H_
