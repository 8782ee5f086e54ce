// Registry of the upstreams of all services, and its changes.

#ifndef SRC_RUNS_UPSTREAM_REGISTRY_H_
#define SRC_RUNS_UPSTREAM_REGISTRY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// What an upstream states about itself when it registers.
struct upstream_info {
  upstream_id id;
  // "IP:PORT" at which it accepts orders. A later upstream may reuse it.
  std::string address;
  service_id service;
  failure_domain_id failure_domain;
  rack_id rack;
  std::set<std::string> labels;
  resource_amount capacity;
  // Its present runs end soon; it must not be given new ones.
  bool draining = false;
  // Birth of the incarnation that registered.
  upstream_birth birth = upstream_birth();

  bool operator==(const upstream_info&) const = default;
};

using upstream_registry = std::map<upstream_id, upstream_info>;

// Changes of the registry that a home sends to the other entry instances of its
// failure domain, so that one of them can take over while the store is
// unavailable.
struct upstream_news {
  // If true, `rows` is the whole registry and replaces the previous one; if
  // false, `rows` contains the registrations that are new or have changed.
  bool full = false;
  std::vector<upstream_info> rows;
  // Upstreams that were removed from the registry.
  std::vector<upstream_id> gone;

  bool empty() const { return !full && rows.empty() && gone.empty(); }
  bool operator==(const upstream_news&) const = default;
};

// Returns the changes that turn `before` into `after`.
upstream_news Difference(const upstream_registry& before,
                         const upstream_registry& after);
// Returns news that contain the whole registry.
upstream_news FullNews(const upstream_registry& registry);
// Updates `registry` with the changes in `news`.
void Apply(const upstream_news& news, upstream_registry* registry);

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_REGISTRY_H_
