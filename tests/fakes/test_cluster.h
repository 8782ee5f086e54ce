// Entry instances, a platform and upstreams on one loop, over loopback.

#ifndef TESTS_FAKES_TEST_CLUSTER_H_
#define TESTS_FAKES_TEST_CLUSTER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "daemon/daemon.h"
#include "fakes/raw_socket.h"
#include "standins/platform_standin.h"
#include "standins/upstream_standin.h"

namespace jasminedyke {

// The sockets of an instance. Throws `std::runtime_error` if one can't be had.
open_sockets OpenNow(const daemon_settings& settings);

// Everything real but the platform and the upstreams, which are stand-ins. No
// port is fixed: the platform learns the addresses after they were taken.
class test_cluster {
 public:
  explicit test_cluster(int entries, int upstreams = 2);
  ~test_cluster();

  // Starts or replaces the instance with this number.
  void StartEntry(int number);
  bool WaitUntilReady(int number);

  // Sends a request and runs the loop until its answer is there.
  http_result Call(const socket_address& to,
                   http_method method,
                   const std::string& path,
                   const std::string& token,
                   const std::string& body = "",
                   const http_headers& headers = {});
  http_result CallAdmin(int number,
                        http_method method,
                        const std::string& path,
                        const std::string& body = "",
                        const http_headers& headers = {});
  http_result SubmitJob(int number,
                        const std::string& tasks,
                        const http_headers& headers = {});
  // Sends without waiting.
  std::shared_ptr<std::optional<http_result>> Start(
      const socket_address& to,
      http_method method,
      const std::string& path,
      const std::string& token,
      const std::string& body = "",
      const http_headers& headers = {});
  bool WaitFor(const std::shared_ptr<std::optional<http_result>>& answer);

  void PublishInstances();

  event_loop loop;
  platform_standin platform;
  std::vector<std::unique_ptr<upstream_standin>> upstreams;
  std::vector<std::unique_ptr<instance>> entries;
  nlohmann::json upstream_rows = nlohmann::json::array();

 private:
  socket_address platform_address_;
  std::vector<std::unique_ptr<http_connection>> connections_;
};

nlohmann::json BodyOf(const http_result& result);

}  // namespace jasminedyke

#endif  // TESTS_FAKES_TEST_CLUSTER_H_
