#include "runs/crash_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminedyke {

namespace {

// After so many no upstream is risked any more: of all, and of those under
// which the task had begun.
constexpr int kMostLosses = 3;
constexpr int kMostBegunLosses = 2;
// Of one task, the newest.
constexpr size_t kMostKept = 8;
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

// Registrations of older releases tell no birth.
bool IsSame(const upstream_incarnation& a, const upstream_incarnation& b) {
  bool any_unknown = a.birth == upstream_birth() || b.birth == upstream_birth();
  return a.id == b.id && !a.id.empty() && (any_unknown || a.birth == b.birth);
}

}  // namespace

void crash_record::OnUpstreamLost(time_point now,
                                  const upstream_loss& lost,
                                  size_t upstreams) {
  upstreams_ = upstreams;
  losses_.push_back(now);
  std::erase_if(explained_, [&](const auto& each) {
    return IsSame(each.first, lost.upstream);
  });
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
  if (added.heard && IsExplained(added.what.upstream))
    return false;
  entry* found = FindOrAdd(task);
  if (!found)
    return false;
  bool is_known = std::ranges::any_of(found->losses, [&](const loss& known) {
    return IsSame(known.what.upstream, added.what.upstream);
  });
  if (is_known)
    return false;
  if (found->losses.size() >= kMostKept)
    found->losses.erase(found->losses.begin());
  found->losses.push_back(added);
  found->told = false;
  return true;
}

bool crash_record::IsExplained(const upstream_incarnation& upstream) const {
  return std::ranges::any_of(explained_, [&](const auto& each) {
    return IsSame(each.first, upstream);
  });
}

void crash_record::OnExplained(const upstream_incarnation& upstream,
                               time_point now) {
  if (Erase(upstream))
    explained_[upstream] = {now, false};
}

bool crash_record::Erase(const upstream_incarnation& upstream) {
  return EraseLosses(
      [&](const loss& known) { return IsSame(known.what.upstream, upstream); });
}

template <class Condition>
bool crash_record::EraseLosses(const Condition& of) {
  size_t erased = 0;
  for (auto& [task, found] : entries_)
    erased += std::erase_if(found.losses, of);
  std::erase_if(entries_,
                [](const auto& each) { return each.second.losses.empty(); });
  return erased > 0;
}

bool crash_record::OnSuspectRunMissing(const task_name& task, time_point now) {
  return entries_.contains(task) && Add(task, {{{}, true}, now});
}

void crash_record::OnRunEnded(const task_name& task) {
  entries_.erase(task);
}

void crash_record::Take(const crash_news& news, time_point now) {
  for (const crash_suspect& suspect : news.suspects)
    TakeSuspect(suspect, now);
  for (const upstream_incarnation& upstream : news.explained) {
    Erase(upstream);
    explained_[upstream] = {now, true};
  }
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

bool crash_record::IsSingle(const loss& each) const {
  return each.heard || !IsShared(each.at);
}

crash_suspicion crash_record::Judge(const entry& found, time_point now) const {
  int single = 0;
  int begun = 0;
  for (const loss& each : found.losses) {
    if (now - each.at >= kRemembered || !IsSingle(each))
      continue;
    ++single;
    begun += each.what.begun ? 1 : 0;
  }
  if (single >= kMostLosses || begun >= kMostBegunLosses)
    return crash_suspicion::kHeld;
  return single > 0 ? crash_suspicion::kSuspect : crash_suspicion::kNone;
}

// Those that prove nothing here prove nothing elsewhere.
crash_suspect crash_record::Describe(const task_name& task,
                                     const entry& found) const {
  crash_suspect suspect{task, {}};
  for (const loss& each : found.losses) {
    if (IsSingle(each))
      suspect.losses.push_back(each.what);
  }
  return suspect;
}

crash_suspicion crash_record::SuspicionLevel(const task_name& task,
                                             time_point now) const {
  auto found = entries_.find(task);
  return found == entries_.end() ? crash_suspicion::kNone
                                 : Judge(found->second, now);
}

duration crash_record::RemainingHoldTime(const task_name& task,
                                         time_point now) const {
  time_point until = now;
  auto found = entries_.find(task);
  if (found == entries_.end())
    return duration::zero();
  for (const loss& each : found->second.losses) {
    if (Judge(found->second, until) != crash_suspicion::kHeld)
      break;
    until = std::max(until, each.at + kRemembered);
  }
  return until - now;
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
    time_point newest = found.losses.back().at;
    if (found.told || Judge(found, newest) == crash_suspicion::kNone)
      continue;
    found.told = true;
    news.suspects.push_back(Describe(task, found));
  }
  for (auto& [upstream, explained] : explained_) {
    if (!std::exchange(explained.told, true))
      news.explained.push_back(upstream);
  }
  return news;
}

crash_news crash_record::All(time_point now) const {
  crash_news news;
  for (const auto& [task, found] : entries_) {
    if (SuspicionLevel(task, now) != crash_suspicion::kNone)
      news.suspects.push_back(Describe(task, found));
  }
  for (const auto& [upstream, explained] : explained_)
    news.explained.push_back(upstream);
  return news;
}

void crash_record::Forget(time_point now) {
  auto is_old = [now](time_point at) { return now - at >= kRemembered; };
  EraseLosses([&](const loss& each) { return is_old(each.at); });
  std::erase_if(explained_,
                [&](const auto& each) { return is_old(each.second.at); });
  // As long as the losses that they judge.
  while (!losses_.empty() && is_old(losses_.front() + kSharedWindow))
    losses_.pop_front();
}

}  // namespace jasminedyke
