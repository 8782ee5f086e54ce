// All links of this instance to other entry instances.

#ifndef SRC_PROTOCOL_PEER_MESH_H_
#define SRC_PROTOCOL_PEER_MESH_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "http/http.h"
#include "protocol/peer_link.h"
#include "protocol/peer_port.h"

struct evconnlistener;

namespace jasminedyke {

// Listens for peers and connects to the wanted ones. Of each pair the one with
// the lesser id connects, so that there is one link and not two; if it does not
// come, the other one does.
class peer_mesh : public peer_port, public peer_link::owner {
 public:
  // `listens` does.
  peer_mesh(event_loop& loop,
            const peer_link::settings& own,
            server_socket listens,
            const wire_names& names);
  ~peer_mesh() override;

  void SetListener(peer_listener* listener) override { listener_ = listener; }
  void SetWanted(const std::map<instance_id, socket_address>& peers) override;
  void Open(const instance_id& peer, const socket_address& address) override;
  bool Send(const instance_id& peer, const peer_message& message) override;
  std::optional<peer_identity> Identity(const instance_id& peer) const override;
  std::vector<instance_id> peers_up() const override;

  // Accepted links whose other side has yet to prove who it is.
  void SetMostUnproven(size_t most) { most_unproven_ = most; }
  // Beyond its sum the link that holds the most is ended.
  void SetLimits(const link_limits& limits) { own_.limits = limits; }
  const link_limits& limits() const { return own_.limits; }
  size_t held_bytes() const { return held_bytes_; }
  size_t links() const { return links_.size(); }
  uint64_t accept_failures() const { return accept_pause_->failures(); }

  socket_address address() const { return address_; }
  const peer_traffic& traffic() const { return traffic_; }
  // Links that ended, by cause.
  const std::map<link_end, uint64_t>& ends() const { return ends_; }

 private:
  using link_ptr = std::unique_ptr<peer_link>;

  struct listener_deleter {
    void operator()(evconnlistener* listener) const;
  };

  void OnAccept(int socket);
  void Connect(const socket_address& address);
  void Maintain();
  void CloseIdle();
  void Discard(peer_link& link);
  bool IsPreferred(const peer_link& link) const;
  void TellRefused(const peer_link& link);

  void OnEstablished(peer_link& link) override;
  void OnMessage(peer_link& link, const peer_message& message) override;
  void OnEnded(peer_link& link, link_end end) override;
  void OnHeld(size_t added, size_t gone) override;
  void EndLargest();

  event_loop& loop_;
  peer_link::settings own_;
  const wire_names& names_;
  socket_address address_;
  peer_listener* listener_ = nullptr;
  std::unique_ptr<evconnlistener, listener_deleter> socket_;
  std::unique_ptr<accept_pause> accept_pause_;
  size_t most_unproven_ = 64;
  // By all links.
  size_t held_bytes_ = 0;
  std::map<instance_id, socket_address> wanted_;
  // Of wanted peers without a link, since when.
  std::map<instance_id, time_point> missing_since_;
  // Of addresses that are being connected to, when that began.
  std::map<socket_address, time_point> connecting_;
  std::map<peer_link*, link_ptr> links_;
  // Where outgoing links lead.
  std::map<const peer_link*, socket_address> targets_;
  // Established ones; at most one for each peer.
  std::map<instance_id, peer_link*> by_peer_;
  peer_traffic traffic_;
  std::map<link_end, uint64_t> ends_;
  scoped_timer maintain_timer_;
  scoped_timer memory_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_PEER_MESH_H_
