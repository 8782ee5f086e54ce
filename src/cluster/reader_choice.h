// Which instances follow the operators' table in the store themselves.

#ifndef SRC_CLUSTER_READER_CHOICE_H_
#define SRC_CLUSTER_READER_CHOICE_H_

#include <functional>
#include <map>

#include "base/base.h"
#include "cluster/home_election.h"
#include "protocol/protocol.h"

namespace jasminedyke {

// The store tells each follower of a table the whole row that changed, however
// little of it did. So a few instances of each failure domain follow it, the
// strongest but the home, which has enough to do, and the others hear from them
// what changed. No vote: whoever sees too few readers before it reads too,
// which costs bytes and nothing else.
class reader_choice {
 public:
  // `is_home`: whether an instance is the failure domain's home, as far as is
  // known here.
  reader_choice(scheduler& clock,
                const peer_port& peers,
                const entry_member& self,
                std::function<bool(const instance_id&)> is_home,
                std::function<void(bool)> on_change);

  void SetMembers(const std::map<instance_id, entry_member>& members);
  void OnStatus(const instance_id& peer, store_reading reading);
  void OnPeerDown(const instance_id& peer);

  // `must_read`: peers can't tell this instance what it lacks.
  void Review(bool must_read);

  bool reads() const { return reads_; }

 private:
  // Too few of those before it read.
  bool IsNeeded() const;
  bool IsBefore(const entry_member& a, const entry_member& b) const;

  scheduler& clock_;
  const peer_port& peers_;
  entry_member self_;
  std::function<bool(const instance_id&)> is_home_;
  std::function<void(bool)> on_change_;
  std::map<instance_id, entry_member> members_;
  // Of linked peers that do or try.
  std::map<instance_id, store_reading> readers_;
  bool reads_ = false;
  // When this instance last had to read.
  time_point needed_at_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_READER_CHOICE_H_
