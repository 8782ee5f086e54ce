#include "policy/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace jasminedyke {

namespace {

// Logarithms of speeds. Bounds what one run says: a task may take many times
// what its siblings take.
constexpr double kLargestDeviation = 0.7;
// Averages over about twice the inverse of this many runs.
constexpr double kGain = 0.05;
constexpr double kMostRuns = 2 / kGain - 1;
// After a change of speed, which shows in the recent deviations: Trigg and
// Leach's tracking signal.
constexpr double kDriftGain = 0.3;
constexpr double kChanged = 0.4;
// Callers' guesses are far off, siblings differ, and a few tasks take many
// times as long: three standard deviations of one run.
constexpr double kNoiseOfRun = 0.9;
// Smaller ones matter less than the guesses' errors.
constexpr double kLeastDifference = 0.18;
// What news from another home is worth, so that an upstream's own runs soon
// count more.
constexpr double kRunsOfNews = 12;
// An upstream that gets no work because it was slow is to be tried again.
constexpr duration kIdleTime = std::chrono::seconds(5);
constexpr duration kForgetTime = std::chrono::seconds(10);
constexpr duration kRefreshInterval = std::chrono::milliseconds(100);
// Kinds beyond that share the usual speed; labels may differ for each upstream.
constexpr size_t kMostKinds = 256;

// Nothing if it may be chance.
std::optional<double> Significant(double difference, double runs) {
  double noise = kNoiseOfRun / std::sqrt(std::max(runs, 1e-6));
  if (std::abs(difference) < std::max(kLeastDifference, noise))
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
                 -kLargestDeviation, kLargestDeviation);
  each.drift += kDriftGain * (deviation - each.drift);
  bool changed = std::abs(each.drift) > kChanged;
  double gain = std::max(kGain, 1 / (each.runs + 1));
  each.mean += (changed ? std::max(gain, kDriftGain) : gain) * deviation;
  each.runs = std::min(each.runs + 1, kMostRuns);
  each.last_run = now;
}

void upstream_speeds::AdoptSpeed(const upstream_id& id,
                                 const std::string& kind,
                                 double speed,
                                 time_point now) {
  if (!(speed > 0))
    return;
  estimate& each = Find(id, kind, now);
  if (each.runs > kRunsOfNews)
    return;
  each.mean = centre_ + std::log(speed);
  each.drift = 0;
  each.runs = kRunsOfNews;
  each.last_run = now;
}

void upstream_speeds::Refresh(time_point now) {
  duration passed = now - refreshed_;
  if (passed < kRefreshInterval)
    return;
  refreshed_ = now;
  ++refreshes_;
  // While nothing ran anywhere, as before this instance was home, nothing ages.
  bool all_idle = passed > kIdleTime;
  double kept =
      all_idle ? 1 : std::exp(-ToSeconds(passed) / ToSeconds(kForgetTime));
  double sum = 0;
  double runs = 0;
  kinds_.clear();
  for (auto& [id, each] : known_) {
    if (now - each.last_run > kIdleTime)
      each.runs *= kept;
    sum += each.mean * each.runs;
    runs += each.runs;
    if (kinds_.size() >= kMostKinds && !kinds_.contains(each.kind))
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
  auto own = Significant(each.mean - centre_, each.runs);
  return own ? std::exp(*own) : OfKind(kind);
}

double upstream_speeds::OfKind(const std::string& kind) const {
  auto found = kinds_.find(kind);
  if (found == kinds_.end())
    return 1;
  const kind_estimate& each = found->second;
  auto own = Significant(each.mean - centre_, std::min(each.runs, kMostRuns));
  return own ? std::exp(*own) : 1;
}

std::vector<upstream_id> upstream_speeds::known() const {
  std::vector<upstream_id> ids;
  for (const auto& [id, each] : known_)
    ids.push_back(id);
  return ids;
}

}  // namespace jasminedyke
