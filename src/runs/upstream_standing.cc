#include "runs/upstream_standing.h"

#include <algorithm>
#include <cmath>

namespace jasminedyke {

namespace {

// An upstream is slow from this sum of -log10(chance) on: one healthy upstream
// in ten thousand reaches it by chance.
constexpr double kSlowThreshold = 4;
// Limits what one run adds to the sum: however slow, it may just be a long
// task.
constexpr double kMaxSlownessPerRun = 2.5;
// Few tasks fail through their own fault, so failures of two jobs in a row on
// one upstream are unlikely to be chance.
constexpr int kFailuresUntilBad = 2;
// A trial may make its job miss its objective, so the pause between trials
// grows. The pause is capped because a phase in which an upstream is slow or
// failing lasts only seconds.
constexpr duration kMinTrialPause = std::chrono::milliseconds(1000);
constexpr duration kMaxTrialPause = std::chrono::seconds(4);

}  // namespace

void upstream_standing::OnDone() {
  failures_ = 0;
  slowness_ = 0;
  last_slow_task_ = {};
  state_ = state::kGood;
  trial_pause_ = duration::zero();
  next_trial_ = time_point();
}

void upstream_standing::OnSlow(time_point now,
                               const task_name& task,
                               double chance) {
  if (task == last_slow_task_)
    return;
  last_slow_task_ = task;
  slowness_ += std::min(-std::log10(chance), kMaxSlownessPerRun);
  if (slow() || !good())
    MarkBad(now);
}

bool upstream_standing::slow() const {
  return slowness_ >= kSlowThreshold;
}

void upstream_standing::OnFailed(time_point now, const job_key& job) {
  if (job == last_failed_job_)
    return;
  last_failed_job_ = job;
  ++failures_;
  if (failures_ >= kFailuresUntilBad || !good())
    MarkBad(now);
}

void upstream_standing::OnStuck(time_point now) {
  MarkBad(now);
}

void upstream_standing::OnTrial(time_point now) {
  // The next trial waits until this one has had time to finish.
  next_trial_ = now + std::max(trial_pause_, kMinTrialPause);
}

void upstream_standing::MarkBad(time_point now) {
  // Bad runs that began before the next trial count once.
  if (!good() && now < next_trial_)
    return;
  state_ = state::kBad;
  trial_pause_ = std::clamp(trial_pause_ * 2, kMinTrialPause, kMaxTrialPause);
  next_trial_ = now + trial_pause_;
}

}  // namespace jasminedyke
