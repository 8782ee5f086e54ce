// Tracks which failure domains operators have drained: their upstreams get no
// new tasks until the drain is revoked.

#ifndef SRC_RUNS_DOMAIN_DRAINS_H_
#define SRC_RUNS_DOMAIN_DRAINS_H_

#include <cstdint>
#include <set>

#include "base/base.h"

namespace jasminedyke {

// Increases with each transaction of the store.
using store_version = number_id<struct store_version_tag>;

// All drained failure domains as of one version of the store.
struct drained_domains {
  store_version as_of;
  std::set<failure_domain_id> domains;

  bool operator==(const drained_domains&) const = default;
};

enum class domain_state {
  kUnknown,  // no state has been received yet
  kServing,
  kDrained,
};

// The newest state received from the store or a peer. States are ordered by the
// store's version and not by their arrival: a peer that was cut off may report
// a drain that is over, or miss a second drain that followed a first.
class domain_drains {
 public:
  // Adopts `heard` if it is newer than the known state. Returns true if the set
  // of drained domains changed or the first state became known.
  bool UpdateIfNewer(const drained_domains& heard);

  bool known() const { return newest_.as_of.value() > 0; }
  const drained_domains& newest() const { return newest_; }
  domain_state StateOf(const failure_domain_id& domain) const;

 private:
  drained_domains newest_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_DOMAIN_DRAINS_H_
