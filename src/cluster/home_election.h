// Election of the entry instance that is home to a group of upstreams.

#ifndef SRC_CLUSTER_HOME_ELECTION_H_
#define SRC_CLUSTER_HOME_ELECTION_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/base.h"
#include "base/growing_pause.h"
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
  // Share of a processor; instances with a higher weight are preferred as
  // homes.
  double weight = 1;

  bool operator==(const entry_member&) const = default;
};

// One row of the store names the home, which renews it. A successor takes the
// row over by compare-and-set, and the fencing token is derived from the row's
// new version. Versions come from one increasing counter, so the latest home
// has the highest token, and upstreams reject requests of an earlier home that
// is still running.
//
// A home keeps its token for as long as it serves, whatever it reads from the
// store or writes there. What an upstream has told it proves that no home with
// a lower token can act there any more, and says nothing of homes with higher
// tokens: with a new token a home would overtake those that had replaced it,
// without knowing what they have started. An unchanged row proves nothing, as
// homes that begin without the store do not write it. So a home with a higher
// token always ends this one, by its status, by an upstream that refuses the
// lower token, or by an instance that knows the higher one.
//
// A home keeps its role while it is alive, but yields to an instance with a
// much higher weight, as all requests to the group's upstreams pass through
// it. It is replaced at once if it released the row or its process is known to
// have ended, and otherwise when the row has not been renewed in time. While
// the store is silent, the first candidate that knows the latest token and the
// upstreams and is connected to at least half of the instances takes over with
// the next token. Instances that can't do so yet keep no other one waiting.
class home_election {
 public:
  struct event_handlers {
    std::function<void(fencing_token)> on_begin;
    std::function<void()> on_end;
    // Returns whether this instance knows upstreams of the group.
    std::function<bool()> knows_upstreams;
  };

  home_election(scheduler& clock,
                store_watch& store,
                const home_directory& homes,
                const home_group& group,
                const entry_member& self,
                event_handlers handlers);

  // Sets all registered entry instances.
  void SetMembers(const std::map<instance_id, entry_member>& members);
  void OnPeerUp(const peer_identity& peer);
  void OnPeerDown(const instance_id& peer);
  // The peer refused the connection: its process is not running.
  void OnPeerRefused(const instance_id& peer);
  void OnPeerLeaving(const instance_id& peer);
  // The peer has told whether it could begin without the store.
  void OnPeerCanBegin(const instance_id& peer, bool can_begin);
  // A peer has told the latest token of the group that it knows. A home with a
  // lower one ends.
  void OnTokenKnown(fencing_token token);
  void OnHomesChanged();
  // An upstream rejected this home's token because it has a higher one.
  void OnFenced();
  // Releases the row and never takes it again, as this instance is stopping.
  void Leave();

  // Whether this instance knows what a home needs to begin without the store.
  bool CanBeginWithoutStore() const;
  // The latest token of the group that this instance knows; 0 if there is none.
  fencing_token KnownToken() const;
  bool holding() const { return holding_; }
  // Whether this home is waiting for a stronger instance to take over.
  bool yielding() const { return holding_ && yielding_; }

 private:
  struct home_row {
    instance_id holder;
    incarnation_id incarnation;
    bool released = false;
  };

  // A process of another instance.
  struct peer_process {
    incarnation_id incarnation;
    // When the first link to it came up.
    time_point met_at;
  };

  static std::optional<home_row> ParseRow(const nlohmann::json& value);
  nlohmann::json OwnRow(bool released) const;

  void Tick();
  void Watch();
  void MaintainRow();
  // The position of this instance among the linked instances of its failure
  // domain for which `counts` is true; 0 is the best one.
  int OwnRank(const std::function<bool(const instance_id&)>& counts) const;
  // The position among all candidates, which may begin with the store.
  int OwnRank() const;
  // The position among those that could have begun without the store when the
  // home was lost.
  int StorelessRank() const;
  bool IsConnectedToHalf() const;
  bool HasStrongerPeer() const;
  bool IsMuchStrongerThan(const instance_id& other) const;
  bool MayTakeOver(const home_row& row, uint64_t version);
  // Whether the process that wrote the row has ended or is leaving: its address
  // refused a connection and it hasn't written since, it announced that it is
  // leaving, or another process has replaced it. Notes that it has written.
  bool HasEnded(const home_row& row, uint64_t version);
  bool HasEndedByRefusal(const instance_id& holder, uint64_t version);
  // The store gave no row, or refused it; the next attempt waits longer.
  void OnAskedInVain();
  void ForgetAskedInVain();
  void OnRowRead(const outcome<table_row, store_error>& row);
  // Takes the row over and begins.
  void TakeOver(uint64_t expected_version);
  void TakeOverWithoutStore();
  // Returns why this instance may not begin while the store is silent, or null
  // if it may.
  const char* ObstacleWithoutStore() const;
  // Logs the obstacle when it changes while the group has no home.
  void LogObstacle(const char* obstacle);
  // Returns a token above `highest` that no other instance has.
  fencing_token TokenAbove(fencing_token highest) const;
  // Returns the token of a home that has taken the row over with this version.
  fencing_token TokenOfRow(uint64_t version) const;
  // Writes the own row while this instance is home.
  void WriteRow(uint64_t expected_version);
  void OnRowWritten(const outcome<std::vector<uint64_t>, store_error>& result);
  void CheckRow();
  void OnRowChecked(const outcome<table_row, store_error>& result);
  void Begin(fencing_token token, const char* how);
  void End(const char* why);

  scheduler& clock_;
  store_watch& store_;
  const home_directory& homes_;
  home_group group_;
  entry_member self_;
  event_handlers handlers_;
  std::map<instance_id, entry_member> members_;
  // The connected peers, with the time when the link came up.
  std::map<instance_id, time_point> peers_up_;
  // The latest known process of each peer that was ever connected.
  std::map<instance_id, peer_process> processes_;
  // Peers that refused a connection, with the version of the row that was the
  // first to be read since with the peer as its holder. 0: none yet; `kLives`:
  // the peer has written a newer one.
  std::map<instance_id, uint64_t> refused_;
  std::set<instance_id> leaving_peers_;
  // Linked peers that could begin without the store.
  std::set<instance_id> able_peers_;
  // The latest token that peers have told, besides those of homes that this
  // instance has heard of.
  fencing_token told_token_;
  bool holding_ = false;
  bool leaving_ = false;
  // This instance has marked the row as released.
  bool released_ = false;
  bool yielding_ = false;
  // The row's latest version is unknown, so the row must be read before it is
  // written.
  bool row_version_unknown_ = false;
  bool call_in_flight_ = false;
  // Unchanged while holding.
  fencing_token token_;
  // While holding: the version of the row as last written; 0 if this home has
  // not written it.
  uint64_t row_version_ = 0;
  // While watching: the version of the row as last read, and since when it has
  // been unchanged.
  uint64_t watched_version_ = 0;
  time_point watched_since_;
  std::optional<time_point> without_home_since_;
  // The store was asked for the row in vain since the group lost its home.
  bool asked_in_vain_ = false;
  // While watching: between attempts at the row that fail one after the other.
  growing_pause ask_pause_;
  time_point asked_at_;
  time_point ask_again_at_;
  // The last obstacle that was logged; null if there was none.
  const char* logged_obstacle_ = nullptr;
  time_point last_renewal_;
  scoped_timer tick_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_HOME_ELECTION_H_
