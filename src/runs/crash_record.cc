#include "runs/crash_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminedyke {

namespace {

// After that no upstream is risked any more.
constexpr size_t kMostLosses = 3;
constexpr int kMostBegunLosses = 2;
// Upstreams that are lost at one moment show so within a lease's length of each
// other.
constexpr duration kSharedWindow = std::chrono::milliseconds(1100);
// More than so many within the window, and than this share of all, are lost for
// a reason of their own.
constexpr size_t kFewLosses = 2;
constexpr double kSharedShare = 0.05;
// Callers send a job again within some seconds.
constexpr duration kRemembered = std::chrono::seconds(60);
constexpr size_t kMostEntries = 2'000;

}  // namespace

void crash_record::OnUpstreamLost(time_point now,
                                  const upstream_loss& lost,
                                  size_t upstreams) {
  upstreams_ = upstreams;
  losses_.push_back(now);
  for (const lost_run& run : lost.runs)
    Add(run.task, {{lost.upstream, run.begun}, now});
}

crash_record::entry* crash_record::FindOrAdd(const task_name& task) {
  auto found = entries_.find(task);
  if (found != entries_.end())
    return &found->second;
  return entries_.size() < kMostEntries ? &entries_[task] : nullptr;
}

bool crash_record::Add(const task_name& task, const loss& added) {
  entry* found = FindOrAdd(task);
  if (!found)
    return false;
  bool has_id = !added.what.upstream.id.empty();
  bool is_known =
      has_id && std::ranges::any_of(found->losses, [&](const loss& known) {
        return known.what.upstream == added.what.upstream;
      });
  if (is_known || found->losses.size() >= kMostLosses)
    return false;
  found->losses.push_back(added);
  found->last = added.at;
  found->told = false;
  return true;
}

void crash_record::OnExplained(const upstream_incarnation& upstream) {
  if (Erase(upstream))
    explained_.push_back(upstream);
}

bool crash_record::Erase(const upstream_incarnation& upstream) {
  size_t erased = 0;
  for (auto& [task, found] : entries_) {
    erased += std::erase_if(found.losses, [&](const loss& known) {
      return known.what.upstream == upstream;
    });
  }
  std::erase_if(entries_,
                [](const auto& each) { return each.second.losses.empty(); });
  return erased > 0;
}

bool crash_record::OnSuspectVanished(const task_name& task, time_point now) {
  return entries_.contains(task) && Add(task, {{{}, true}, now});
}

void crash_record::OnRunEnded(const task_name& task) {
  entries_.erase(task);
}

void crash_record::Take(const crash_news& news, time_point now) {
  for (const crash_suspect& suspect : news.suspects)
    TakeSuspect(suspect, now);
  for (const upstream_incarnation& upstream : news.explained)
    Erase(upstream);
}

// Whoever told has told all instances.
void crash_record::TakeSuspect(const crash_suspect& suspect, time_point now) {
  auto known = entries_.find(suspect.task);
  bool has_more = known != entries_.end() && !known->second.told;
  for (const task_loss& heard : suspect.losses) {
    // Of those without an id nobody can say which are the same.
    bool may_be_known = heard.upstream.id.empty() &&
                        LossesOf(suspect.task).size() >= suspect.losses.size();
    if (!may_be_known)
      Add(suspect.task, {heard, now, true});
  }
  known = entries_.find(suspect.task);
  if (known != entries_.end())
    known->second.told = !has_more;
}

bool crash_record::IsShared(time_point lost) const {
  auto near = std::ranges::count_if(losses_, [&](time_point other) {
    return other >= lost - kSharedWindow && other <= lost + kSharedWindow;
  });
  auto limit = static_cast<size_t>(
      std::ceil(static_cast<double>(upstreams_) * kSharedShare));
  return static_cast<size_t>(near) > std::max(kFewLosses, limit);
}

crash_suspicion crash_record::Judge(const entry& found) const {
  auto singly = std::ranges::count_if(found.losses, [&](const loss& each) {
    return each.what.begun && (each.heard || !IsShared(each.at));
  });
  if (found.losses.size() >= kMostLosses || singly >= kMostBegunLosses)
    return crash_suspicion::kHeld;
  return singly == 1 ? crash_suspicion::kSuspect : crash_suspicion::kNone;
}

crash_suspect crash_record::Describe(const task_name& task,
                                     const entry& found) const {
  crash_suspect suspect{task, {}};
  for (const loss& each : found.losses)
    suspect.losses.push_back(each.what);
  return suspect;
}

crash_suspicion crash_record::Of(const task_name& task, time_point now) const {
  auto found = entries_.find(task);
  if (found == entries_.end() || now - found->second.last >= kRemembered)
    return crash_suspicion::kNone;
  return Judge(found->second);
}

duration crash_record::HeldFor(const task_name& task, time_point now) const {
  auto found = entries_.find(task);
  if (found == entries_.end())
    return duration::zero();
  return std::max(duration::zero(), found->second.last + kRemembered - now);
}

std::vector<task_loss> crash_record::LossesOf(const task_name& task) const {
  auto found = entries_.find(task);
  if (found == entries_.end())
    return {};
  return Describe(task, found->second).losses;
}

crash_news crash_record::TakeNews() {
  crash_news news;
  for (auto& [task, found] : entries_) {
    if (found.told || Judge(found) == crash_suspicion::kNone)
      continue;
    found.told = true;
    news.suspects.push_back(Describe(task, found));
  }
  news.explained = std::exchange(explained_, {});
  return news;
}

crash_news crash_record::All(time_point now) const {
  crash_news news;
  for (const auto& [task, found] : entries_) {
    if (Of(task, now) != crash_suspicion::kNone)
      news.suspects.push_back(Describe(task, found));
  }
  return news;
}

void crash_record::Forget(time_point now) {
  std::erase_if(entries_, [&](const auto& each) {
    return now - each.second.last >= kRemembered;
  });
  // As long as the entries that they judge.
  while (!losses_.empty() && now - losses_.front() >= kRemembered)
    losses_.pop_front();
}

}  // namespace jasminedyke
