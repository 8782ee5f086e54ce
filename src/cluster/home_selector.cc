#include "cluster/home_selector.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// Time for which a peer whose link broke remains a candidate. A broken link is
// often restored at once, and a change of home costs more than this wait.
constexpr duration kLinkGrace = std::chrono::milliseconds(500);

}  // namespace

home_selector::home_selector(scheduler& clock,
                             const peer_identity& self,
                             const peer_port& peers,
                             granted_slots& holder_side,
                             slot_home& home_side)
    : clock_(clock),
      self_(self),
      peers_(peers),
      holder_side_(holder_side),
      home_side_(home_side),
      grace_timer_(clock) {}

void home_selector::OnMembershipChanged(const membership_view& view) {
  view_ = view;
  Choose();
  holder_side_.OnMembershipChanged();
}

void home_selector::OnPeerUp(const instance_id& peer) {
  grace_until_.erase(peer);
  std::erase(peers_leaving_, peer);
  Choose();
  // Messages in flight on the old link are lost, so both sides start over.
  if (peer == home_)
    holder_side_.SetHome(home_);
}

void home_selector::OnPeerDown(const instance_id& peer) {
  home_side_.OnLinkDown(peer);
  grace_until_[peer] = clock_.now() + kLinkGrace;
  grace_timer_.StartAfter(kLinkGrace, [this] { Choose(); });
  if (peer == home_)
    holder_side_.OnHomeUnreachable();
}

void home_selector::OnPeerLeaving(const instance_id& peer) {
  if (std::ranges::find(peers_leaving_, peer) != peers_leaving_.end())
    return;
  peers_leaving_.push_back(peer);
  Choose();
}

void home_selector::Leave() {
  leaving_ = true;
  Choose();
}

std::vector<instance_id> home_selector::Candidates() const {
  std::vector<instance_id> candidates;
  if (!leaving_)
    candidates.push_back(self_.instance);
  for (const instance_info& info : view_.entries(self_.failure_domain)) {
    if (info.id != self_.instance && IsCandidate(info))
      candidates.push_back(info.id);
  }
  return candidates;
}

bool home_selector::IsCandidate(const instance_info& info) const {
  bool leaving =
      std::ranges::find(peers_leaving_, info.id) != peers_leaving_.end();
  if (leaving || info.state != instance_state::kLive)
    return false;
  if (peers_.Identity(info.id))
    return true;
  auto grace = grace_until_.find(info.id);
  return grace != grace_until_.end() && clock_.now() < grace->second;
}

// Sets this instance's share of the slots while there is no home. All listed
// instances have one, including those that are unreachable, as these may be
// starting tasks too.
void home_selector::SetShareWithoutHome() {
  std::vector<instance_info> entries = view_.entries(self_.failure_domain);
  auto own = std::ranges::find(entries, self_.instance, &instance_info::id);
  bool listed = own != entries.end();
  int instances = static_cast<int>(entries.size()) + (listed ? 0 : 1);
  holder_side_.SetShare(static_cast<int>(own - entries.begin()), instances);
}

void home_selector::Choose() {
  std::vector<instance_id> candidates = Candidates();
  // Instances that are stopping, this one included, still hold slots.
  std::vector<instance_id> holders = peers_.peers_up();
  std::erase_if(holders, [&](const instance_id& id) {
    const instance_info* info = view_.Find(id);
    return !info || info->failure_domain != self_.failure_domain;
  });
  holders.push_back(self_.instance);
  home_side_.SetMembership(view_, holders);
  SetShareWithoutHome();
  instance_id chosen = ChooseHome(self_.failure_domain.str(), candidates);
  if (chosen == self_.instance)
    home_side_.Start();
  else
    home_side_.Stop();
  if (chosen == home_)
    return;
  home_ = chosen;
  LogEvent(log_level::kInfo, "home_chosen", {{"home", home_.str()}});
  holder_side_.SetHome(home_);
}

}  // namespace jasminedyke
