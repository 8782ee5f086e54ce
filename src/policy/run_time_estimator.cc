#include "policy/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace jasminedyke {

namespace {

constexpr duration kWindow = std::chrono::seconds(20);
constexpr uint64_t kMinTasks = 8;
// Assumed for a class with too few finished tasks when the caller declares no
// shorter time.
constexpr duration kDefaultRunTime = std::chrono::milliseconds(300);
constexpr duration kShortestRunTime = std::chrono::milliseconds(1);
constexpr duration kLongestDeclared = std::chrono::seconds(30);
// The declared time is used if the deviation of log(actual / declared) is less
// than this fraction of the deviation of log(run time).
constexpr double kMaxRelativeDeviation = 0.7;
// Weight of a new value in the moving mean and variance.
constexpr double kMomentWeight = 0.05;
// Ratio of p99 to mean that is assumed for a class with too few finished tasks.
constexpr double kDefaultP99OverMean = 4;

duration ClampDeclared(duration declared) {
  return std::clamp(declared, kShortestRunTime, kLongestDeclared);
}

// Exponentially weighted mean and variance.
class moving_moments {
 public:
  void Add(double value) {
    if (count_++ == 0) {
      mean_ = value;
      return;
    }
    double difference = value - mean_;
    mean_ += kMomentWeight * difference;
    variance_ = (1 - kMomentWeight) *
                (variance_ + kMomentWeight * difference * difference);
  }
  uint64_t count() const { return count_; }
  double mean() const { return mean_; }
  double deviation() const { return std::sqrt(variance_); }

 private:
  uint64_t count_ = 0;
  double mean_ = 0;
  double variance_ = 0;
};

}  // namespace

struct run_time_estimator::class_history {
  windowed_quantiles seconds{kWindow};
  moving_moments log_seconds;
  // log(actual / declared) of the tasks whose callers declared a run time.
  moving_moments log_ratio;
};

run_time_estimator::run_time_estimator() = default;
run_time_estimator::~run_time_estimator() = default;

void run_time_estimator::Learn(const class_id& work_class,
                               duration declared,
                               duration run_time,
                               time_point now) {
  class_history& history = by_class_[work_class];
  double seconds = ToSeconds(std::max(run_time, kShortestRunTime));
  history.seconds.Add(seconds, now);
  history.log_seconds.Add(std::log(seconds));
  if (declared > duration::zero()) {
    double ratio = seconds / ToSeconds(ClampDeclared(declared));
    history.log_ratio.Add(std::log(ratio));
  }
}

run_time_estimate run_time_estimator::Estimate(const class_id& work_class,
                                               duration declared) const {
  bool has_declared = declared > duration::zero();
  auto found = by_class_.find(work_class);
  if (found == by_class_.end() || found->second.seconds.count() < kMinTasks) {
    // A declared time that is too long would cause jobs to be refused before
    // any task of the class has run, so it can only lower the default. One that
    // is too short only admits jobs.
    duration mean = has_declared
                        ? std::min(ClampDeclared(declared), kDefaultRunTime)
                        : kDefaultRunTime;
    return {mean, FromSeconds(ToSeconds(mean) * kDefaultP99OverMean), false};
  }
  const class_history& history = found->second;
  run_time_estimate estimate{FromSeconds(history.seconds.mean()),
                             FromSeconds(history.seconds.p99()), true};
  bool use_declared =
      has_declared && history.log_ratio.count() >= kMinTasks &&
      history.log_ratio.deviation() <
          kMaxRelativeDeviation * history.log_seconds.deviation();
  if (!use_declared)
    return estimate;
  double corrected =
      ToSeconds(ClampDeclared(declared)) * std::exp(history.log_ratio.mean());
  double tail = std::exp(3 * history.log_ratio.deviation());
  return {FromSeconds(corrected), FromSeconds(corrected * tail), true};
}

}  // namespace jasminedyke
