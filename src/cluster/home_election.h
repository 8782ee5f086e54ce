// Which entry instance is home to a group of upstreams.

#ifndef SRC_CLUSTER_HOME_ELECTION_H_
#define SRC_CLUSTER_HOME_ELECTION_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/base.h"
#include "protocol/protocol.h"
#include "runs/runs.h"
#include "store/store.h"

namespace jasminedyke {

// An entry instance as it registers itself in the store.
struct entry_member {
  instance_id instance;
  incarnation_id incarnation;
  failure_domain_id domain;
  socket_address peers;
  // Processor share; homes go to strong instances first.
  double weight = 1;

  bool operator==(const entry_member&) const = default;
};

// One row of the store names the home and is renewed by it. Whoever takes it
// over does so by compare-and-set, and the row's new version is the fencing
// token: versions rise through one counter, so the latest home has the highest
// token, and upstreams do nothing for an earlier one that still lives.
//
// A home stays while it lives, but yields to a much stronger instance, as all
// orders to the group's upstreams pass through it. It is replaced at once if it
// released the row or its process is known to be gone, and otherwise when the
// row was not renewed. While the store is away, the first candidate that still
// sees half of the instances takes over with the next token.
class home_election {
 public:
  struct events {
    std::function<void(fencing_token)> on_begin;
    std::function<void()> on_end;
  };

  home_election(scheduler& clock,
                table_service& store,
                const home_directory& homes,
                const home_group& group,
                const entry_member& self,
                events told);

  // All registered entry instances.
  void SetMembers(const std::map<instance_id, entry_member>& members);
  void OnPeerUp(const peer_identity& peer);
  void OnPeerDown(const instance_id& peer);
  // Its process is not running.
  void OnPeerRefused(const instance_id& peer);
  void OnPeerLeaving(const instance_id& peer);
  void OnHomesChanged();
  // An upstream has seen a higher token than ours.
  void OnFenced();
  // This instance is stopping: gives the row back and takes no other.
  void Leave();

  bool holding() const { return holding_; }
  // Waits for a stronger instance to take over.
  bool yielding() const { return holding_ && yielding_; }

 private:
  struct home_row {
    instance_id holder;
    incarnation_id incarnation;
    bool released = false;
  };

  static std::optional<home_row> ParseRow(const nlohmann::json& value);
  nlohmann::json OwnRow(bool released) const;

  void Tick();
  void Watch();
  void Hold();
  // The position of this instance among the candidates, best first.
  int OwnRank() const;
  bool SeesHalf() const;
  bool SeesStronger() const;
  bool IsMuchStrongerThan(const instance_id& other) const;
  bool MayTake(const home_row& row, uint64_t version);
  // The process that wrote the row has ended or is leaving: nothing listens at
  // its address, or it said so, or another process runs in its place.
  bool HasEnded(const home_row& row) const;
  void OnRowRead(time_point asked, const outcome<table_row, store_error>& row);
  // `anew`: another home may have served the group since we began.
  void TakeOver(uint64_t expected_version, bool anew);
  void TakeOverWithoutStore();
  fencing_token TokenWithoutStore(fencing_token highest) const;
  void Renew();
  void OnRenewed(const outcome<std::vector<uint64_t>, store_error>& result);
  void CheckRow();
  void Begin(fencing_token token, const char* how, bool anew);
  void End(const char* why);

  scheduler& clock_;
  table_service& store_;
  const home_directory& homes_;
  home_group group_;
  entry_member self_;
  events events_;
  std::map<instance_id, entry_member> members_;
  // With when the link came up.
  std::map<instance_id, time_point> peers_up_;
  // Of each peer that ever had a link, the newest known.
  std::map<instance_id, incarnation_id> incarnations_;
  std::set<instance_id> refused_;
  std::set<instance_id> leaving_peers_;
  bool holding_ = false;
  bool leaving_ = false;
  // The row says that it may be taken.
  bool released_ = false;
  bool yielding_ = false;
  // The row's newest version is unknown; it must be read before a write.
  bool row_unsure_ = false;
  bool call_in_flight_ = false;
  fencing_token token_;
  // While holding: of the row as last written.
  uint64_t row_version_ = 0;
  // While watching: the row as last read, and since when it is unchanged.
  uint64_t seen_version_ = 0;
  time_point seen_since_;
  std::optional<time_point> without_home_since_;
  std::optional<time_point> store_away_since_;
  time_point last_renewal_;
  scoped_timer tick_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_HOME_ELECTION_H_
