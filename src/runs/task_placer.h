// Assigns a home's waiting tasks to upstreams during one dispatch.
//
// Made for mixes of short and long tasks on upstreams of different speeds,
// where the slowest upstreams make long tasks late. A job is answered when its
// last task ends, so all its tasks go where the job still ends in time. A task
// that would end late waits for a faster upstream while that can help.

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

// Returns true if the upstream belongs to the job's service, has the label that
// the task requires, and runs fewer tasks of its step than allowed.
bool MayRun(const upstream_session& session,
            const home_job& job,
            const home_task& task);

// Places tasks by a snapshot of the upstreams that serves all jobs of a
// dispatch: a home with hundreds of upstreams can't inspect each of them again
// for each waiting task.
class task_placer {
 public:
  task_placer(scheduler& clock,
              home_upstreams& upstreams,
              placement_rule rule = placement_rule::kLeastSlack)
      : clock_(clock), upstreams_(upstreams), rule_(rule) {}

  // Takes a new snapshot of all upstreams.
  void Refresh();

  // Returns true if all tasks of the job could be placed at once and none would
  // have to wait for a faster upstream.
  bool HasPlacesFor(const home_job& job) const;

  // Returns the upstream to start the task on and reserves its room; null if no
  // upstream is suitable now.
  upstream_session* Place(const home_job& job, const home_task& task);
  // Like `Place`, but for a task that may run only on this upstream.
  upstream_session* PlaceOn(const upstream_id& upstream,
                            const home_job& job,
                            const home_task& task);
  // Like `Place`, but reserves all room of an idle upstream, for a task that
  // must not share it.
  upstream_session* PlaceAlone(const home_job& job, const home_task& task);

 private:
  struct listed_upstream {
    upstream_session* session = nullptr;
    int speed_class = 0;
  };
  // A usable upstream with free room.
  struct available_upstream {
    upstream_session* session = nullptr;
    resource_amount room;
    // How many more starts may be sent before some are answered.
    size_t starts_left = 0;
    // If false, the upstream gets at most a single trial task.
    bool good = true;
    int speed_class = 0;
  };
  // The total capacity of all good upstreams of one speed class.
  struct class_capacity {
    int64_t free_cpu_millis = 0;
    int64_t total_cpu_millis = 0;

    double free_share() const;
  };

  void ListUpstreams();
  // Returns true if the upstream is good, or is bad but idle and due for a
  // trial task.
  bool MayTry(const available_upstream& open);
  // Returns true if the task may run outside its data's rack: it ends in time
  // there, or would be late even near its data.
  bool MayRunOffRack(const home_job& job, const home_task& task) const;
  // Returns the objective, or the expected end of the job's current runs if
  // that is later.
  time_point TargetEnd(const home_job& job) const;
  // Returns the lowest speed at which the task is done by `end`; infinite if no
  // upstream is fast enough or `end` has passed.
  double LeastSpeed(const home_job& job,
                    const home_task& task,
                    time_point end) const;
  // Returns true if the task should wait, as a faster upstream that is busy now
  // may still let the job end in time.
  bool WaitsForFaster(const home_task& task,
                      int speed_class,
                      double least_speed) const;
  // Deducts a start of a task with this need from what `open` and its speed
  // class can take.
  void Take(available_upstream& open, const resource_amount& need);

  scheduler& clock_;
  home_upstreams& upstreams_;
  placement_rule rule_;
  // All upstreams, ordered by id; up to date while `home_upstreams::changes`
  // equals `listed_version_`.
  std::vector<listed_upstream> listed_upstreams_;
  std::optional<uint64_t> listed_version_;
  std::map<int, class_capacity> classes_;
  // Upstreams that can take tasks, ordered by id.
  std::vector<available_upstream> available_;
  // The largest free CPU amount; no task that needs more can be placed.
  int64_t largest_free_cpu_millis_ = 0;
  // Cache of `TargetEnd`: the job that was placed last since `Refresh`, and its
  // result.
  const home_job* last_job_ = nullptr;
  time_point last_job_end_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_TASK_PLACER_H_
