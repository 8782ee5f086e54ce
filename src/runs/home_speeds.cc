#include "runs/home_speeds.h"

#include <algorithm>
#include <cmath>

#include "runs/placement.h"

namespace jasminedyke {

namespace {

constexpr duration kUpdateInterval = std::chrono::milliseconds(100);
// Ratio of speeds from which on a change is sent.
constexpr double kNoticeableRatio = 1.1;
// Speeds below and above which logs call an upstream slow or fast.
constexpr double kSlowBelow = 0.75;
constexpr double kFastAbove = 1.33;
// Limit of the log lines of one call; further changes are not logged.
constexpr int kMaxLogLines = 5;

const char* DescribeSpeed(double speed) {
  if (speed < kSlowBelow)
    return "slow";
  return speed > kFastAbove ? "fast" : "usual";
}

bool DifferNoticeably(double a, double b) {
  return std::max(a, b) > std::min(a, b) * kNoticeableRatio;
}

}  // namespace

// Labels describe an upstream's machine, except for the rack's label, which
// only says where the machine is.
std::string KindOf(const upstream_info& info) {
  std::string kind = info.service.str();
  for (const std::string& label : info.labels) {
    if (label != info.rack.str())
      kind += "," + label;
  }
  return kind;
}

home_speeds::known_upstream& home_speeds::FindOrAdd(const upstream_info& info) {
  auto [found, is_new] = known_.try_emplace(info.id);
  known_upstream& known = found->second;
  if (!is_new && known.birth == info.birth)
    return known;
  learned_.Forget(info.id);
  ++changes_;
  known = {info.birth, KindOf(info)};
  Update(info.id, known);
  known.shared_speed = known.speed;
  return known;
}

void home_speeds::Update(const upstream_id& id, known_upstream& known) {
  known.speed = learned_.Of(id, known.kind);
  int speed_class = SpeedClass(known.speed);
  if (speed_class != known.speed_class)
    ++changes_;
  known.speed_class = speed_class;
}

void home_speeds::UpdateAll(time_point now) {
  if (now - updated_ < kUpdateInterval)
    return;
  updated_ = now;
  for (auto& [id, known] : known_)
    Update(id, known);
}

void home_speeds::RecordRun(const upstream_info& info,
                            duration usual,
                            duration took,
                            time_point now) {
  auto found = known_.find(info.id);
  // Ignores runs of an earlier incarnation.
  bool other_incarnation =
      found != known_.end() && found->second.birth != info.birth;
  if (other_incarnation)
    return;
  known_upstream& known = FindOrAdd(info);
  learned_.RecordRun(info.id, known.kind, usual, took, now);
  Update(info.id, known);
  UpdateAll(now);
}

double home_speeds::OfKind(const upstream_info& info) const {
  return learned_.OfKind(KindOf(info));
}

const home_speeds::known_upstream* home_speeds::FindKnown(
    const upstream_info& info) const {
  auto found = known_.find(info.id);
  return found == known_.end() || found->second.birth != info.birth
             ? nullptr
             : &found->second;
}

double home_speeds::Of(const upstream_info& info) const {
  const known_upstream* known = FindKnown(info);
  return known ? known->speed : OfKind(info);
}

int home_speeds::ClassOf(const upstream_info& info) const {
  const known_upstream* known = FindKnown(info);
  return known ? known->speed_class : SpeedClass(OfKind(info));
}

void home_speeds::SetRegistered(const upstream_registry& registered) {
  std::erase_if(known_, [&](const auto& entry) {
    auto found = registered.find(entry.first);
    bool gone =
        found == registered.end() || found->second.birth != entry.second.birth;
    if (gone) {
      learned_.Forget(entry.first);
      ++changes_;
    }
    return gone;
  });
  for (const auto& [id, info] : registered)
    FindOrAdd(info);
}

speed_news home_speeds::TakeNews(time_point now) {
  UpdateAll(now);
  speed_news news;
  int lines = 0;
  for (auto& [id, known] : known_) {
    if (!DifferNoticeably(known.speed, known.shared_speed))
      continue;
    bool other_class =
        DescribeSpeed(known.speed) != DescribeSpeed(known.shared_speed);
    if (other_class && lines++ < kMaxLogLines)
      LogEvent(log_level::kInfo, "upstream_speed",
               {{"upstream", id.str()},
                {"speed", known.speed},
                {"is", DescribeSpeed(known.speed)},
                {"was", DescribeSpeed(known.shared_speed)}});
    known.shared_speed = known.speed;
    news.speeds.push_back({id, known.birth, known.speed});
  }
  return news;
}

speed_news home_speeds::All() const {
  speed_news news;
  for (const auto& [id, known] : known_) {
    if (known.speed != 1)
      news.speeds.push_back({id, known.birth, known.speed});
  }
  return news;
}

void home_speeds::Apply(const speed_news& news,
                        const upstream_registry& registered,
                        time_point now) {
  for (const upstream_speed& each : news.speeds) {
    auto found = registered.find(each.id);
    if (found == registered.end() || found->second.birth != each.birth)
      continue;
    known_upstream& known = FindOrAdd(found->second);
    learned_.AdoptSpeed(each.id, known.kind, each.speed, now);
    Update(each.id, known);
    known.shared_speed = known.speed;
  }
}

std::map<std::string, kind_speed> home_speeds::ByKind() const {
  std::map<std::string, kind_speed> kinds;
  for (const auto& [id, known] : known_) {
    kind_speed& kind = kinds[known.kind];
    bool first = kind.upstreams++ == 0;
    kind.mean += (known.speed - kind.mean) / kind.upstreams;
    kind.slowest = first ? known.speed : std::min(kind.slowest, known.speed);
    kind.fastest = std::max(kind.fastest, known.speed);
  }
  return kinds;
}

}  // namespace jasminedyke
