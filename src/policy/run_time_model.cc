#include "policy/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jasminedyke {

namespace {

constexpr double kBinsPerDoubling = 8;
// Lower edge of the first bin, as a power of two.
constexpr double kLowestPower = -6;
// Number of recent runs over which a histogram averages: a change in the
// meaning of a queue's guesses is learnt within about as many runs.
constexpr double kMemoryRuns = 512;
constexpr double kHalfLifeSeconds = 60;
// With a smaller total weight, a histogram says too little about the tail.
constexpr double kMinRuns = 64;
// Ratios of the longest to the usual run time that are assumed for a queue with
// too few runs: without and with a known pace of the job.
constexpr double kDefaultLongestFactor = 3.5;
constexpr double kDefaultLongestFactorByPace = 2.5;
// The longest expected run time is this quantile times the margin, as the
// histogram is only a sample.
constexpr double kLongestQuantile = 0.998;
constexpr double kLongestMargin = 1.25;
// Lower bound of the ratio of the longest to the usual run time: message delays
// and busy machines lengthen the shortest runs noticeably.
constexpr double kMinLongestFactor = 1.5;
// Lower bound of the returned shares, also of run times that have never been
// observed.
constexpr double kMinShare = 0.005;
constexpr size_t kMaxQueues = 1000;

double InMilliseconds(duration time) {
  return ToSeconds(time) * 1000;
}

double LongestFactor(const factor_histogram& counts, double default_factor) {
  if (counts.total() < kMinRuns)
    return default_factor;
  double usual = counts.Quantile(0.5);
  return std::max(counts.Quantile(kLongestQuantile) / usual * kLongestMargin,
                  kMinLongestFactor);
}

}  // namespace

void factor_histogram::Add(double factor, time_point now) {
  double seconds = total_ > 0 ? ToSeconds(now - decayed_at_) : 0;
  double kept = (1 - 1 / kMemoryRuns) *
                std::exp2(-std::max(seconds, 0.0) / kHalfLifeSeconds);
  decayed_at_ = now;
  for (double& count : counts_)
    count *= kept;
  double bin = (std::log2(factor) - kLowestPower) * kBinsPerDoubling;
  auto at = static_cast<size_t>(std::clamp(bin, 0.0, kBins - 1.0));
  counts_[at] += 1;
  total_ = total_ * kept + 1;
}

double factor_histogram::Quantile(double share) const {
  double below = 0;
  size_t bin = 0;
  for (; bin + 1 < kBins; ++bin) {
    below += counts_[bin];
    if (below >= share * total_)
      break;
  }
  return std::exp2(kLowestPower +
                   static_cast<double>(bin + 1) / kBinsPerDoubling);
}

double factor_histogram::ShareAtLeast(double factor) const {
  if (total_ <= 0)
    return 0;
  double bin = (std::log2(factor) - kLowestPower) * kBinsPerDoubling;
  auto from = static_cast<long>(std::clamp(bin, 0.0, kBins - 1.0));
  return std::accumulate(counts_.begin() + from, counts_.end(), 0.0) / total_;
}

const run_time_model::queue_history* run_time_model::Find(
    const queue_id& queue) const {
  auto found = by_queue_.find(queue);
  return found == by_queue_.end() ? nullptr : &found->second;
}

run_time_model::queue_history& run_time_model::HistoryOf(const queue_id& queue,
                                                         time_point now) {
  if (by_queue_.size() >= kMaxQueues && !by_queue_.contains(queue)) {
    by_queue_.erase(std::ranges::min_element(
        by_queue_, {},
        [](const auto& entry) { return entry.second.learnt_at; }));
  }
  queue_history& history = by_queue_[queue];
  history.learnt_at = now;
  return history;
}

void run_time_model::Learn(const queue_id& queue,
                           duration guess,
                           duration at_usual_speed,
                           time_point now) {
  if (at_usual_speed <= duration::zero())
    return;
  queue_history& history = HistoryOf(queue, now);
  if (guess > duration::zero())
    history.by_guess.Add(ToSeconds(at_usual_speed) / ToSeconds(guess), now);
  else
    history.milliseconds.Add(InMilliseconds(at_usual_speed), now);
}

void run_time_model::LearnSibling(const queue_id& queue,
                                  double factor,
                                  time_point now) {
  if (factor > 0)
    HistoryOf(queue, now).by_job_pace.Add(factor, now);
}

duration run_time_model::Reference(const queue_id& queue,
                                   duration guess) const {
  if (guess > duration::zero())
    return guess;
  const queue_history* history = Find(queue);
  if (!history || history->milliseconds.total() < kMinRuns)
    return duration::zero();
  return FromSeconds(history->milliseconds.Quantile(0.5) / 1000);
}

run_expectation run_time_model::Expect(const queue_id& queue,
                                       duration guess,
                                       double job_pace) const {
  static const queue_history kEmptyHistory;
  const queue_history* found = Find(queue);
  const queue_history& history = found ? *found : kEmptyHistory;
  duration reference = Reference(queue, guess);
  if (job_pace > 0) {
    duration usual = Times(reference, job_pace);
    return {usual, Times(usual, LongestFactor(history.by_job_pace,
                                              kDefaultLongestFactorByPace))};
  }
  if (guess <= duration::zero())
    return {reference, Times(reference, LongestFactor(history.milliseconds,
                                                      kDefaultLongestFactor))};
  bool known = history.by_guess.total() >= kMinRuns;
  duration usual = known ? Times(guess, history.by_guess.Quantile(0.5)) : guess;
  return {usual,
          Times(usual, LongestFactor(history.by_guess, kDefaultLongestFactor))};
}

double run_time_model::ShareAtLeast(const queue_id& queue,
                                    double factor,
                                    bool pace_known) const {
  const queue_history* history = Find(queue);
  if (!history || factor <= 0)
    return kMinShare;
  const factor_histogram& counts = pace_known ? history->by_job_pace
                                   : history->by_guess.total() >= kMinRuns
                                       ? history->by_guess
                                       : history->milliseconds;
  if (counts.total() < kMinRuns)
    return kMinShare;
  return std::max(counts.ShareAtLeast(factor * counts.Quantile(0.5)),
                  kMinShare);
}

}  // namespace jasminedyke
