#include "cluster/routing_sync.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// A peer's answer is awaited for so long. One that is frozen or cut off is
// known sooner, as its link ends; on a full link answers take long, and asking
// another peer would begin anew.
constexpr duration kAnswerTime = std::chrono::milliseconds(1500);
// A peer that did not answer is passed over for so long.
constexpr duration kSilentPause = std::chrono::seconds(2);
constexpr duration kBusyPause = std::chrono::milliseconds(100);
// Peers that are sent changes of several pieces at the same time. With more the
// last of them would wait for all.
constexpr size_t kMostTransfers = 4;
// A peer that asks for no further piece for so long has given up.
constexpr duration kIdleTransfer = std::chrono::seconds(1);

// What was received and what comes next, as one.
void Append(routing_update* to, const routing_update& from) {
  if (to->to.version != from.to.version) {
    *to = from;
    return;
  }
  to->to.routes.insert(to->to.routes.end(), from.to.routes.begin(),
                       from.to.routes.end());
  to->removed.insert(to->removed.end(), from.removed.begin(),
                     from.removed.end());
}

}  // namespace

routing_sync::routing_sync(scheduler& clock,
                           peer_port& peers,
                           const peer_identity& self,
                           route_table& routes,
                           update_handler on_update)
    : clock_(clock),
      peers_(peers),
      self_(self),
      routes_(routes),
      on_update_(std::move(on_update)),
      fetch_timer_(clock) {}

void routing_sync::OnStatus(const instance_id& peer, config_version version) {
  versions_[peer] = version;
  if (version <= routes_.version())
    return;
  newer_since_.try_emplace(version, clock_.now());
  FetchIfBehind();
}

void routing_sync::OnPeerDown(const instance_id& peer) {
  versions_.erase(peer);
  passed_over_until_.erase(peer);
  transfers_.erase(peer);
  if (!fetch_ || fetch_->from != peer)
    return;
  fetch_.reset();
  FetchIfBehind();
}

void routing_sync::OnOwnVersion() {
  std::erase_if(newer_since_, [this](const auto& entry) {
    return entry.first <= routes_.version();
  });
  if (fetch_ && IsOvertaken(*fetch_))
    fetch_.reset();
  FetchIfBehind();
}

// What comes is of no use any more.
bool routing_sync::IsOvertaken(const fetch& current) const {
  bool has_begun = current.next_piece > 0;
  return newer_since_.empty() ||
         (has_begun && current.received.to.version <= routes_.version());
}

duration routing_sync::behind() const {
  return newer_since_.empty() ? duration::zero()
                              : clock_.now() - newer_since_.begin()->second;
}

duration routing_sync::stalled() const {
  if (newer_since_.empty())
    return duration::zero();
  return clock_.now() - std::max(newer_since_.begin()->second, last_piece_at_);
}

void routing_sync::FetchIfBehind() {
  if (fetch_)
    return;
  fetch_timer_.Stop();
  if (newer_since_.empty())
    return;
  if (auto peer = ChoosePeer()) {
    Ask(*peer, routes_.version());
    return;
  }
  // All that have it are passed over, or it was told by one that is gone.
  fetch_timer_.StartAfter(kBusyPause, [this] { FetchIfBehind(); });
}

// Own failure domain first, as its links are short; within it each instance
// prefers another peer, so that they don't all ask the first one that knows.
std::optional<instance_id> routing_sync::ChoosePeer() const {
  std::vector<instance_id> near;
  std::vector<instance_id> far;
  for (const auto& [peer, version] : versions_) {
    if (version <= routes_.version())
      continue;
    auto passed_over = passed_over_until_.find(peer);
    if (passed_over != passed_over_until_.end() &&
        clock_.now() < passed_over->second)
      continue;
    auto identity = peers_.Identity(peer);
    if (!identity)
      continue;
    bool is_near = identity->failure_domain == self_.failure_domain;
    (is_near ? near : far).push_back(peer);
  }
  const std::vector<instance_id>& best = near.empty() ? far : near;
  if (best.empty())
    return std::nullopt;
  return *std::ranges::max_element(best, {}, [this](const instance_id& peer) {
    return StableHash(self_.instance.str() + '/' + peer.str());
  });
}

