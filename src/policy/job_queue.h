// The jobs of one entry instance that have tasks waiting, best first.

#ifndef SRC_POLICY_JOB_QUEUE_H_
#define SRC_POLICY_JOB_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "policy/order_rule.h"
#include "policy/slot_messages.h"

namespace jasminedyke {

// Numbers a job within one entry instance.
using local_job = uint64_t;

// What the queue knows of a job with waiting tasks.
struct queued_job {
  team_id team;
  time_point arrival;
  duration target{};
  duration mean_run_time{};
  duration longest_task{};
  int waiting_tasks = 0;
  // The most that one of its tasks needs.
  int memory_mb = 0;

  duration remaining_work() const { return mean_run_time * waiting_tasks; }
};

// Ordered by an `order_rule` within each team. Each operation costs the
// logarithm of the number of jobs, whatever the number of tasks.
class job_queue {
 public:
  explicit job_queue(const order_rule& rule) : rule_(rule) {}

  // Adds the job or replaces what is known of it; without waiting tasks it is
  // removed.
  void Put(local_job job, const queued_job& facts);
  void Remove(local_job job);

  using team_filter = std::function<bool(const team_id&)>;
  using job_filter = std::function<bool(local_job, const queued_job&)>;

  // The first job that passes both filters. Teams for which `deferred` holds
  // come after all others.
  std::optional<local_job> Best(const team_filter& deferred,
                                const job_filter& fits) const;
  std::optional<local_job> BestOfTeam(const team_id& team,
                                      const job_filter& fits) const;

  // Up to `limit` entries for each team, ranked at `now`, best first; jobs of
  // nearly the same rank share one.
  std::vector<demand_entry> Demand(size_t limit, time_point now) const;

  // The rank of a job that arrives now.
  double RankAtArrival(const queued_job& facts) const;

  // Slot time of the jobs that come before one of these facts.
  duration WorkAhead(const queued_job& facts) const;

  int waiting_tasks() const { return waiting_tasks_; }
  duration waiting_work() const { return waiting_work_; }
  size_t jobs() const { return jobs_.size(); }

 private:
  // A rank at the clock's origin: constant while the facts are.
  using fixed_rank = double;
  using ranked_job = std::pair<fixed_rank, local_job>;
  struct entry {
    queued_job facts;
    fixed_rank rank;
  };

  fixed_rank FixedRank(const queued_job& facts) const;
  double RankAt(fixed_rank rank, time_point now) const;

  const order_rule& rule_;
  std::unordered_map<local_job, entry> jobs_;
  // Has each job of `jobs_` once; a team without jobs has no set.
  std::map<team_id, std::set<ranked_job>> order_;
  int waiting_tasks_ = 0;
  duration waiting_work_{};
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_JOB_QUEUE_H_
