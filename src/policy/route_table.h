// Which class of work a caller's path belongs to.

#ifndef SRC_POLICY_ROUTE_TABLE_H_
#define SRC_POLICY_ROUTE_TABLE_H_

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

// Looks routes up. Only moves to higher versions.
class route_table {
 public:
  // False if `config` is not newer than what is in force.
  bool Update(const routing_config& config);

  bool known() const { return config_.version.value() > 0; }
  const routing_config& config() const { return config_; }

  // The route with the longest prefix of `path`; null if there is none.
  const route* Find(const std::string& host, const std::string& path) const;

 private:
  routing_config config_;
  // By host, then prefix; into `config_`.
  std::map<std::string, std::map<std::string, size_t>> index_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_ROUTE_TABLE_H_
