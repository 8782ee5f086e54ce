#include "policy/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace jasminedyke {

namespace {

// Limit, in the logarithm of the speed, on the deviation of a single run, as a
// task may take many times as long as others of its job.
constexpr double kMaxDeviation = 0.7;
// Weight of a new run. The mean covers about 2 / kGain runs.
constexpr double kGain = 0.05;
constexpr double kMaxRuns = 2 / kGain - 1;
// Weight of a new run in the moving mean of deviations, and in the speed while
// that mean exceeds the threshold, which indicates a change of speed (Trigg and
// Leach's tracking signal).
constexpr double kDriftGain = 0.3;
constexpr double kDriftThreshold = 0.4;
// Three standard deviations of the logarithm of the speed seen in one run.
// Callers' guesses are inaccurate, tasks of a job differ, and a few take many
// times as long.
constexpr double kRunNoise = 0.9;
// Smaller differences matter less than the errors of the guesses.
constexpr double kMinDifference = 0.18;
// Number of runs that a speed from another home counts for; low, so that runs
// observed here soon outweigh it.
constexpr double kRunsOfAdoptedSpeed = 12;
// The weight of an upstream without runs decays after the idle time, so that an
// upstream that gets no tasks because it was slow is tried again.
constexpr duration kIdleTime = std::chrono::seconds(5);
constexpr duration kDecayTime = std::chrono::seconds(10);
constexpr duration kRefreshInterval = std::chrono::milliseconds(100);
// Limit on the kinds with a speed of their own, as labels may differ for each
// upstream. All other kinds have the usual speed.
constexpr size_t kMaxKinds = 256;

// Returns `difference` if it is statistically significant for so many runs.
std::optional<double> IfSignificant(double difference, double runs) {
  double noise = kRunNoise / std::sqrt(std::max(runs, 1e-6));
  if (std::abs(difference) < std::max(kMinDifference, noise))
    return std::nullopt;
  return difference;
}

}  // namespace

upstream_speeds::estimate& upstream_speeds::Find(const upstream_id& id,
                                                 const std::string& kind,
                                                 time_point now) {
  auto [found, is_new] = known_.try_emplace(id);
  estimate& each = found->second;
  if (is_new || each.kind != kind) {
    each = estimate{kind, centre_ + std::log(OfKind(kind)), 0, 0, now};
  }
  return each;
}

void upstream_speeds::RecordRun(const upstream_id& id,
                                const std::string& kind,
                                duration usual,
                                duration took,
                                time_point now) {
  if (usual <= duration::zero() || took <= duration::zero())
    return;
  Refresh(now);
  estimate& each = Find(id, kind, now);
  double deviation =
      std::clamp(std::log(ToSeconds(usual) / ToSeconds(took)) - each.mean,
                 -kMaxDeviation, kMaxDeviation);
  each.drift += kDriftGain * (deviation - each.drift);
  bool changed = std::abs(each.drift) > kDriftThreshold;
  double gain = std::max(kGain, 1 / (each.runs + 1));
  each.mean += (changed ? std::max(gain, kDriftGain) : gain) * deviation;
  each.runs = std::min(each.runs + 1, kMaxRuns);
  each.last_run = now;
}

void upstream_speeds::AdoptSpeed(const upstream_id& id,
                                 const std::string& kind,
                                 double speed,
                                 time_point now) {
  if (!(speed > 0))
    return;
  estimate& each = Find(id, kind, now);
  if (each.runs > kRunsOfAdoptedSpeed)
    return;
  each.mean = centre_ + std::log(speed);
  each.drift = 0;
  each.runs = kRunsOfAdoptedSpeed;
  each.last_run = now;
}

void upstream_speeds::Refresh(time_point now) {
  duration passed = now - refreshed_at_;
  if (passed < kRefreshInterval)
    return;
  refreshed_at_ = now;
  ++refreshes_;
  // Nothing decays if no upstream had runs, such as before this instance became
  // home.
  bool all_idle = passed > kIdleTime;
  double kept =
      all_idle ? 1 : std::exp(-ToSeconds(passed) / ToSeconds(kDecayTime));
  double sum = 0;
  double runs = 0;
  kinds_.clear();
  for (auto& [id, each] : known_) {
    if (now - each.last_run > kIdleTime)
      each.runs *= kept;
    sum += each.mean * each.runs;
    runs += each.runs;
    if (kinds_.size() >= kMaxKinds && !kinds_.contains(each.kind))
      continue;
    kind_estimate& kind = kinds_[each.kind];
    kind.mean += each.mean * each.runs;
    kind.runs += each.runs;
  }
  if (runs > 0)
    centre_ = sum / runs;
  for (auto& [name, kind] : kinds_)
    kind.mean = kind.runs > 0 ? kind.mean / kind.runs : centre_;
}

double upstream_speeds::Of(const upstream_id& id,
                           const std::string& kind) const {
  auto found = known_.find(id);
  if (found == known_.end())
    return OfKind(kind);
  const estimate& each = found->second;
  auto own = IfSignificant(each.mean - centre_, each.runs);
  return own ? std::exp(*own) : OfKind(kind);
}

double upstream_speeds::OfKind(const std::string& kind) const {
  auto found = kinds_.find(kind);
  if (found == kinds_.end())
    return 1;
  const kind_estimate& each = found->second;
  auto own = IfSignificant(each.mean - centre_, std::min(each.runs, kMaxRuns));
  return own ? std::exp(*own) : 1;
}

std::vector<upstream_id> upstream_speeds::known() const {
  std::vector<upstream_id> ids;
  for (const auto& [id, each] : known_)
    ids.push_back(id);
  return ids;
}

}  // namespace jasminedyke
