// Who is there: upstreams and entry instances, as the platform lists them.

#ifndef SRC_POLICY_MEMBERSHIP_H_
#define SRC_POLICY_MEMBERSHIP_H_

#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

enum class instance_role { kUpstream, kEntry };
enum class instance_state { kLive, kLeaving };

// One row of the platform's list.
struct instance_info {
  instance_id id;
  // Where tasks go (upstream) or peers connect (entry instance): "IP:PORT".
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

// The newest list seen. The platform's answers and the peers' copies may come
// in any order; an older one never replaces a newer one.
class membership_view {
 public:
  // False if `list` is not newer than what is known.
  bool Update(const membership_list& list);

  membership_version version() const { return list_.version; }
  bool known() const { return list_.version.value() > 0; }
  const membership_list& list() const { return list_; }

  // Null if not listed.
  const instance_info* Find(const instance_id& id) const;

  // Sorted by id.
  std::vector<instance_info> entries(const failure_domain_id& domain) const;
  std::vector<instance_info> entries() const;

  // Live slots of one failure domain, and of all.
  int slots(const failure_domain_id& domain) const;
  int slots() const;

 private:
  membership_list list_;
  std::map<instance_id, size_t> index_by_id_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_MEMBERSHIP_H_
