#include "runs/late_starts.h"

#include <algorithm>

namespace jasminedyke {

void late_starts::Add(const upstream_id& upstream,
                      const start& ordered,
                      time_point sent,
                      time_point now) {
  ForgetOld(now);
  std::vector<order>& orders = orders_[ordered.first];
  bool known = std::ranges::any_of(orders, [&](const order& each) {
    return each.upstream == upstream && each.run == ordered.second &&
           each.sent == sent;
  });
  if (known)
    return;
  orders.push_back({upstream, ordered.second, sent});
  recorded_.emplace_back(now, ordered.first);
}

void late_starts::Remove(const upstream_id& upstream,
                         const start& ordered,
                         time_point sent) {
  auto found = orders_.find(ordered.first);
  if (found == orders_.end())
    return;
  std::erase_if(found->second, [&](const order& each) {
    return each.upstream == upstream && each.run == ordered.second &&
           each.sent == sent;
  });
  if (found->second.empty())
    orders_.erase(found);
}

void late_starts::OnRefused(const upstream_id& upstream, const start& refused) {
  auto found = orders_.find(refused.first);
  if (found == orders_.end())
    return;
  for (order& each : found->second) {
    if (each.upstream == upstream && each.run <= refused.second)
      each.refused = true;
  }
}

void late_starts::OnNewIncarnation(const upstream_id& upstream) {
  for (auto& [task, orders] : orders_) {
    for (order& each : orders) {
      if (each.upstream == upstream)
        each.refused = false;
    }
  }
}

std::vector<late_starts::start> late_starts::Unrefused(
    const upstream_id& upstream,
    time_point now) const {
  std::vector<start> unrefused;
  for (const auto& [task, orders] : orders_) {
    std::optional<run_number> latest;
    for (const order& each : orders) {
      if (each.upstream == upstream && !each.refused && each.MayArrive(now))
        latest = std::max(latest.value_or(each.run), each.run);
    }
    if (latest)
      unrefused.emplace_back(task, *latest);
  }
  return unrefused;
}

std::optional<late_starts::place> late_starts::PlaceOf(const task_name& task,
                                                       time_point now) const {
  auto found = orders_.find(task);
  if (found == orders_.end())
    return std::nullopt;
  std::optional<place> only;
  for (const order& each : found->second) {
    if (!each.MayArrive(now))
      continue;
    if (!only)
      only = {each.upstream, true, each.run, each.sent + kMaxOrderDelay};
    if (only->upstream != each.upstream)
      only->upstream = upstream_id();
    only->refused = only->refused && each.refused;
    only->last_run = std::max(only->last_run, each.run);
    only->until = std::max(only->until, each.sent + kMaxOrderDelay);
  }
  return only;
}

void late_starts::ForgetOld(time_point now) {
  while (!recorded_.empty() &&
         now - recorded_.front().first >= kMaxOrderDelay) {
    ForgetOldOf(recorded_.front().second, now);
    recorded_.pop_front();
  }
}

void late_starts::ForgetOldOf(const task_name& task, time_point now) {
  auto found = orders_.find(task);
  if (found == orders_.end())
    return;
  std::erase_if(found->second,
                [now](const order& each) { return !each.MayArrive(now); });
  if (found->second.empty())
    orders_.erase(found);
}

}  // namespace jasminedyke
