// Links between instances on a test's clock.

#ifndef TESTS_FAKES_FAKE_PEERS_H_
#define TESTS_FAKES_FAKE_PEERS_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/protocol.h"

namespace jasminedyke {

class fake_peer_port;

// All ports of a test. Messages take a millisecond and pass through the real
// codec; where ports have a bandwidth, they also wait for what goes before them
// on the sender's link and on the receiver's.
class fake_network {
 public:
  explicit fake_network(scheduler& clock) : clock(clock) {}

  void Connect(fake_peer_port& a, fake_peer_port& b);
  void Disconnect(fake_peer_port& a, fake_peer_port& b);

  scheduler& clock;
  wire_names names;
  uint64_t messages = 0;
  uint64_t bytes = 0;
  // Of each port's own link, each way; 0: as much as wanted.
  double bytes_per_second = 0;
  // Between a message's sending and its arrival, so far.
  duration longest_way = duration::zero();
};

class fake_peer_port : public peer_port {
 public:
  fake_peer_port(fake_network& network, peer_identity self)
      : self(std::move(self)), network_(network) {}

  void SetListener(peer_listener* l) override { listener = l; }
  void SetWanted(const std::map<instance_id, socket_address>& p) override {
    wanted = p;
  }
  void Open(const instance_id& peer, const socket_address&) override {
    opened.insert(peer);
  }
  bool Send(const instance_id& peer, const peer_message& message) override {
    if (frozen_) {
      unsent_.emplace_back(peer, message);
      return true;
    }
    auto found = links.find(peer);
    if (found == links.end())
      return false;
    std::string frame = EncodeFrame(message, network_.names);
    ++network_.messages;
    network_.bytes += frame.size() + 4;
    time_point sent = network_.clock.now();
    fake_peer_port* to = found->second;
    time_point arrival = Pass(frame.size(), &out_free_at_, sent);
    arrival = to->Pass(frame.size(), &to->in_free_at_, arrival);
    arrival += std::chrono::milliseconds(1);
    network_.longest_way = std::max(network_.longest_way, arrival - sent);
    network_.clock.CallAt(arrival, [this, to, frame] { Deliver(to, frame); });
    return true;
  }
  std::optional<peer_identity> Identity(
      const instance_id& peer) const override {
    auto found = links.find(peer);
    if (found == links.end())
      return std::nullopt;
    return found->second->self;
  }
  std::vector<instance_id> peers_up() const override {
    std::vector<instance_id> up;
    for (const auto& [id, port] : links)
      up.push_back(id);
    return up;
  }

  // The process stands still: it reads what has arrived, learns which links
  // have ended and sends its own messages only once it is thawed.
  void Freeze() { frozen_ = true; }
  void Thaw() {
    frozen_ = false;
    for (const auto& event : std::exchange(unread_, {}))
      event();
    for (const auto& [peer, message] : std::exchange(unsent_, {}))
      Send(peer, message);
  }
  bool frozen() const { return frozen_; }
  // This side of the link ends.
  void EndLink(const instance_id& peer) {
    OnceThawed([this, peer] {
      if (links.erase(peer) > 0 && listener)
        listener->OnPeerDown(peer);
    });
  }

  peer_identity self;
  peer_listener* listener = nullptr;
  std::map<instance_id, fake_peer_port*> links;
  std::map<instance_id, socket_address> wanted;
  std::set<instance_id> opened;
  // Of this port's link, if it is not as the others'.
  std::optional<double> bytes_per_second;

 private:
  void Deliver(fake_peer_port* to, const std::string& frame) {
    auto decoded = DecodeFrame(frame, network_.names);
    // What was under way on a link that broke is lost.
    if (!links.contains(to->self.instance) || !decoded.ok())
      return;
    to->OnceThawed([from = self.instance, to,
                    message = std::get<peer_message>(decoded.value())] {
      if (to->listener)
        to->listener->OnPeerMessage(from, message);
    });
  }

  void OnceThawed(std::function<void()> event) {
    if (frozen_)
      unread_.push_back(std::move(event));
    else
      event();
  }

  // When bytes that reach a link at `when` have passed it.
  time_point Pass(size_t bytes, time_point* free_at, time_point when) {
    double bandwidth = bytes_per_second.value_or(network_.bytes_per_second);
    if (bandwidth <= 0)
      return when;
    double seconds = static_cast<double>(bytes) / bandwidth;
    *free_at =
        std::max(*free_at, when) + std::chrono::duration_cast<duration>(
                                       std::chrono::duration<double>(seconds));
    return *free_at;
  }

  fake_network& network_;
  bool frozen_ = false;
  std::vector<std::function<void()>> unread_;
  std::vector<std::pair<instance_id, peer_message>> unsent_;
  // When all that was given to this port's link has passed it.
  time_point out_free_at_;
  time_point in_free_at_;
};

inline void fake_network::Connect(fake_peer_port& a, fake_peer_port& b) {
  a.links[b.self.instance] = &b;
  b.links[a.self.instance] = &a;
  if (a.listener)
    a.listener->OnPeerUp(b.self);
  if (b.listener)
    b.listener->OnPeerUp(a.self);
}

inline void fake_network::Disconnect(fake_peer_port& a, fake_peer_port& b) {
  a.EndLink(b.self.instance);
  b.EndLink(a.self.instance);
}

}  // namespace jasminedyke

#endif  // TESTS_FAKES_FAKE_PEERS_H_
