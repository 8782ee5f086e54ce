// Keeps configuration and membership the same on all entry instances that can
// reach each other, with or without the platform.

#ifndef SRC_CLUSTER_DOCUMENT_SYNC_H_
#define SRC_CLUSTER_DOCUMENT_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/base.h"
#include "protocol/protocol.h"
#include "store/store.h"

namespace jasminedyke {

// How many live entry instances are known to have a version in force.
struct in_force_count {
  int in_force = 0;
  int live = 0;
};

// Every peer is told our versions each second and at once when they change;
// whoever is behind asks for the document. So a change costs each instance one
// document, whichever way it comes first. Which instance has which version in
// force is passed on from peer to peer, each piece of news once per link.
class document_sync {
 public:
  document_sync(scheduler& clock,
                peer_port& peers,
                configuration_store& config,
                membership_poller& membership,
                const peer_identity& self);

  void Start();

  // To be called when a document of ours became newer.
  void OnVersionsChanged();
  void OnPeerUp(const instance_id& peer);
  void OnPeerDown(const instance_id& peer);
  void OnStatus(const instance_id& peer, const peer_status& status);
  void OnRequest(const instance_id& peer, const document_request& request);
  void OnDocument(const peer_document& document);

  // Rooms of failure domains go along with the heartbeats: the own one to other
  // domains, theirs to peers of the own domain.
  void SetRoomSource(std::function<int()> own_free_slots);
  void OnRoom(std::function<void(const domain_room&)> handler);

  // Tells the peers that this instance is stopping.
  void AnnounceLeaving();
  bool IsLeaving(const instance_id& peer) const {
    return leaving_.contains(peer);
  }

  in_force_count CountInForce(config_version version) const;

 private:
  struct known_version {
    config_version version;
    // Rises with each piece of news.
    uint64_t news = 0;
  };

  struct asked_peer {
    instance_id peer;
    time_point at;
  };

  void Heartbeat();
  void SendStatus(const instance_id& peer);
  std::vector<domain_room> RoomsFor(const instance_id& peer) const;
  void TakeRooms(const instance_id& peer, const peer_status& status);
  void SendStatusToAll();
  void NoteInForce(const instance_id& instance, config_version version);
  void AskFor(const instance_id& peer, document_kind kind);

  scheduler& clock_;
  peer_port& peers_;
  configuration_store& config_;
  membership_poller& membership_;
  peer_identity self_;
  std::function<int()> own_free_slots_;
  std::function<void(const domain_room&)> on_room_;
  // Heard since the last heartbeat.
  std::map<failure_domain_id, int> rooms_;
  bool announcing_leave_ = false;
  std::set<instance_id> leaving_;
  std::map<instance_id, known_version> in_force_;
  uint64_t last_news_ = 0;
  // The news that each peer has been sent.
  std::map<instance_id, uint64_t> sent_news_;
  std::map<document_kind, asked_peer> asked_;
  scoped_timer heartbeat_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_DOCUMENT_SYNC_H_
