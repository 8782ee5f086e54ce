// Priority queue of an entry instance's jobs that have waiting tasks.

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

// Number of a job, unique within one entry instance.
using local_job = uint64_t;

// The properties of a job that determine its place in the queue.
struct queued_job {
  team_id team;
  time_point arrival;
  duration target{};
  duration mean_run_time{};
  duration longest_task{};
  int waiting_tasks = 0;
  // Largest memory requirement of its tasks.
  int memory_mb = 0;

  duration remaining_work() const { return mean_run_time * waiting_tasks; }
};

// Orders the jobs of each team by an `order_rule`. Adding and removing a job
// takes time logarithmic in the number of jobs, whatever the number of tasks.
class job_queue {
 public:
  explicit job_queue(const order_rule& rule) : rule_(rule) {}

  // Adds or updates the job; removes it if it has no waiting tasks.
  void Put(local_job job, const queued_job& facts);
  void Remove(local_job job);

  using team_filter = std::function<bool(const team_id&)>;
  using job_filter = std::function<bool(local_job, const queued_job&)>;

  // Returns the best job for which `fits` is true. Jobs of teams for which
  // `deferred` is true come after all others.
  std::optional<local_job> Best(const team_filter& deferred,
                                const job_filter& fits) const;
  std::optional<local_job> BestOfTeam(const team_id& team,
                                      const job_filter& fits) const;

  // Returns up to `limit` entries for each team with their ranks at `now`, best
  // first. Jobs of nearly the same rank share an entry.
  std::vector<demand_entry> Demand(size_t limit, time_point now) const;

  // The rank that a job with these properties has when it arrives.
  double RankAtArrival(const queued_job& facts) const;

  // Total slot time of the queued jobs that come before a job with these
  // properties.
  duration WorkAhead(const queued_job& facts) const;

  int waiting_tasks() const { return waiting_tasks_; }
  duration waiting_work() const { return waiting_work_; }
  size_t jobs() const { return jobs_.size(); }

 private:
  // Rank of a job at the epoch of the clock. Unlike the rank at a later time,
  // it changes only with the job's properties.
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
  // Contains each job of `jobs_` once, and no empty sets.
  std::map<team_id, std::set<ranked_job>> order_;
  int waiting_tasks_ = 0;
  duration waiting_work_{};
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_JOB_QUEUE_H_
