#include "runs/upstream_standing.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// Callers' guesses are off by 40 % either way, and tasks of a job differ by
// 15 %; three times the expected time is beyond both.
constexpr double kSlow = 3;
constexpr duration kSlowAtLeast = std::chrono::milliseconds(50);
// One in 500 tasks fails by its own fault, so two jobs in a row that fail on
// one upstream are hardly chance.
constexpr int kFailuresInARow = 2;
// A trial may cost its job the objective, so trials get rarer. Slow and failing
// spells last seconds.
constexpr duration kFirstTrialPause = std::chrono::milliseconds(1000);
constexpr duration kLongestTrialPause = std::chrono::seconds(4);

}  // namespace

void upstream_standing::OnDone(time_point now,
                               duration expected,
                               duration took) {
  failures_ = 0;
  bool slow = took > expected * kSlow && took - expected > kSlowAtLeast;
  if (slow)
    TurnBad(now);
  else
    TurnGood();
}

void upstream_standing::OnFailed(time_point now, const job_key& job) {
  if (job == last_failed_)
    return;
  last_failed_ = job;
  ++failures_;
  if (failures_ >= kFailuresInARow || !good())
    TurnBad(now);
}

void upstream_standing::OnStuck(time_point now) {
  TurnBad(now);
}

void upstream_standing::OnTrial(time_point now) {
  // The next one only when this one has had its time.
  next_trial_ = now + std::max(trial_pause_, kFirstTrialPause);
}

void upstream_standing::TurnBad(time_point now) {
  // Runs that began before count once.
  if (!good() && now < next_trial_)
    return;
  state_ = state::kBad;
  trial_pause_ =
      std::clamp(trial_pause_ * 2, kFirstTrialPause, kLongestTrialPause);
  next_trial_ = now + trial_pause_;
}

void upstream_standing::TurnGood() {
  state_ = state::kGood;
  trial_pause_ = duration::zero();
  next_trial_ = time_point();
}

}  // namespace jasminedyke
