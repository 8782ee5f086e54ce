// Keeps the routes the same on all instances that can reach each other, at a
// cost that follows what changed and not how much there is.

#ifndef SRC_CLUSTER_ROUTING_SYNC_H_
#define SRC_CLUSTER_ROUTING_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"
#include "protocol/protocol.h"

namespace jasminedyke {

struct routing_sync_metrics {
  // For changes, sent to peers.
  uint64_t requests = 0;
  // Changes that came whole and were taken.
  uint64_t updates = 0;
  // Peers that did not answer in time, or serve too many others.
  uint64_t timeouts = 0;
  uint64_t refusals = 0;
  // Changes that did not fit, so that all was asked for.
  uint64_t mismatches = 0;
  // Pieces sent to peers.
  uint64_t pieces = 0;
};

// Heartbeats tell the peers' versions. Whoever is behind asks one peer for what
// changed since its own version, gets it in pieces, and asks for a piece only
// when it has the one before: so no link holds more than a piece of it, and
// what is urgent waits no longer than that. A peer that does not answer or
// serves others already is passed over for a while.
class routing_sync {
 public:
  // A peer's changes are in force.
  using update_handler = std::function<void(const instance_id& from)>;

  routing_sync(scheduler& clock,
               peer_port& peers,
               const peer_identity& self,
               route_table& routes,
               update_handler on_update);

  void OnStatus(const instance_id& peer, config_version version);
  void OnPeerDown(const instance_id& peer);
  void OnRequest(const instance_id& peer, const document_request& request);
  void OnPiece(const instance_id& peer, const routing_piece& piece);

  // The routes became newer without a peer's help.
  void OnOwnVersion();

  // How long a newer version has been known to be in force elsewhere.
  duration behind() const;
  // How long of that no peer has sent anything of it.
  duration stalled() const;
  const routing_sync_metrics& metrics() const { return metrics_; }

 private:
  using piece_list = std::vector<routing_piece>;

  // What this instance is getting.
  struct fetch {
    instance_id from;
    config_version base;
    // All pieces so far, as one.
    routing_update received;
    uint32_t next_piece = 0;
  };

  // What a peer is getting from this instance.
  struct transfer {
    config_version base;
    std::shared_ptr<const piece_list> pieces;
    time_point last_request;
  };

  bool IsOvertaken(const fetch& current) const;
  void FetchIfBehind();
  std::optional<instance_id> ChoosePeer() const;
  void Ask(const instance_id& peer, config_version base);
  void AskForPiece();
  void PassOver(duration pause);
  void Finish();
  std::shared_ptr<const piece_list> PiecesSince(config_version base);
  void DropIdleTransfers();

  scheduler& clock_;
  peer_port& peers_;
  peer_identity self_;
  route_table& routes_;
  update_handler on_update_;
  // Of linked peers, as they told last.
  std::map<instance_id, config_version> versions_;
  // Peers that are not asked until then.
  std::map<instance_id, time_point> passed_over_until_;
  // Versions in force elsewhere and not here, with when that was heard first.
  std::map<config_version, time_point> newer_since_;
  std::optional<fetch> fetch_;
  time_point last_piece_at_;
  std::map<instance_id, transfer> transfers_;
  // The changes that were last asked for, as many peers want the same.
  config_version cached_base_;
  config_version cached_version_;
  std::shared_ptr<const piece_list> cached_;
  routing_sync_metrics metrics_;
  scoped_timer fetch_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_ROUTING_SYNC_H_
