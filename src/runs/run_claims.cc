#include "runs/run_claims.h"

namespace jasminedyke {

namespace {

// After a takeover the jobs' owners have so long to claim what runs; they learn
// of the new home within a message's time, or re-open a link. Leases last
// longer from the earlier home's last hold.
constexpr duration kClaimTime = std::chrono::milliseconds(300);
constexpr size_t kMaxEarlyEnds = 20'000;

}  // namespace

void run_claims::Begin() {
  begun_ = clock_.now();
}

void run_claims::Clear() {
  found_.clear();
  early_ends_.clear();
}

bool run_claims::MayBeClaimed() const {
  return clock_.now() - begun_ < kClaimTime;
}

void run_claims::OnFound(upstream_session& session,
                         const task_name& task,
                         bool unwanted) {
  place where{task, session.info().id};
  found_run& run = found_[where];
  run = {};
  LogEvent(log_level::kInfo, "run_found",
           {{"job", task.job.str()},
            {"task", task.position.index},
            {"upstream", where.upstream.str()},
            {"unwanted", unwanted ? 1 : 0}});
  if (unwanted || !MayBeClaimed())
    StopRun(where, run);
}

void run_claims::StopRun(const place& where, found_run& run) {
  if (run.stopping)
    return;
  run.stopping = true;
  if (upstream_session* session = upstreams_.Find(where.upstream))
    session->Stop(where.task);
}

void run_claims::OnEnded(const upstream_id& upstream,
                         const task_name& task,
                         run_end how,
                         bool has_task) {
  found_.erase({task, upstream});
  if (!has_task && MayBeClaimed() && early_ends_.size() < kMaxEarlyEnds)
    early_ends_[task] = how;
}

std::optional<run_end> run_claims::TakeUnclaimedEnd(const task_name& task) {
  auto found = early_ends_.find(task);
  if (found == early_ends_.end())
    return std::nullopt;
  run_end how = found->second;
  early_ends_.erase(found);
  return how;
}

std::optional<run_claims::claimed_run> run_claims::Claim(
    const task_name& task) {
  auto found = found_.lower_bound({task, upstream_id()});
  if (found == found_.end() || found->first.task != task)
    return std::nullopt;
  claimed_run claimed{found->first.upstream, found->second.stopping};
  found = found_.erase(found);
  // One is enough.
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
  for (auto& [where, run] : found_)
    StopRun(where, run);
  early_ends_.clear();
}

}  // namespace jasminedyke
