// The start of a daemon as a process on a machine that others use too.

#include <csignal>
#include <string>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"
#include "fakes/left_port.h"

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

// Guards against an instance that is lost since another one on its address has
// the port of metrics.
TEST_CASE("two daemons on one address with one port of metrics both serve") {
  port_holder free;
  daemon_addresses addresses;
  addresses.metrics = free.address();
  free.Release();
  daemon_process first(SettingsText(addresses));
  CHECK_MESSAGE(first.WaitForLine("event=started"), first.log());
  daemon_process second(SettingsText(addresses));
  CHECK_MESSAGE(second.WaitForLine("event=started"), second.log());
}

// Guards against a daemon that can't be stopped, or is counted as crashed,
// while it waits for an address.
TEST_CASE("a daemon that waits for an address stops as asked") {
  for (int signal : {SIGTERM, SIGINT}) {
    port_holder other;
    daemon_addresses addresses;
    addresses.callers = other.address();
    daemon_process daemon(SettingsText(addresses));
    REQUIRE(daemon.WaitForLine("event=address_unavailable"));
    daemon.Signal(signal);
    CHECK(daemon.WaitForEnd() == 0);
  }
}

// Guards against a daemon that waits for an address which the platform has
// taken back meanwhile.
TEST_CASE("a daemon that waits for an address is given another one") {
  port_holder other;
  daemon_addresses addresses;
  addresses.callers = other.address();
  daemon_process daemon(SettingsText(addresses));
  REQUIRE(daemon.WaitForLine("event=address_unavailable"));
  daemon.WriteSettings(SettingsText(daemon_addresses()));
  daemon.Signal(SIGHUP);
  CHECK_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
}

// Guards against a daemon that ends because its settings file is missing or cut
// at the moment of its start.
TEST_CASE("a daemon reads settings again that are being written") {
  std::string whole = SettingsText(daemon_addresses());
  for (size_t part : {size_t{0}, whole.size() / 2}) {
    daemon_process daemon(whole.substr(0, part));
    bool waits = daemon.WaitForLine("event=settings_awaited");
    daemon.WriteSettings(whole);
    CHECK_MESSAGE(waits, daemon.log());
    CHECK_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  }
}

// Guards against a daemon that can't be stopped while it waits for settings,
// and against one that waits for them for ever.
TEST_CASE("a daemon that waits for settings ends") {
  daemon_process stopped("");
  REQUIRE(stopped.WaitForLine("event=settings_awaited"));
  stopped.Signal(SIGTERM);
  CHECK(stopped.WaitForEnd() == 0);
  daemon_process waits("");
  CHECK(waits.WaitForEnd() == 2);
}

// Guards against a daemon that ends because the kernel keeps the port of a
// connection that is over, for a minute.
TEST_CASE("a daemon waits for the port of a connection that is over") {
  left_port left;
  daemon_addresses addresses;
  addresses.callers = left.address();
  daemon_process daemon(SettingsText(addresses));
  CHECK_MESSAGE(daemon.WaitForLine("event=address_unavailable"), daemon.log());
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForEnd() == 0);
}

}  // namespace
}  // namespace jasminedyke
