// The start of a daemon as a process on a machine that others use too.

#include <string>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"

namespace jasminedyke {
namespace {

using daemon_address = socket_address daemon_addresses::*;

// Starts a daemon while another program has one of its ports.
bool StartsOnceReleased(daemon_address taken) {
  port_holder other;
  daemon_addresses addresses;
  addresses.*taken = other.address();
  daemon_process daemon(SettingsText(addresses));
  bool waits = daemon.WaitForLine("event=address_unavailable");
  other.Release();
  bool starts = daemon.WaitForLine("event=started");
  INFO(daemon.log());
  CHECK(waits);
  CHECK(starts);
  return waits && starts;
}

// Guards against a daemon that ends because one of its ports is in use at the
// moment of its start.
TEST_CASE("a daemon waits for a port that another program has") {
  for (daemon_address each :
       {&daemon_addresses::callers, &daemon_addresses::balancer,
        &daemon_addresses::peers})
    CHECK(StartsOnceReleased(each));
}

// Guards against an instance that serves nobody for want of its metrics.
TEST_CASE("a daemon serves while another program has the port of its metrics") {
  port_holder other;
  daemon_addresses addresses;
  addresses.metrics = other.address();
  daemon_process daemon(SettingsText(addresses));
  CHECK_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
}

}  // namespace
}  // namespace jasminedyke
