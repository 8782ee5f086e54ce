// What the rest of the system sees of the links between entry instances.

#ifndef SRC_PROTOCOL_PEER_PORT_H_
#define SRC_PROTOCOL_PEER_PORT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "http/http.h"
#include "protocol/peer_message.h"

namespace jasminedyke {

// Told of what happens on the links.
class peer_listener {
 public:
  virtual ~peer_listener() = default;

  virtual void OnPeerUp(const peer_identity& peer) = 0;
  virtual void OnPeerDown(const instance_id& peer) = 0;
  virtual void OnPeerMessage(const instance_id& peer,
                             const peer_message& message) = 0;
  // Nobody listens at a wanted peer's address: its process is not running.
  virtual void OnPeerRefused(const instance_id&) {}
};

// Links to other entry instances. Messages on one link arrive in order or,
// from some point on, not at all.
class peer_port {
 public:
  virtual ~peer_port() = default;

  virtual void SetListener(peer_listener* listener) = 0;

  // The peers to keep links to, and where they listen.
  virtual void SetWanted(
      const std::map<instance_id, socket_address>& peers) = 0;

  // Opens a link for once; it is closed when it has been idle for a while.
  virtual void Open(const instance_id& peer, const socket_address& address) = 0;

  // False if there is no link.
  virtual bool Send(const instance_id& peer, const peer_message& message) = 0;

  // Nothing if there is no link.
  virtual std::optional<peer_identity> Identity(
      const instance_id& peer) const = 0;
  virtual std::vector<instance_id> peers_up() const = 0;
};

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_PEER_PORT_H_
