#include "policy/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jasminedyke {

namespace {

constexpr double kStepsPerDoubling = 8;
// The first step's lower edge, as a power of two.
constexpr double kLowestPower = -6;
// Of one queue: a new meaning of its guesses is learnt within so many tasks.
constexpr double kMemory = 512;
constexpr double kHalfLifeSeconds = 60;
// With fewer the tail is not known.
constexpr double kEnough = 64;
// Assumed of a queue of which little is known.
constexpr double kUnknownByGuess = 3.5;
constexpr double kUnknownAmongSiblings = 2.5;
// Beyond the longest of what is remembered, as that is but a sample.
constexpr double kSoundShare = 0.998;
constexpr double kBeyond = 1.25;
// Never judged tighter: a message's delay and a busy machine weigh on the
// shortest runs.
constexpr double kLeastFactor = 1.5;
// Nothing is rarer than what has not been seen.
constexpr double kRarest = 0.005;
constexpr size_t kMaxQueues = 1000;

double InMilliseconds(duration time) {
  return ToSeconds(time) * 1000;
}

double LongestFactor(const factor_counts& counts, double unknown) {
  if (counts.total() < kEnough)
    return unknown;
  double usual = counts.Quantile(0.5);
  return std::max(counts.Quantile(kSoundShare) / usual * kBeyond, kLeastFactor);
}

}  // namespace

void factor_counts::Add(double factor, time_point now) {
  double seconds = total_ > 0 ? ToSeconds(now - faded_at_) : 0;
  double kept =
      (1 - 1 / kMemory) * std::exp2(-std::max(seconds, 0.0) / kHalfLifeSeconds);
  faded_at_ = now;
  for (double& count : counts_)
    count *= kept;
  double step = (std::log2(factor) - kLowestPower) * kStepsPerDoubling;
  auto at = static_cast<size_t>(std::clamp(step, 0.0, kSteps - 1.0));
  counts_[at] += 1;
  total_ = total_ * kept + 1;
}

double factor_counts::Quantile(double share) const {
  double below = 0;
  size_t step = 0;
  for (; step + 1 < kSteps; ++step) {
    below += counts_[step];
    if (below >= share * total_)
      break;
  }
  return std::exp2(kLowestPower +
                   static_cast<double>(step + 1) / kStepsPerDoubling);
}

double factor_counts::ShareAtLeast(double factor) const {
  if (total_ <= 0)
    return 0;
  double step = (std::log2(factor) - kLowestPower) * kStepsPerDoubling;
  auto from = static_cast<long>(std::clamp(step, 0.0, kSteps - 1.0));
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
    HistoryOf(queue, now).among_siblings.Add(factor, now);
}

duration run_time_model::Reference(const queue_id& queue,
                                   duration guess) const {
  if (guess > duration::zero())
    return guess;
  const queue_history* history = Find(queue);
  if (!history || history->milliseconds.total() < kEnough)
    return duration::zero();
  return FromSeconds(history->milliseconds.Quantile(0.5) / 1000);
}

run_expectation run_time_model::Expect(const queue_id& queue,
                                       duration guess,
                                       double job_pace) const {
  static const queue_history kNothing;
  const queue_history* found = Find(queue);
  const queue_history& history = found ? *found : kNothing;
  duration reference = Reference(queue, guess);
  if (job_pace > 0) {
    duration usual = Times(reference, job_pace);
    return {usual, Times(usual, LongestFactor(history.among_siblings,
                                              kUnknownAmongSiblings))};
  }
  if (guess <= duration::zero())
    return {reference, Times(reference, LongestFactor(history.milliseconds,
                                                      kUnknownByGuess))};
  bool known = history.by_guess.total() >= kEnough;
  duration usual = known ? Times(guess, history.by_guess.Quantile(0.5)) : guess;
  return {usual,
          Times(usual, LongestFactor(history.by_guess, kUnknownByGuess))};
}

double run_time_model::ShareAtLeast(const queue_id& queue,
                                    double factor,
                                    bool pace_known) const {
  const queue_history* history = Find(queue);
  if (!history || factor <= 0)
    return kRarest;
  const factor_counts& counts = pace_known ? history->among_siblings
                                : history->by_guess.total() >= kEnough
                                    ? history->by_guess
                                    : history->milliseconds;
  if (counts.total() < kEnough)
    return kRarest;
  return std::max(counts.ShareAtLeast(factor * counts.Quantile(0.5)), kRarest);
}

}  // namespace jasminedyke
