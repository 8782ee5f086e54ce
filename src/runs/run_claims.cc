#include "runs/run_claims.h"

namespace jasminedyke {

namespace {

// How long after a takeover the job owners may claim found runs. Owners learn
// of the new home within one message delay, or by re-opening a link. Leases
// granted by the last hold of the earlier home last longer than this.
constexpr duration kClaimPeriod = std::chrono::milliseconds(300);
constexpr size_t kMaxUnclaimedEnds = 20'000;

}  // namespace

void run_claims::Begin() {
  begun_ = clock_.now();
}

void run_claims::Clear() {
  found_.clear();
  unclaimed_ends_.clear();
}

bool run_claims::MayBeClaimed() const {
  return clock_.now() - begun_ < kClaimPeriod;
}

void run_claims::OnFound(upstream_session& session,
                         const task_name& task,
                         bool unwanted) {
  run_location location{task, session.info().id};
  found_run& run = found_[location];
  run = {};
  LogEvent(log_level::kInfo, "run_found",
           {{"job", task.job.str()},
            {"task", task.position.index},
            {"upstream", location.upstream.str()},
            {"unwanted", unwanted ? 1 : 0}});
  if (unwanted || !MayBeClaimed())
    StopRun(location, run);
}

void run_claims::StopRun(const run_location& location, found_run& run) {
  if (run.stopping)
    return;
  run.stopping = true;
  if (upstream_session* session = upstreams_.Find(location.upstream))
    session->Stop(location.task);
}

void run_claims::OnEnded(const upstream_id& upstream,
                         const task_name& task,
                         run_end how,
                         bool has_task) {
  found_.erase({task, upstream});
  if (!has_task && MayBeClaimed() && unclaimed_ends_.size() < kMaxUnclaimedEnds)
    unclaimed_ends_[task] = how;
}

std::optional<run_end> run_claims::TakeUnclaimedEnd(const task_name& task) {
  auto found = unclaimed_ends_.find(task);
  if (found == unclaimed_ends_.end())
    return std::nullopt;
  run_end how = found->second;
  unclaimed_ends_.erase(found);
  return how;
}

std::optional<run_claims::claimed_run> run_claims::Claim(
    const task_name& task) {
  auto found = found_.lower_bound({task, upstream_id()});
  if (found == found_.end() || found->first.task != task)
    return std::nullopt;
  claimed_run claimed{found->first.upstream, found->second.stopping};
  found = found_.erase(found);
  // The task needs only one run.
  for (; found != found_.end() && found->first.task == task; ++found)
    StopRun(found->first, found->second);
  return claimed;
}

bool run_claims::IsFound(const task_name& task) const {
  auto found = found_.lower_bound({task, upstream_id()});
  return found != found_.end() && found->first.task == task;
}

void run_claims::StopUnclaimed() {
  if (MayBeClaimed())
    return;
  for (auto& [location, run] : found_)
    StopRun(location, run);
  unclaimed_ends_.clear();
}

}  // namespace jasminedyke
