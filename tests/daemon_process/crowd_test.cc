// A daemon as a process with few descriptors.

#include <deque>
#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"
#include "fakes/descriptor_limit.h"
#include "fakes/raw_socket.h"

namespace jasminedyke {
namespace {

std::string Get(const socket_address& address, const std::string& path) {
  event_loop loop;
  raw_client client(address);
  client.Write("GET " + path +
               " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  RunUntil(loop, [&] {
    client.Read();
    return client.ended;
  });
  return client.received;
}

// Guards against a daemon that spends its processor on connections that it
// can't accept, and that nobody can watch or reach then.
TEST_CASE("a daemon with few descriptors serves beside a crowd of callers") {
  daemon_addresses addresses;
  for (socket_address* each :
       {&addresses.callers, &addresses.balancer, &addresses.metrics})
    *each = port_holder().address();
  std::unique_ptr<daemon_process> daemon;
  {
    descriptor_limit few(64);
    daemon = std::make_unique<daemon_process>(SettingsText(addresses));
  }
  REQUIRE(daemon->WaitForLine("event=started"));
  std::deque<raw_client> crowd;
  for (int i = 0; i < 100; ++i)
    crowd.emplace_back(addresses.callers);
  CHECK(Get(addresses.callers, "/nowhere").find("HTTP/1.1 503") == 0);
  CHECK(Get(addresses.balancer, "/").find("HTTP/1.1 ") == 0);
  std::string metrics = Get(addresses.metrics, "/metrics");
  INFO(metrics);
  CHECK(metrics.find("connections_most{use=\"callers\"} 32") !=
        std::string::npos);
  CHECK(metrics.find("accept_failures_total{use=\"callers\"} 0") !=
        std::string::npos);
}

}  // namespace
}  // namespace jasminedyke
