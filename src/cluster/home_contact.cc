#include "cluster/home_contact.h"

namespace jasminedyke {

namespace {

// Silence after which links end, and with them what was on its way.
constexpr duration kMaxGap = std::chrono::seconds(1);
// Registrations of upstreams that appeared since the contact was lost lapse
// 4.5 s after that at the earliest.
constexpr duration kMaxAge = std::chrono::seconds(4);

}  // namespace

void home_contact::OnList() {
  status_at_ = clock_.boot_now();
  current_at_ = status_at_;
  steady_since_ = kLongAgo;
}

void home_contact::OnStatus() {
  time_point now = clock_.boot_now();
  if (now - status_at_ > kMaxGap)
    steady_since_ = now;
  status_at_ = now;
  if (now - steady_since_ > kMaxGap)
    current_at_ = now;
}

bool home_contact::IsRecent() const {
  return clock_.boot_now() - current_at_ <= kMaxAge;
}

}  // namespace jasminedyke
