#include "policy/work_exchange.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// What is left free on upstreams is not all of use.
constexpr double kUsableRoom = 0.8;
// Of all cores. A home with less room needs it for what comes next.
constexpr double kLeastRoom = 0.05;
// A home whose jobs wait less has nothing to give that would gain: the way over
// the owner to another failure domain takes about as long.
constexpr duration kPressed = std::chrono::milliseconds(20);
// From an ask until the jobs have come or will not: two messages between
// failure domains and one within, and what the instances take in between.
constexpr duration kAskTime = std::chrono::milliseconds(60);
// What a job loses on its way.
constexpr duration kWay = std::chrono::milliseconds(10);

int64_t UsableRoom(const home_pressure& home) {
  return static_cast<int64_t>(static_cast<double>(home.free_cpu_millis) *
                              kUsableRoom);
}

enum class gain {
  kNone,
  kPlace,   // late in both; its place goes to another one
  kUse,     // of no use here, late there
  kInTime,  // late here, in time there
};

gain GainOf(const waiting_work& job, duration wait) {
  duration here = wait + job.longest_task;
  duration there = kWay + job.longest_task;
  if (there <= job.to_objective)
    return here > job.to_objective ? gain::kInTime : gain::kNone;
  if (there > job.to_uselessness)
    return gain::kNone;
  return here > job.to_uselessness ? gain::kUse : gain::kPlace;
}

}  // namespace

std::vector<work_ask> work_seeker::Ask(
    const home_pressure& own,
    const std::vector<home_pressure>& others) {
  time_point now = clock_.now();
  std::erase_if(recent_,
                [&](const recent_ask& ask) { return now >= ask.until; });
  int64_t room = UsableRoom(own);
  for (const recent_ask& ask : recent_)
    room -= ask.cpu_millis;
  auto least = static_cast<int64_t>(static_cast<double>(own.total_cpu_millis) *
                                    kLeastRoom);
  if (own.wait > duration::zero() || room <= least)
    return {};
  // Core-time that waits there.
  double all = 0;
  auto excess = [](const home_pressure& home) {
    bool pressed = home.wait >= kPressed;
    return pressed ? ToSeconds(home.wait) *
                         static_cast<double>(home.total_cpu_millis)
                   : 0;
  };
  for (const home_pressure& other : others)
    all += excess(other);
  std::vector<work_ask> asks;
  for (const home_pressure& other : others) {
    auto share = static_cast<int64_t>(
        all > 0 ? static_cast<double>(room) * excess(other) / all : 0);
    if (share <= 0)
      continue;
    asks.push_back({other.domain, share});
    recent_.push_back({now + kAskTime, share});
  }
  return asks;
}

std::vector<size_t> ChooseGifts(const std::vector<waiting_work>& in_order,
                                double cores,
                                int64_t cpu_millis) {
  struct gift {
    gain value = gain::kNone;
    size_t position = 0;
  };
  std::vector<gift> gifts;
  double ahead = 0;
  for (size_t i = 0; i < in_order.size(); ++i) {
    const waiting_work& job = in_order[i];
    ahead += job.core_seconds;
    if (!job.may_go || cores <= 0)
      continue;
    duration wait = FromSeconds(ahead / (cores * kUsableRoom));
    gain value = GainOf(job, wait);
    if (value != gain::kNone)
      gifts.push_back({value, i});
  }
  std::ranges::stable_sort(gifts, std::ranges::greater{}, &gift::value);
  std::vector<size_t> chosen;
  for (const gift& each : gifts) {
    int64_t need = in_order[each.position].cpu_millis;
    if (need > cpu_millis)
      continue;
    cpu_millis -= need;
    chosen.push_back(each.position);
  }
  return chosen;
}

}  // namespace jasminedyke
