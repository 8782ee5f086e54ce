// The list of upstreams and entry instances that the platform publishes.

#ifndef SRC_POLICY_MEMBERSHIP_H_
#define SRC_POLICY_MEMBERSHIP_H_

#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

enum class instance_role { kUpstream, kEntry };
enum class instance_state { kLive, kLeaving };

// One upstream or entry instance in the membership list.
struct instance_info {
  instance_id id;
  // "IP:PORT" that accepts tasks (upstream) or connections of peers (entry
  // instance).
  std::string address;
  instance_role role = instance_role::kUpstream;
  failure_domain_id failure_domain;
  std::string rack;
  instance_state state = instance_state::kLive;
  int slots = 0;
  int connections = 0;
  int memory_mb = 0;
  int cores = 0;

  bool operator==(const instance_info&) const = default;
};

struct membership_list {
  membership_version version;
  std::vector<instance_info> instances;
};

// Holds the membership list with the highest version received so far. The
// platform's answers and the peers' copies may arrive in any order; an older
// list never replaces a newer one.
class membership_view {
 public:
  // Returns false and changes nothing if `list` is not newer than the current
  // one.
  bool Update(const membership_list& list);

  membership_version version() const { return list_.version; }
  bool known() const { return list_.version.value() > 0; }
  const membership_list& list() const { return list_; }

  // Returns null if no instance with this id is listed.
  const instance_info* Find(const instance_id& id) const;

  // Entry instances of one failure domain or of all, sorted by id.
  std::vector<instance_info> entries(const failure_domain_id& domain) const;
  std::vector<instance_info> entries() const;

  // Total slots of the live upstreams of one failure domain or of all.
  int slots(const failure_domain_id& domain) const;
  int slots() const;

 private:
  membership_list list_;
  std::map<instance_id, size_t> index_by_id_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_MEMBERSHIP_H_
