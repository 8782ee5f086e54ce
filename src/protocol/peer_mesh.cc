#include "protocol/peer_mesh.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminedyke {

namespace {

constexpr duration kMaintainEvery = std::chrono::milliseconds(250);
// After that the greater id connects too: a peer that restarted out of the
// store's reach knows nobody whom it could connect to.
constexpr duration kOtherSideTime = std::chrono::milliseconds(500);
constexpr duration kConnectAgainAfter = std::chrono::milliseconds(1000);
// A link that is not wanted is closed when it was not used for so long.
constexpr duration kIdleLimit = std::chrono::seconds(30);

sockaddr_in ToSockaddr(const socket_address& address) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
  return to;
}

}  // namespace

void peer_mesh::listener_deleter::operator()(evconnlistener* listener) const {
  evconnlistener_free(listener);
}

peer_mesh::peer_mesh(event_loop& loop,
                     const peer_link::settings& own,
                     server_socket listens,
                     const wire_names& names)
    : loop_(loop),
      own_(own),
      names_(names),
      address_(listens.address()),
      maintain_timer_(loop),
      memory_timer_(loop) {
  socket_.reset(evconnlistener_new(
      loop.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<peer_mesh*>(self)->OnAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0,
      listens.Release()));
  if (!socket_)
    throw std::runtime_error("can't accept peers");
  accept_pause_ =
      std::make_unique<accept_pause>(loop, socket_.get(), address_.ToString());
  Maintain();
}

// Links tell of what they give back.
peer_mesh::~peer_mesh() {
  links_.clear();
}

void peer_mesh::SetWanted(const std::map<instance_id, socket_address>& peers) {
  wanted_ = peers;
  wanted_.erase(own_.self.instance);
  Maintain();
}

void peer_mesh::Open(const instance_id& peer, const socket_address& address) {
  if (!by_peer_.contains(peer))
    Connect(address);
}

bool peer_mesh::Send(const instance_id& peer, const peer_message& message) {
  auto found = by_peer_.find(peer);
  if (found == by_peer_.end())
    return false;
  found->second->Send(message);
  return true;
}

std::optional<peer_identity> peer_mesh::Identity(
    const instance_id& peer) const {
  auto found = by_peer_.find(peer);
  if (found == by_peer_.end())
    return std::nullopt;
  return found->second->peer();
}

std::vector<instance_id> peer_mesh::peers_up() const {
  std::vector<instance_id> up;
  for (const auto& [peer, link] : by_peer_)
    up.push_back(peer);
  return up;
}

void peer_mesh::OnAccept(int socket) {
  // Strangers must not take all our descriptors.
  if (links_.size() - by_peer_.size() >= most_unproven_) {
    evutil_closesocket(socket);
    ++ends_[link_end::kUnauthorized];
    return;
  }
  int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent* connection =
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  auto link = std::make_unique<peer_link>(loop_, own_, names_, connection,
                                          false, *this, traffic_);
  peer_link* key = link.get();
  links_.emplace(key, std::move(link));
}

