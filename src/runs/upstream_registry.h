// The upstreams of all services, as they register themselves.

#ifndef SRC_RUNS_UPSTREAM_REGISTRY_H_
#define SRC_RUNS_UPSTREAM_REGISTRY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

struct upstream_info {
  upstream_id id;
  // Where it takes orders: "IP:PORT". May be used again by a later upstream.
  std::string address;
  service_id service;
  failure_domain_id failure_domain;
  rack_id rack;
  std::set<std::string> labels;
  resource_amount capacity;
  // Runs end soon; it must get nothing new.
  bool draining = false;
  // Of the incarnation that registered.
  upstream_birth birth;

  bool operator==(const upstream_info&) const = default;
};

using upstream_registry = std::map<upstream_id, upstream_info>;

// What a home tells the other entry instances of its failure domain, so that
// one of them can take over while the store is away.
struct upstream_news {
  // `rows` is all that there is.
  bool full = false;
  std::vector<upstream_info> rows;
  std::vector<upstream_id> gone;

  bool empty() const { return !full && rows.empty() && gone.empty(); }
  bool operator==(const upstream_news&) const = default;
};

// What changed from `before` to `after`.
upstream_news Difference(const upstream_registry& before,
                         const upstream_registry& after);
upstream_news FullNews(const upstream_registry& registry);
void Apply(const upstream_news& news, upstream_registry* registry);

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_REGISTRY_H_
