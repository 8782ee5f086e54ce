// The upstreams of all services, as they register themselves.

#ifndef SRC_RUNS_UPSTREAM_REGISTRY_H_
#define SRC_RUNS_UPSTREAM_REGISTRY_H_

#include <map>
#include <set>
#include <string>

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

  bool operator==(const upstream_info&) const = default;
};

using upstream_registry = std::map<upstream_id, upstream_info>;

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_REGISTRY_H_
