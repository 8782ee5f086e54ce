// Maps request paths to classes of work and computes the difference between
// versions of the configuration.

#ifndef SRC_POLICY_ROUTE_TABLE_H_
#define SRC_POLICY_ROUTE_TABLE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// The settings of one class of work, as operators configure them.
struct route {
  std::string name;
  std::string host;
  // Ends with a slash.
  std::string path_prefix;
  std::string service;
  duration timeout = duration::zero();
  // Time allowed in addition to `stretch` times the job's longest chain of
  // work.
  duration target_latency = duration::zero();
  double stretch = 1;
  int max_attempts = 1;
  // Lower values go first; 0 is the highest priority.
  int priority = 0;

  bool operator==(const route&) const = default;
};

// Identifies a route: no two routes of a configuration have the same host and
// path prefix.
struct route_key {
  std::string host;
  std::string path_prefix;

  auto operator<=>(const route_key&) const = default;
};

struct service_settings {
  // Whether the service's upstreams refuse tasks that exceed their capacity. If
  // false, they start every task that is sent to them.
  bool guarded = true;
  int max_connections = 0;
  std::string health_path;

  bool operator==(const service_settings&) const = default;
};

// All routes, services and limits of one version of the configuration.
struct routing_config {
  config_version version;
  std::vector<route> routes;
  std::map<std::string, service_settings> services;
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 256 * 1024;

  bool operator==(const routing_config&) const = default;
};

// The difference between two versions of the configuration.
struct routing_update {
  // The version that the update applies to. 0 means a full copy.
  config_version base;
  // The new version, with only the new or changed routes unless it is a full
  // copy.
  routing_config to;
  std::vector<route_key> removed;
  // Digest of the complete configuration after the update.
  uint64_t digest = 0;

  bool operator==(const routing_update&) const = default;
};

enum class update_outcome {
  kApplied,
  kNotNewer,
  // The digest shows that the update was made for another configuration than
  // the current one.
  kMismatch,
};

// Finds the route of a request and tracks which routes changed in which
// version. The version never decreases.
class route_table {
 public:
  // Returns false and changes nothing if `config` is not newer than the current
  // version.
  bool Update(const routing_config& config);

  // Applies the whole update or nothing of it.
  update_outcome Apply(const routing_update& update);

  // Returns the changes that an instance at version `base` lacks, or a full
  // copy if the changes since then are not known. The update may contain routes
  // that the instance already has. The instance may also have routes that this
  // one never received; it detects this by the digest.
  routing_update ChangesSince(config_version base) const;

  bool known() const { return version_.value() > 0; }
  config_version version() const { return version_; }
  size_t size() const { return size_; }
  const std::map<std::string, service_settings>& services() const {
    return globals_.services;
  }

  // Returns the route of `host` whose prefix is the longest that matches
  // `path`; null if none matches.
  const route* Find(const std::string& host, const std::string& path) const;

 private:
  struct entry {
    route definition;
    uint64_t hash = 0;
    // The version in which this instance received the route's last change.
    config_version changed;
  };

  const entry* FindEntry(const route_key& key) const;
  void Put(const route& each, config_version version);
  void Remove(const route_key& key, config_version version);
  void SetGlobals(const routing_config& config);
  void ForgetRemoved();
  uint64_t DigestAfter(const routing_update& update) const;

  config_version version_;
  // All settings except the routes; `globals_.routes` stays empty.
  routing_config globals_;
  // Routes by host, then by path prefix.
  std::map<std::string, std::map<std::string, entry>> routes_;
  size_t size_ = 0;
  // Sum of the hashes of all routes and of the other settings. As it is a sum,
  // a change updates it without hashing the unchanged routes again.
  uint64_t digest_ = 0;
  // Removed routes, each with the version in which this instance removed it.
  std::map<route_key, config_version> removed_;
  // `removed_` holds every removal after this version.
  config_version removals_known_since_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_ROUTE_TABLE_H_
