#include "runs/home_upstreams.h"

#include <algorithm>
#include <utility>

#include "runs/task_placer.h"

namespace jasminedyke {

upstream_session* home_upstreams::Find(const upstream_id& id) const {
  auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second.get();
}

void home_upstreams::Add(std::unique_ptr<upstream_session> session) {
  upstream_id id = session->info().id;
  sessions_.emplace(std::move(id), std::move(session));
  ++session_changes_;
}

void home_upstreams::SetInfo(upstream_session& session,
                             const upstream_info& info) {
  session.SetInfo(info);
  ++session_changes_;
}

void home_upstreams::MarkUnregistered(const upstream_registry& registered) {
  for (const auto& [id, session] : sessions_) {
    if (!registered.contains(id))
      session->SetUnregistered();
  }
}

void home_upstreams::ForgetUnregistered(const upstream_registry& registered) {
  session_changes_ += std::erase_if(sessions_, [&](const auto& entry) {
    return entry.second->idle() && !registered.contains(entry.first);
  });
  std::erase_if(standings_, [&](const auto& entry) {
    return !sessions_.contains(entry.first);
  });
}

void home_upstreams::Clear() {
  sessions_.clear();
  ++session_changes_;
  standings_.clear();
}

bool home_upstreams::AllSettled() const {
  return std::ranges::all_of(
      sessions_, [](const auto& entry) { return entry.second->settled(); });
}

bool home_upstreams::AllHeard() const {
  return std::ranges::all_of(
      sessions_, [](const auto& entry) { return entry.second->heard(); });
}

bool home_upstreams::IsGood(const upstream_id& id) const {
  auto standing = standings_.find(id);
  return standing == standings_.end() || standing->second.good();
}

bool home_upstreams::TakesWork(const upstream_session& session) const {
  return IsGood(session.info().id) && session.usable();
}

double home_upstreams::UsableCores() const {
  double cores = 0;
  for (const auto& [id, session] : sessions_) {
    if (TakesWork(*session))
      cores += static_cast<double>(session->info().capacity.cpu_millis) / 1000 *
               speeds_.Of(session->info());
  }
  return cores;
}

bool home_upstreams::CouldEverRun(const home_job& job) const {
  const task_demand* last = nullptr;
  return std::ranges::all_of(job.tasks, [&](const auto& entry) {
    const home_task& task = entry.second;
    const task_demand& demand = task.demand();
    bool is_known = last && AskForSame(*last, demand);
    if (is_known || task.phase() == task_phase::kDone)
      return true;
    last = &demand;
    return std::ranges::any_of(sessions_, [&](const auto& candidate) {
      return MayRun(*candidate.second, job, task) &&
             demand.need.Fits(candidate.second->largest_capacity());
    });
  });
}

}  // namespace jasminedyke
