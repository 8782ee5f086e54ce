#include "policy/spill_slots.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// Announced free slots expire after this time.
constexpr duration kRoomExpiry = std::chrono::seconds(3);
// Every entry instance of every other domain hears of the same free slots, so
// each uses only one part in this many.
constexpr int kRoomDivisor = 4;
// Maximum number of this instance's tasks on one upstream of another domain.
constexpr int kMaxTasksPerUpstream = 2;

}  // namespace

spill_slots::spill_slots(scheduler& clock,
                         const upstream_table& upstreams,
                         slot_host& host,
                         uint64_t seed)
    : clock_(clock), upstreams_(upstreams), host_(host), random_(seed) {}

void spill_slots::SetRoom(const domain_room& room) {
  rooms_[room.domain] = {(room.free_slots + kRoomDivisor - 1) / kRoomDivisor,
                         clock_.now()};
}

void spill_slots::OnWorkChanged() {
  if (rooms_.empty() || host_.waiting_tasks() == 0 || FitLocalSlots() > 0)
    return;
  while (host_.waiting_tasks() > 0 && StartInOtherDomain()) {
  }
}

void spill_slots::OnAttemptEnded(const released_slot& slot) {
  const upstream_state* state = upstreams_.Find(slot.upstream);
  if (!state || state->local)
    return;
  announced_room& room = rooms_[state->info.failure_domain];
  if (slot.result == slot_result::kAnswered)
    ++room.left;
  else
    room.left = 0;
}

bool spill_slots::OnlyOtherDomainsCanServe() const {
  bool room = std::ranges::any_of(rooms_, [&](const auto& entry) {
    return IsFresh(entry.second) && entry.second.left > 0;
  });
  return room && FitLocalSlots() == 0;
}

bool spill_slots::IsFresh(const announced_room& room) const {
  return clock_.now() - room.updated <= kRoomExpiry;
}

int spill_slots::FitLocalSlots() const {
  int slots = 0;
  for (const upstream_id& id : upstreams_.local()) {
    const upstream_state* state = upstreams_.Find(id);
    bool fit =
        state->info.state == instance_state::kLive &&
        upstreams_.health().verdict(id, clock_.now()) == health_verdict::kFit;
    slots += fit ? state->info.slots : 0;
  }
  return slots;
}

bool spill_slots::StartInOtherDomain() {
  for (auto& [domain, room] : rooms_) {
    if (room.left <= 0 || !IsFresh(room))
      continue;
    std::vector<const upstream_state*> usable = UsableUpstreams(domain);
    if (usable.empty())
      continue;
    std::uniform_int_distribution<size_t> pick(0, usable.size() - 1);
    if (!host_.StartOn({.upstream = usable[pick(random_)]->id}))
      return false;
    --room.left;
    return true;
  }
  return false;
}

std::vector<const upstream_state*> spill_slots::UsableUpstreams(
    const failure_domain_id& domain) const {
  std::vector<const upstream_state*> usable;
  for (const auto& [id, state] : upstreams_.all()) {
    if (state.info.failure_domain == domain &&
        state.in_flight < kMaxTasksPerUpstream &&
        upstreams_.MayStart(id, clock_.now()))
      usable.push_back(&state);
  }
  return usable;
}

}  // namespace jasminedyke
