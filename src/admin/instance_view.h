// What reports about an instance are made from.

#ifndef SRC_ADMIN_INSTANCE_VIEW_H_
#define SRC_ADMIN_INSTANCE_VIEW_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "cluster/cluster.h"
#include "entry/entry.h"
#include "policy/policy.h"
#include "protocol/protocol.h"
#include "store/store.h"

namespace jasminedyke {

// The parts of a running instance, for reading only. All outlive the view.
struct instance_view {
  const scheduler& clock;
  const peer_identity& self;
  const configuration_store& config;
  const membership_poller& membership;
  const upstream_table& upstreams;
  const dispatcher& jobs;
  const job_registry& registry;
  const caller_api& callers;
  const granted_slots& slots;
  const slot_home& home_side;
  const home_selector& homes;
  const document_sync& documents;
  const remote_jobs& remote;
  const peer_mesh& peers;
  const usage_ledger& usage;
};

// Why the instance should get no requests; empty when it is ready.
using readiness = std::vector<std::string>;

}  // namespace jasminedyke

#endif  // SRC_ADMIN_INSTANCE_VIEW_H_
