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
  // If true, `rows` is all that the sender knows; if false, `rows` contains the
  // registrations that are new or have changed.
  bool full = false;
  // The sender's registry contains all upstreams on which tasks may run. A home
  // that began when registrations had lapsed knows only some of them.
  bool whole = false;
  // With a full list: the latest fencing token of the group that the sender
  // knows.
  fencing_token token;
  std::vector<upstream_info> rows;
  // Upstreams that were removed from the registry.
  std::vector<upstream_id> gone;

  bool empty() const { return !full && rows.empty() && gone.empty(); }
  bool operator==(const upstream_news&) const = default;
};

// Returns the changes that turn `before` into `after`.
upstream_news Difference(const upstream_registry& before,
                         const upstream_registry& after);
// Returns news with all of the registry.
upstream_news FullNews(const upstream_registry& registry, bool whole);
// Updates `registry` with the changes in `news`. A full list replaces the
// registry only if it is whole: a successor that drops upstreams would start
// the tasks that run there a second time.
void Apply(const upstream_news& news, upstream_registry* registry);

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_REGISTRY_H_
