// The start of a daemon as a process on a machine that others use too.

#include <csignal>
#include <memory>
#include <stdexcept>
#include <string>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"
#include "fakes/left_port.h"
#include "fakes/raw_socket.h"

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

// Null if nobody listens.
std::unique_ptr<raw_client> Connect(const socket_address& address) {
  try {
    return std::make_unique<raw_client>(address);
  } catch (const std::runtime_error&) {
    return nullptr;
  }
}

// Whether all of an answer is there, which tells its length.
bool IsWhole(const std::string& answer) {
  const std::string length = "Content-Length: ";
  size_t found = answer.find(length);
  size_t body = answer.find("\r\n\r\n");
  if (found == std::string::npos || body == std::string::npos)
    return false;
  return answer.size() - body - 4 ==
         std::stoul(answer.substr(found + length.size()));
}

// Sends a request on the connection, which stays open.
std::string Ask(raw_client& client, const std::string& path) {
  event_loop loop;
  client.received.clear();
  client.Write("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  RunUntil(loop, [&] {
    client.Read();
    return client.ended || IsWhole(client.received);
  });
  return client.received;
}

// Waits until somebody listens.
std::unique_ptr<raw_client> ConnectOnceOpen(const socket_address& address) {
  event_loop loop;
  std::unique_ptr<raw_client> client;
  RunUntil(loop, [&] {
    client = Connect(address);
    return client != nullptr;
  });
  REQUIRE_MESSAGE(client, address.ToString());
  return client;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Free ports for the balancer and metrics, which the test asks.
daemon_addresses WithKnownStatusPorts() {
  daemon_addresses addresses;
  addresses.balancer = port_holder().address();
  addresses.metrics = port_holder().address();
  return addresses;
}

// Guards against an instance that looks like one that hangs, as neither its
// metrics nor the balancer's port answer while another address is awaited, and
// against one that closes them when it begins to serve.
TEST_CASE("a daemon that waits for an address tells what it waits for") {
  for (daemon_address taken :
       {&daemon_addresses::callers, &daemon_addresses::peers}) {
    port_holder other;
    daemon_addresses addresses = WithKnownStatusPorts();
    addresses.*taken = other.address();
    std::string awaited = taken == &daemon_addresses::callers
                              ? "address_awaited{address=\"callers\"} 1"
                              : "address_awaited{address=\"peers\"} 1";
    daemon_process daemon(SettingsText(addresses));
    REQUIRE(daemon.WaitForLine("event=address_unavailable"));
    auto balancer = ConnectOnceOpen(addresses.balancer);
    CHECK(Ask(*balancer, "/").starts_with("HTTP/1.1 503"));
    auto metrics = ConnectOnceOpen(addresses.metrics);
    std::string text = Ask(*metrics, "/metrics");
    INFO(text);
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(Has(text, awaited));
    CHECK(Has(text, "process_resident_bytes"));
    other.Release();
    REQUIRE(daemon.WaitForLine("event=started"));
    // On the connections from before.
    CHECK(Ask(*balancer, "/").starts_with("HTTP/1.1 503"));
    std::string later = Ask(*metrics, "/metrics");
    INFO(later);
    CHECK(Has(later, "jobs_accepted_total"));
    CHECK_FALSE(Has(later, "address_awaited"));
    // Beside connections that stay open.
    daemon.Signal(SIGTERM);
    CHECK_MESSAGE(daemon.WaitForEnd() == 0, daemon.log());
  }
}

// Guards against an instance whose balancer's port is taken and that can't be
// asked why nobody is sent to it.
TEST_CASE("a daemon that waits for the balancer's port answers metrics") {
  port_holder other;
  daemon_addresses addresses = WithKnownStatusPorts();
  addresses.balancer = other.address();
  daemon_process daemon(SettingsText(addresses));
  REQUIRE(daemon.WaitForLine("event=address_unavailable"));
  auto metrics = ConnectOnceOpen(addresses.metrics);
  CHECK(Has(Ask(*metrics, "/metrics"),
            "address_awaited{address=\"balancer\"} 1"));
  other.Release();
  CHECK_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  CHECK(ConnectOnceOpen(addresses.balancer));
}

// Guards against an instance that can't be asked why it doesn't serve while a
// value of its settings lacks.
TEST_CASE("a daemon that waits for a value tells what it waits for") {
  daemon_addresses addresses = WithKnownStatusPorts();
  std::string whole = SettingsText(addresses);
  std::string lacking = whole;
  const std::string store = "address = \"127.0.0.1:1\"\n";
  lacking.replace(lacking.find(store), store.size(), "address = \"\"\n");
  daemon_process daemon(lacking);
  REQUIRE(daemon.WaitForLine("event=settings_awaited"));
  auto balancer = ConnectOnceOpen(addresses.balancer);
  CHECK(Ask(*balancer, "/").starts_with("HTTP/1.1 503"));
  auto metrics = ConnectOnceOpen(addresses.metrics);
  std::string text = Ask(*metrics, "/metrics");
  INFO(text);
  CHECK(Has(text, "setting_awaited{setting=\"store.address\"} 1"));
  daemon.WriteSettings(whole);
  REQUIRE(daemon.WaitForLine("event=started"));
  CHECK_FALSE(Has(Ask(*metrics, "/metrics"), "setting_awaited"));
}

// Guards against a port that an instance keeps after its settings name another
// one.
TEST_CASE("a daemon that waits is given another port for the balancer") {
  port_holder other;
  daemon_addresses addresses = WithKnownStatusPorts();
  addresses.callers = other.address();
  daemon_process daemon(SettingsText(addresses));
  REQUIRE(daemon.WaitForLine("event=address_unavailable"));
  REQUIRE(ConnectOnceOpen(addresses.balancer));
  daemon_addresses moved = addresses;
  moved.balancer = port_holder().address();
  daemon.WriteSettings(SettingsText(moved));
  daemon.Signal(SIGHUP);
  REQUIRE(daemon.WaitForLine("event=reload"));
  auto balancer = ConnectOnceOpen(moved.balancer);
  CHECK(Ask(*balancer, "/").starts_with("HTTP/1.1 503"));
  CHECK_FALSE(Connect(addresses.balancer));
  // Beside a connection that stays open.
  daemon.Signal(SIGTERM);
  CHECK_MESSAGE(daemon.WaitForEnd() == 0, daemon.log());
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