void peer_mesh::Connect(const socket_address& address) {
  auto [entry, is_new] = connecting_.try_emplace(address, loop_.now());
  if (!is_new && loop_.now() - entry->second < kConnectAgainAfter)
    return;
  entry->second = loop_.now();
  bufferevent* connection = bufferevent_socket_new(
      loop_.base(), MakeOutgoingSocket(), BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in to = ToSockaddr(address);
  auto link = std::make_unique<peer_link>(loop_, own_, names_, connection, true,
                                          *this, traffic_);
  peer_link* key = link.get();
  links_.emplace(key, std::move(link));
  targets_.emplace(key, address);
  bufferevent_socket_connect(connection, reinterpret_cast<sockaddr*>(&to),
                             sizeof(to));
}

void peer_mesh::Maintain() {
  for (const auto& [peer, address] : wanted_) {
    if (by_peer_.contains(peer)) {
      missing_since_.erase(peer);
      continue;
    }
    time_point since =
        missing_since_.try_emplace(peer, loop_.now()).first->second;
    bool ours_to_connect =
        own_.self.instance < peer || loop_.now() - since >= kOtherSideTime;
    if (ours_to_connect)
      Connect(address);
  }
  std::erase_if(missing_since_, [&](const auto& entry) {
    return !wanted_.contains(entry.first);
  });
  CloseIdle();
  maintain_timer_.StartAfter(kMaintainEvery, [this] { Maintain(); });
}

void peer_mesh::CloseIdle() {
  std::vector<peer_link*> idle;
  for (const auto& [peer, link] : by_peer_) {
    bool unused = loop_.now() - link->last_use() > kIdleLimit;
    // The other side may want it: then it is the one to have connected.
    if (unused && !wanted_.contains(peer) && own_.self.instance < peer)
      idle.push_back(link);
  }
  for (peer_link* link : idle)
    OnEnded(*link, link_end::kClosed);
}

// From a timer, since the link may be in the middle of a call.
void peer_mesh::Discard(peer_link& link) {
  auto found = links_.find(&link);
  if (found == links_.end())
    return;
  link.Forget();
  auto doomed = std::make_shared<link_ptr>(std::move(found->second));
  links_.erase(found);
  targets_.erase(&link);
  loop_.CallAfter(duration::zero(), [doomed] { doomed->reset(); });
}

// Both sides may have connected at once. Were each to keep the link that came
// last, they could keep different ones and close both, again and again; so both
// keep the one that the lesser id opened.
bool peer_mesh::IsPreferred(const peer_link& link) const {
  return link.outgoing() == (own_.self.instance < link.peer().instance);
}

void peer_mesh::OnEstablished(peer_link& link) {
  const instance_id& peer = link.peer().instance;
  auto old = by_peer_.find(peer);
  if (old != by_peer_.end()) {
    bool same_incarnation = old->second->peer() == link.peer();
    if (same_incarnation && !IsPreferred(link)) {
      OnEnded(link, link_end::kClosed);
      return;
    }
    OnEnded(*old->second, link_end::kClosed);
  }
  by_peer_[peer] = &link;
  LogEvent(
      log_level::kInfo, "peer_up",
      {{"peer", peer.str()}, {"incarnation", link.peer().incarnation.str()}});
  if (listener_)
    listener_->OnPeerUp(link.peer());
}

void peer_mesh::OnMessage(peer_link& link, const peer_message& message) {
  auto found = by_peer_.find(link.peer().instance);
  bool current = found != by_peer_.end() && found->second == &link;
  if (current && listener_)
    listener_->OnPeerMessage(link.peer().instance, message);
}

void peer_mesh::OnEnded(peer_link& link, link_end end) {
  ++ends_[end];
  instance_id peer = link.peer().instance;
  auto found = by_peer_.find(peer);
  bool current = found != by_peer_.end() && found->second == &link;
  if (end == link_end::kRefused)
    TellRefused(link);
  Discard(link);
  bool was_no_link = peer.empty() && end == link_end::kTimeout;
  if (end != link_end::kClosed && end != link_end::kRefused && !was_no_link)
    LogEvent(log_level::kWarning, "peer_link_ended",
             {{"peer", peer.str()}, {"cause", ToString(end)}});
  if (!current)
    return;
  by_peer_.erase(found);
  LogEvent(log_level::kInfo, "peer_down",
           {{"peer", peer.str()}, {"cause", ToString(end)}});
  if (listener_)
    listener_->OnPeerDown(peer);
  // At once, and from either side: a refused connection shows that the process
  // is gone, long before a silence would.
  auto wanted = wanted_.find(peer);
  if (end == link_end::kClosed && wanted != wanted_.end())
    Connect(wanted->second);
}

// Later, as the link is amid a call.
void peer_mesh::OnHeld(size_t added, size_t gone) {
  held_bytes_ += added;
  held_bytes_ -= gone;
  size_t most = own_.limits.max_held;
  if (most > 0 && held_bytes_ > most && !memory_timer_.active())
    memory_timer_.StartAfter(duration::zero(), [this] { EndLargest(); });
}

// Others must not suffer for a peer that reads nothing or sends too much. What
// was on its way is made up for as after any other end of a link.
void peer_mesh::EndLargest() {
  while (held_bytes_ > own_.limits.max_held && !links_.empty()) {
    auto largest = std::ranges::max_element(
        links_, {}, [](const auto& each) { return each.first->held(); });
    peer_link* link = largest->first;
    LogEvent(log_level::kWarning, "peer_memory_full",
             {{"peer", link->peer().instance.str()},
              {"link_bytes", std::to_string(link->held())},
              {"all_bytes", std::to_string(held_bytes_)},
              {"most", std::to_string(own_.limits.max_held)}});
    link->End(link_end::kMemory);
  }
}

void peer_mesh::TellRefused(const peer_link& link) {
  auto target = targets_.find(&link);
  if (target == targets_.end() || !listener_)
    return;
  for (const auto& [peer, address] : wanted_) {
    if (address == target->second && !by_peer_.contains(peer)) {
      listener_->OnPeerRefused(peer);
      return;
    }
  }
}

}  // namespace jasminedyke
