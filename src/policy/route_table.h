// Which class of work a caller's path belongs to, and what changed from one
// version of the configuration to another.

#ifndef SRC_POLICY_ROUTE_TABLE_H_
#define SRC_POLICY_ROUTE_TABLE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// One class of work, as operators configure it.
struct route {
  std::string name;
  std::string host;
  // Ends with a slash.
  std::string path_prefix;
  std::string service;
  duration timeout = duration::zero();
  // Beyond `stretch` times the job's longest chain of work.
  duration target_latency = duration::zero();
  double stretch = 1;
  int max_attempts = 1;
  // 0 goes first.
  int priority = 0;

  bool operator==(const route&) const = default;
};

// No two routes of a configuration share both.
struct route_key {
  std::string host;
  std::string path_prefix;

  auto operator<=>(const route_key&) const = default;
};

struct service_settings {
  // Its upstreams refuse what does not fit; if false, they start whatever they
  // are told to.
  bool guarded = true;
  int max_connections = 0;
  std::string health_path;

  bool operator==(const service_settings&) const = default;
};

// All routes of one version of the configuration.
struct routing_config {
  config_version version;
  std::vector<route> routes;
  std::map<std::string, service_settings> services;
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 256 * 1024;

  bool operator==(const routing_config&) const = default;
};

// What leads from one version of the configuration to another.
struct routing_update {
  // Holds all that changed since this version; 0: all there is.
  config_version base;
  // Its routes are those that are new or changed.
  routing_config to;
  std::vector<route_key> removed;
  // Of all that is in force at the version it leads to.
  uint64_t digest = 0;

  bool operator==(const routing_update&) const = default;
};

enum class update_outcome {
  kApplied,
  kNotNewer,
  // It builds on something else than what is in force here.
  kMismatch,
};

// Looks routes up. Only moves to higher versions.
class route_table {
 public:
  // False if `config` is not newer than what is in force.
  bool Update(const routing_config& config);

  // All of it is taken or nothing.
  update_outcome Apply(const routing_update& update);

  // What an instance at version `base` lacks. It may hold more than that, and
  // that instance may know routes that this one never saw: the digest tells.
  // Everything, if the changes since then are not known.
  routing_update ChangesSince(config_version base) const;

  bool known() const { return version_.value() > 0; }
  config_version version() const { return version_; }
  size_t size() const { return size_; }
  const std::map<std::string, service_settings>& services() const {
    return globals_.services;
  }

  // The route with the longest prefix of `path`; null if there is none.
  const route* Find(const std::string& host, const std::string& path) const;

 private:
  struct entry {
    route what;
    uint64_t hash = 0;
    // The version with which this instance learnt of its last change.
    config_version changed;
  };

  const entry* FindEntry(const route_key& key) const;
  void Put(const route& each, config_version version);
  void Remove(const route_key& key, config_version version);
  void SetGlobals(const routing_config& config);
  void ForgetRemoved();
  uint64_t DigestAfter(const routing_update& update) const;

  config_version version_;
  // Everything but the routes.
  routing_config globals_;
  // By host, then prefix.
  std::map<std::string, std::map<std::string, entry>> routes_;
  size_t size_ = 0;
  // The sum of all hashes, so that a change costs what it changes.
  uint64_t digest_ = 0;
  // Routes that are gone, with the version that this instance then moved to.
  std::map<route_key, config_version> removed_;
  // `removed_` is complete from this version on.
  config_version removals_known_since_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_ROUTE_TABLE_H_
