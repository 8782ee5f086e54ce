#include "policy/job_queue.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// In seconds: jobs whose ranks differ by less share a demand entry.
constexpr double kRankTolerance = 0.02;

}  // namespace

void job_queue::Put(local_job job, const queued_job& facts) {
  Remove(job);
  if (facts.waiting_tasks <= 0)
    return;
  fixed_rank rank = FixedRank(facts);
  jobs_.emplace(job, entry{facts, rank});
  order_[facts.team].emplace(rank, job);
  waiting_tasks_ += facts.waiting_tasks;
  waiting_work_ += facts.remaining_work();
}

void job_queue::Remove(local_job job) {
  auto found = jobs_.find(job);
  if (found == jobs_.end())
    return;
  const entry& old = found->second;
  waiting_tasks_ -= old.facts.waiting_tasks;
  waiting_work_ -= old.facts.remaining_work();
  auto team = order_.find(old.facts.team);
  team->second.erase(ranked_job(old.rank, job));
  if (team->second.empty())
    order_.erase(team);
  jobs_.erase(found);
}

std::optional<local_job> job_queue::Best(const team_filter& deferred,
                                         const job_filter& fits) const {
  std::optional<local_job> best;
  std::pair<bool, fixed_rank> best_rank;
  for (const auto& [team, jobs] : order_) {
    std::pair<bool, fixed_rank> rank(deferred(team), jobs.begin()->first);
    if (best && rank >= best_rank)
      continue;
    auto candidate = BestOfTeam(team, fits);
    if (!candidate)
      continue;
    rank.second = jobs_.at(*candidate).rank;
    if (best && rank >= best_rank)
      continue;
    best = candidate;
    best_rank = rank;
  }
  return best;
}

std::optional<local_job> job_queue::BestOfTeam(const team_id& team,
                                               const job_filter& fits) const {
  auto found = order_.find(team);
  if (found == order_.end())
    return std::nullopt;
  for (const ranked_job& ranked : found->second) {
    if (fits(ranked.second, jobs_.at(ranked.second).facts))
      return ranked.second;
  }
  return std::nullopt;
}

std::vector<demand_entry> job_queue::Demand(size_t limit,
                                            time_point now) const {
  std::vector<demand_entry> demand;
  for (const auto& [team, jobs] : order_) {
    size_t first = demand.size();
    for (const ranked_job& ranked : jobs) {
      const queued_job& facts = jobs_.at(ranked.second).facts;
      double rank = RankAt(ranked.first, now);
      // If many small jobs had an entry each, the limit would let the home know
      // of only a few of them at a time.
      bool shares_entry = demand.size() > first &&
                          rank - demand.back().rank < kRankTolerance &&
                          facts.memory_mb <= demand.back().memory_mb;
      if (shares_entry) {
        demand.back().tasks += facts.waiting_tasks;
        continue;
      }
      if (demand.size() - first == limit)
        break;
      demand.push_back({team, rank, facts.waiting_tasks, facts.memory_mb});
    }
  }
  std::ranges::stable_sort(demand, {}, &demand_entry::rank);
  return demand;
}

duration job_queue::WorkAhead(const queued_job& facts) const {
  duration work{};
  fixed_rank rank = FixedRank(facts);
  for (const auto& [job, other] : jobs_) {
    if (other.rank <= rank)
      work += other.facts.remaining_work();
  }
  return work;
}

double job_queue::RankAtArrival(const queued_job& facts) const {
  order_facts at_arrival;
  at_arrival.target = facts.target;
  at_arrival.remaining_work = facts.remaining_work();
  at_arrival.longest_task = facts.longest_task;
  return rule_.Rank(at_arrival);
}

job_queue::fixed_rank job_queue::FixedRank(const queued_job& facts) const {
  return RankAtArrival(facts) +
         rule_.age_weight * ToSeconds(facts.arrival.time_since_epoch());
}

double job_queue::RankAt(fixed_rank rank, time_point now) const {
  return rank - rule_.age_weight * ToSeconds(now.time_since_epoch());
}

}  // namespace jasminedyke
