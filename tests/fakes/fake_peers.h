// Links between instances on a test's clock.

#ifndef TESTS_FAKES_FAKE_PEERS_H_
#define TESTS_FAKES_FAKE_PEERS_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "protocol/protocol.h"

namespace jasminedyke {

class fake_peer_port;

// All ports of a test. Messages take a millisecond and pass through the real
// codec.
class fake_network {
 public:
  explicit fake_network(scheduler& clock) : clock(clock) {}

  void Connect(fake_peer_port& a, fake_peer_port& b);
  void Disconnect(fake_peer_port& a, fake_peer_port& b);

  scheduler& clock;
  wire_names names;
  uint64_t messages = 0;
  uint64_t bytes = 0;
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
    auto found = links.find(peer);
    if (found == links.end())
      return false;
    std::string frame = EncodeFrame(message, network_.names);
    ++network_.messages;
    network_.bytes += frame.size() + 4;
    network_.clock.CallAfter(
        std::chrono::milliseconds(1),
        [this, to = found->second, frame] { Deliver(to, frame); });
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

  peer_identity self;
  peer_listener* listener = nullptr;
  std::map<instance_id, fake_peer_port*> links;
  std::map<instance_id, socket_address> wanted;
  std::set<instance_id> opened;

 private:
  void Deliver(fake_peer_port* to, const std::string& frame) {
    auto decoded = DecodeFrame(frame, network_.names);
    // What was under way on a link that broke is lost.
    if (!links.contains(to->self.instance) || !to->listener || !decoded.ok())
      return;
    to->listener->OnPeerMessage(self.instance,
                                std::get<peer_message>(decoded.value()));
  }

  fake_network& network_;
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
  if (a.links.erase(b.self.instance) > 0 && a.listener)
    a.listener->OnPeerDown(b.self.instance);
  if (b.links.erase(a.self.instance) > 0 && b.listener)
    b.listener->OnPeerDown(a.self.instance);
}

}  // namespace jasminedyke

#endif  // TESTS_FAKES_FAKE_PEERS_H_
