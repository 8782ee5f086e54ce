#include "runs/crash_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminedyke {

namespace {

// A task is held after either number of losses, so that it puts no further
// upstream at risk. The first number counts all losses, the second only those
// under which the task is known to have begun.
constexpr int kLossesUntilHeld = 3;
constexpr int kBegunLossesUntilHeld = 2;
// Number of losses kept per task; the newest are kept.
constexpr size_t kMaxKeptLosses = 8;
// Upstreams that fail at the same moment are found lost within a lease's length
// of each other.
constexpr duration kSharedWindow = std::chrono::milliseconds(1100);
// Losses within the window are shared if they exceed both this number and this
// share of all upstreams: they then have a cause other than a task.
constexpr size_t kFewLosses = 2;
constexpr double kSharedShare = 0.05;
// Callers submit a job again within some seconds.
constexpr duration kRetention = std::chrono::seconds(60);
constexpr size_t kMaxEntries = 2'000;

// Compares by id alone if either birth is unknown: registrations of older
// releases have none.
bool IsSame(const upstream_incarnation& a, const upstream_incarnation& b) {
  bool any_unknown = a.birth == upstream_birth() || b.birth == upstream_birth();
  return a.id == b.id && !a.id.empty() && (any_unknown || a.birth == b.birth);
}

}  // namespace

void crash_record::OnUpstreamLost(time_point now,
                                  const upstream_loss& lost,
                                  size_t upstreams) {
  upstreams_ = upstreams;
  upstream_losses_.push_back(now);
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
  return entries_.size() < kMaxEntries ? &entries_[task] : nullptr;
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
  if (found->losses.size() >= kMaxKeptLosses)
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
bool crash_record::EraseLosses(const Condition& is_erased) {
  size_t erased = 0;
  for (auto& [task, found] : entries_)
    erased += std::erase_if(found.losses, is_erased);
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
  // An instance that is not home forgets at no other time.
  Forget(now);
  for (const crash_suspect& suspect : news.suspects)
    TakeSuspect(suspect, now);
  for (const upstream_incarnation& upstream : news.explained) {
    Erase(upstream);
    explained_[upstream] = {now, true};
  }
}

// Does not pass the news on to other instances: the sender has told all
// instances.
void crash_record::TakeSuspect(const crash_suspect& suspect, time_point now) {
  auto known = entries_.find(suspect.task);
  bool has_untold = known != entries_.end() && !known->second.told;
  for (const task_loss& heard : suspect.losses) {
    // Losses without an id can't be told apart, so they count only if the news
    // has more losses than are recorded.
    bool may_be_known = heard.upstream.id.empty() &&
                        LossesOf(suspect.task).size() >= suspect.losses.size();
    if (!may_be_known)
      Add(suspect.task, {heard, now, true});
  }
  known = entries_.find(suspect.task);
  if (known != entries_.end())
    known->second.told = !has_untold;
}

bool crash_record::IsShared(time_point lost) const {
  auto near = std::ranges::count_if(upstream_losses_, [&](time_point other) {
    return other >= lost - kSharedWindow && other <= lost + kSharedWindow;
  });
  auto limit = static_cast<size_t>(
      std::ceil(static_cast<double>(upstreams_) * kSharedShare));
  return static_cast<size_t>(near) > std::max(kFewLosses, limit);
}

bool crash_record::IsIsolated(const loss& each) const {
  return each.heard || !IsShared(each.at);
}

crash_suspicion crash_record::Judge(const entry& found, time_point now) const {
  int isolated = 0;
  int begun = 0;
  for (const loss& each : found.losses) {
    if (now - each.at >= kRetention || !IsIsolated(each))
      continue;
    ++isolated;
    begun += each.what.begun ? 1 : 0;
  }
  if (isolated >= kLossesUntilHeld || begun >= kBegunLossesUntilHeld)
    return crash_suspicion::kHeld;
  return isolated > 0 ? crash_suspicion::kSuspect : crash_suspicion::kNone;
}

// Leaves out shared losses: they are no evidence for other instances either.
crash_suspect crash_record::Describe(const task_name& task,
                                     const entry& found) const {
  crash_suspect suspect{task, {}};
  for (const loss& each : found.losses) {
    if (IsIsolated(each))
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
    until = std::max(until, each.at + kRetention);
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
  // Instances that hear of an explanation keep it for as long again.
  for (const auto& [upstream, explained] : explained_) {
    if (now - explained.at < kRetention)
      news.explained.push_back(upstream);
  }
  return news;
}

void crash_record::Forget(time_point now) {
  auto is_expired = [now](time_point at) { return now - at >= kRetention; };
  EraseLosses([&](const loss& each) { return is_expired(each.at); });
  std::erase_if(explained_,
                [&](const auto& each) { return is_expired(each.second.at); });
  // Times of upstream losses are kept as long as any loss of a task that they
  // may show to be shared.
  while (!upstream_losses_.empty() &&
         is_expired(upstream_losses_.front() + kSharedWindow))
    upstream_losses_.pop_front();
}

}  // namespace jasminedyke
