#include "runs/owner_links.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// How long a living owner may take to connect again, and then to send its jobs
// again. If the owner died, its caller comes back through another instance
// after a second or more. The leases end before (`return_bound`), but with them
// those of other runs, so the runs are stopped earlier.
constexpr duration kReconnectTime = std::chrono::milliseconds(200);
constexpr duration kResendTime = std::chrono::milliseconds(150);

void LogOwner(const char* event, const instance_id& owner, size_t jobs) {
  if (jobs > 0)
    LogEvent(log_level::kInfo, event, {{"owner", owner.str()}, {"jobs", jobs}});
}

}  // namespace

void owner_links::OnJobSent(const instance_id& owner, home_job& job) {
  job.owner = owner;
  auto link = linked_.find(owner);
  // An instance that is home to its own jobs has no link to itself.
  job.owner_incarnation =
      link == linked_.end() ? incarnation_id() : link->second.incarnation;
  job.orphaned.reset();
}

bool owner_links::OnConfirmed(const instance_id& owner, time_point sent) {
  auto link = linked_.find(owner);
  if (link == linked_.end())
    return false;
  time_point now = clock_.boot_now();
  time_point& confirmed = link->second.confirmed_at;
  bool might_start = bound_.MayStart(now, bound_.EndOfRuns(confirmed));
  confirmed = std::max(confirmed, std::min(sent, now));
  return !might_start && bound_.MayStart(now, bound_.EndOfRuns(confirmed));
}

void owner_links::Cancel(home_job& job) {
  if (job.cancelled)
    return;
  job.confirmed_at = ConfirmedAt(job);
  job.cancelled = true;
  job.cancelled_at = clock_.now();
}

void owner_links::OnOwnConfirmed(time_point handled_until) {
  own_confirmed_at_ =
      std::max(own_confirmed_at_.value_or(handled_until), handled_until);
}

// What was known while the job had an earlier owner or link holds as well.
time_point owner_links::ConfirmedAt(const home_job& job) const {
  if (job.cancelled || job.orphaned)
    return job.confirmed_at;
  auto link = linked_.find(job.owner);
  time_point confirmed = link == linked_.end()
                             ? own_confirmed_at_.value_or(clock_.boot_now())
                             : link->second.confirmed_at;
  return std::max(confirmed, job.confirmed_at);
}

// The caller leaves at the job's limit, whether or not the owner notices.
time_point owner_links::EndOfRuns(const home_job& job) const {
  return bound_.EndOfRuns(std::min(ConfirmedAt(job), job.boot_limit));
}

bool owner_links::MayStart(const home_job& job) const {
  return bound_.MayStart(clock_.boot_now(), EndOfRuns(job));
}

void owner_links::OnDown(const instance_id& owner) {
  size_t jobs = 0;
  for (auto& [key, job] : jobs_) {
    if (job.owner != owner || job.cancelled)
      continue;
    ++jobs;
    MarkOrphaned(job);
  }
  linked_.erase(owner);
  LogOwner("owner_lost", owner, jobs);
}

void owner_links::OnStartNotSent(home_job& job) {
  if (!job.cancelled)
    MarkOrphaned(job);
}

void owner_links::MarkOrphaned(home_job& job) {
  job.confirmed_at = ConfirmedAt(job);
  if (!job.orphaned)
    job.orphaned = orphaned_job{clock_.now(), std::nullopt};
  job.orphaned->linked_at.reset();
}

std::vector<home_job*> owner_links::OnUp(const instance_id& owner,
                                         const incarnation_id& incarnation) {
  linked_[owner] = {incarnation};
  std::vector<home_job*> of_earlier_process;
  size_t jobs = 0;
  for (auto& [key, job] : jobs_) {
    if (job.owner != owner || job.cancelled || !job.orphaned)
      continue;
    job.orphaned->linked_at = clock_.now();
    if (job.owner_incarnation == incarnation)
      ++jobs;
    else
      of_earlier_process.push_back(&job);
  }
  LogOwner("owner_back", owner, jobs);
  return of_earlier_process;
}

std::vector<home_job*> owner_links::Abandoned() const {
  std::vector<home_job*> abandoned;
  for (auto& [key, job] : jobs_) {
    if (!job.orphaned || job.cancelled)
      continue;
    // Bounded by the first break, as a link that breaks again and again must
    // not keep the job for ever.
    time_point until = job.orphaned->since + kReconnectTime;
    if (job.orphaned->linked_at)
      until = std::min(until, *job.orphaned->linked_at) + kResendTime;
    if (clock_.now() >= until)
      abandoned.push_back(&job);
  }
  return abandoned;
}

std::vector<home_job*> owner_links::Unconfirmed() const {
  std::vector<home_job*> unconfirmed;
  time_point now = clock_.boot_now();
  for (auto& [key, job] : jobs_) {
    bool in_doubt = !job.orphaned && !job.cancelled &&
                    linked_.contains(job.owner) &&
                    bound_.MustStop(now, bound_.EndOfRuns(ConfirmedAt(job)));
    if (in_doubt && job.tasks.Count(task_phase::kOrdered) > 0)
      unconfirmed.push_back(&job);
  }
  return unconfirmed;
}

}  // namespace jasminedyke
