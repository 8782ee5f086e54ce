// Registration of this instance in the store's table of entry instances.

#ifndef SRC_CLUSTER_MEMBER_REGISTRY_H_
#define SRC_CLUSTER_MEMBER_REGISTRY_H_

#include <map>
#include <optional>
#include <string>

#include "base/base.h"
#include "cluster/home_election.h"
#include "store/store.h"

namespace jasminedyke {

inline constexpr char kMembersTable[] = "instances";

// Returns the members of all valid rows of the table; the others are logged.
std::map<instance_id, entry_member> ParseMembers(const table_snapshot& table);

// Writes this instance's row, with retries until the store accepts it, and
// removes it when the instance stops.
class member_registry {
 public:
  member_registry(scheduler& clock,
                  table_service& store,
                  const entry_member& self);

  void Register();
  void Unregister();

 private:
  nlohmann::json OwnRow() const;
  void WriteRow(uint64_t version);
  void RetryLater();

  table_service& store_;
  entry_member self_;
  // The version of the row that this instance wrote, 0 before the store has
  // confirmed it.
  uint64_t row_version_ = 0;
  bool unregistered_ = false;
  scoped_timer retry_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_MEMBER_REGISTRY_H_