void routing_sync::Ask(const instance_id& peer, config_version base) {
  fetch_ = fetch{peer, base, {}, 0};
  ++metrics_.requests;
  AskForPiece();
}

void routing_sync::AskForPiece() {
  document_request request;
  request.have = fetch_->base;
  request.piece = fetch_->next_piece;
  peers_.Send(fetch_->from, request);
  fetch_timer_.StartAfter(kAnswerTime, [this] {
    ++metrics_.timeouts;
    LogEvent(log_level::kWarning, "configuration_peer_silent",
             {{"peer", fetch_->from.str()}, {"piece", fetch_->next_piece}});
    PassOver(kSilentPause);
  });
}

// Asks another peer than the one that was asked.
void routing_sync::PassOver(duration pause) {
  passed_over_until_[fetch_->from] = clock_.now() + pause;
  fetch_.reset();
  FetchIfBehind();
}

void routing_sync::OnPiece(const instance_id& peer,
                           const routing_piece& piece) {
  if (!fetch_ || fetch_->from != peer)
    return;
  if (piece.busy) {
    ++metrics_.refusals;
    PassOver(kBusyPause);
    return;
  }
  // The peer may have begun anew with a later version.
  if (piece.number != fetch_->next_piece && piece.number != 0)
    return;
  last_piece_at_ = clock_.now();
  if (piece.number == 0)
    fetch_->received = {};
  Append(&fetch_->received, piece.update);
  fetch_->next_piece = piece.number + 1;
  if (piece.last)
    Finish();
  else
    AskForPiece();
}

void routing_sync::Finish() {
  fetch done = std::move(*fetch_);
  fetch_.reset();
  fetch_timer_.Stop();
  update_outcome result = routes_.Apply(done.received);
  if (result == update_outcome::kMismatch) {
    // A change was undone between versions that one of the two did not see.
    ++metrics_.mismatches;
    LogEvent(log_level::kInfo, "configuration_mismatch",
             {{"peer", done.from.str()},
              {"version", done.received.to.version.value()},
              {"own_version", routes_.version().value()}});
    Ask(done.from, config_version());
    return;
  }
  if (result == update_outcome::kApplied) {
    ++metrics_.updates;
    on_update_(done.from);
  } else {
    // It told of a newer version and does not have it.
    passed_over_until_[done.from] = clock_.now() + kBusyPause;
  }
  OnOwnVersion();
}

void routing_sync::OnRequest(const instance_id& peer,
                             const document_request& request) {
  if (!routes_.known() || !request.have)
    return;
  auto found = transfers_.find(peer);
  bool goes_on = request.piece > 0 && found != transfers_.end() &&
                 found->second.base == *request.have &&
                 request.piece < found->second.pieces->size();
  uint32_t number = goes_on ? request.piece : 0;
  auto pieces = goes_on ? found->second.pieces : PiecesSince(*request.have);
  bool has_more = number + 1 < pieces->size();
  if (!goes_on && has_more && found == transfers_.end()) {
    DropIdleTransfers();
    if (transfers_.size() >= kMostTransfers) {
      routing_piece busy;
      busy.busy = true;
      peers_.Send(peer, busy);
      return;
    }
  }
  if (has_more)
    transfers_[peer] = {*request.have, pieces, clock_.now()};
  else
    transfers_.erase(peer);
  ++metrics_.pieces;
  peers_.Send(peer, (*pieces)[number]);
}

void routing_sync::DropIdleTransfers() {
  std::erase_if(transfers_, [this](const auto& entry) {
    return clock_.now() - entry.second.last_request >= kIdleTransfer;
  });
}

std::shared_ptr<const routing_sync::piece_list> routing_sync::PiecesSince(
    config_version base) {
  bool is_cached =
      cached_ && cached_base_ == base && cached_version_ == routes_.version();
  if (is_cached)
    return cached_;
  cached_base_ = base;
  cached_version_ = routes_.version();
  cached_ = std::make_shared<const piece_list>(
      SplitIntoPieces(routes_.ChangesSince(base)));
  return cached_;
}

}  // namespace jasminedyke
