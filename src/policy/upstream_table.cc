#include "policy/upstream_table.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// How long an upstream counts as leaving after it refused a task for that
// reason. The membership list shows it long before this ends; if it does not,
// the upstream has come back.
constexpr duration kLeavingTimeout = std::chrono::seconds(15);
constexpr duration kFirstHoldOff = std::chrono::milliseconds(10);
constexpr duration kMaxHoldOff = std::chrono::milliseconds(160);

}  // namespace

upstream_table::upstream_table(failure_domain_id own_domain)
    : own_domain_(std::move(own_domain)) {}

void upstream_table::SetMembership(const membership_view& view) {
  std::map<upstream_id, upstream_state> states;
  std::vector<upstream_id> ids;
  local_.clear();
  for (const instance_info& info : view.list().instances) {
    if (info.role != instance_role::kUpstream)
      continue;
    upstream_id id(info.id.str());
    auto old = states_.find(id);
    upstream_state state =
        old != states_.end() ? old->second : upstream_state();
    state.id = id;
    state.info = info;
    state.local = info.failure_domain == own_domain_;
    size_t sharers = view.entries(info.failure_domain).size();
    state.connection_share =
        std::max(1, info.connections / std::max(1, static_cast<int>(sharers)));
    if (state.local)
      local_.push_back(id);
    ids.push_back(id);
    states.emplace(id, std::move(state));
  }
  states_ = std::move(states);
  health_.SetUpstreams(ids);
}

bool upstream_table::HasRoom(const upstream_id& id, time_point now) const {
  const upstream_state* state = Find(id);
  if (!state || state->info.state != instance_state::kLive)
    return false;
  if (now < state->leaving_until)
    return false;
  int limit = std::min(state->info.slots, state->connection_share);
  return state->in_flight < limit;
}

bool upstream_table::MayStart(const upstream_id& id, time_point now) const {
  return HasRoom(id, now) && now >= Find(id)->hold_off_until &&
         health_.MayReceive(id, now);
}

void upstream_table::RecordStart(const upstream_id& id, time_point now) {
  auto found = states_.find(id);
  if (found == states_.end())
    return;
  ++found->second.in_flight;
  health_.RecordStart(id, now);
}

void upstream_table::RecordEnd(const released_slot& slot, time_point now) {
  auto found = states_.find(slot.upstream);
  if (found == states_.end())
    return;
  upstream_state& state = found->second;
  // The count restarts at zero when an upstream leaves the list and returns,
  // while attempts from before may still end.
  state.in_flight = std::max(0, state.in_flight - 1);
  if (slot.result == slot_result::kLeaving) {
    state.leaving_until = now + kLeavingTimeout;
  } else if (slot.result == slot_result::kFull) {
    state.hold_off = state.hold_off == duration::zero()
                         ? kFirstHoldOff
                         : std::min(state.hold_off * 2, kMaxHoldOff);
    state.hold_off_until = now + state.hold_off;
  } else {
    state.hold_off = duration::zero();
  }
  health_.Record(slot, now);
}

const upstream_state* upstream_table::Find(const upstream_id& id) const {
  auto found = states_.find(id);
  return found == states_.end() ? nullptr : &found->second;
}

int upstream_table::largest_memory_mb() const {
  int largest = 0;
  for (const auto& [id, state] : states_)
    largest = std::max(largest, state.info.memory_mb);
  return largest;
}

int upstream_table::usable_local_slots(time_point now) const {
  int slots = 0;
  for (const upstream_id& id : local_) {
    const upstream_state& state = states_.at(id);
    bool usable = state.info.state == instance_state::kLive &&
                  now >= state.leaving_until && health_.MayReceive(id, now);
    if (usable)
      slots += state.info.slots;
  }
  return slots;
}

}  // namespace jasminedyke
