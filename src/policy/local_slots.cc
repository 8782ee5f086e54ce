#include "policy/local_slots.h"

namespace jasminedyke {

namespace {

constexpr duration kRetryInterval = std::chrono::milliseconds(5);

}  // namespace

static_split_slots::static_split_slots(scheduler& clock,
                                       const upstream_table& upstreams,
                                       slot_host& host)
    : clock_(clock), upstreams_(upstreams), host_(host), retry_(clock) {}

void static_split_slots::SetShare(int rank, int instances) {
  rank_ = rank;
  instances_ = instances;
}

void static_split_slots::OnWorkChanged() {
  for (size_t i = 0; i < upstreams_.local().size(); ++i) {
    const upstream_id& id = upstreams_.local()[i];
    const upstream_state* state = upstreams_.Find(id);
    int share = Share(i, state->info.slots);
    while (host_.waiting_tasks() > 0 && state->in_flight < share &&
           upstreams_.MayStart(id, clock_.now()) &&
           host_.StartOn({.upstream = id})) {
    }
  }
  if (host_.waiting_tasks() > 0 && !retry_.active())
    retry_.StartAfter(kRetryInterval, [this] { OnWorkChanged(); });
}

void static_split_slots::OnAttemptEnded(const released_slot&) {
  OnWorkChanged();
}

void static_split_slots::OnMembershipChanged() {
  OnWorkChanged();
}

// The remainder of an uneven division goes to different instances at different
// upstreams.
int static_split_slots::Share(size_t upstream_number, int slots) const {
  int share = 0;
  for (int slot = 0; slot < slots; ++slot) {
    int owner = (slot + static_cast<int>(upstream_number) * slots) % instances_;
    share += owner == rank_;
  }
  return share;
}

}  // namespace jasminedyke
