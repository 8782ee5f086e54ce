// Which failure domains operators have drained: their upstreams get nothing
// new until they are taken back.

#ifndef SRC_RUNS_DOMAIN_DRAINS_H_
#define SRC_RUNS_DOMAIN_DRAINS_H_

#include <cstdint>
#include <set>

#include "base/base.h"

namespace jasminedyke {

// Counts the store's transactions.
using store_version = number_id<struct store_version_tag>;

// All drained failure domains as of one version of the store.
struct drained_domains {
  store_version as_of;
  std::set<failure_domain_id> domains;

  bool operator==(const drained_domains&) const = default;
};

enum class domain_state {
  kUnknown,  // nobody has told yet what operators want
  kServing,
  kDrained,
};

// The newest state that was heard, from the store or a peer. States are ordered
// by the store's version and not by their arrival: a peer that was cut off
// tells of a drain that is over, or does not know of a second one that followed
// a first.
class domain_drains {
 public:
  // True if other domains are drained now, or any state is known at last.
  bool Take(const drained_domains& heard);

  bool known() const { return newest_.as_of.value() > 0; }
  const drained_domains& newest() const { return newest_; }
  domain_state StateOf(const failure_domain_id& domain) const;

 private:
  drained_domains newest_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_DOMAIN_DRAINS_H_
