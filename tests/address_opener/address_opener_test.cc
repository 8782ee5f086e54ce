// Addresses that can't be had at the start, on a clock that stands still.

#include "daemon/address_opener.h"

#include <cerrno>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "base/manual_scheduler.h"

namespace jasminedyke {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};
const listen_address kCallers{"callers", {"10.0.0.1", 80}};
const listen_address kPeers{"peers", {"10.0.0.1", 81}};
const listen_address kBalancer{"balancer",
                               {"10.0.0.1", 83},
                               listen_when::kAtOnce};
const listen_address kMetrics{"metrics",
                              {"10.0.0.1", 84},
                              listen_when::kOptional};
constexpr duration kLongestPause = std::chrono::seconds(1);

// Addresses fail as the test says; others are any free port of this machine.
struct opener_fixture {
  manual_scheduler clock;
  std::map<socket_address, int> errors;
  std::map<socket_address, int> tries;
  std::optional<open_sockets> opened;
  std::vector<std::string> failed;
  std::vector<std::string> early;
  address_opener opener{
      clock,
      {[this](open_sockets s) { opened = std::move(s); },
       [this](const std::string& reason) { failed.push_back(reason); },
       [this](const listen_address& address, const server_socket&) {
         early.push_back(address.use);
       }},
      [this](const socket_address& a) { return Bind(a); }};

  outcome<server_socket, socket_error> Bind(const socket_address& address) {
    ++tries[address];
    auto error = errors.find(address);
    if (error != errors.end())
      return socket_error{error->second};
    return server_socket::Bind(kAnyPort);
  }
};

// Guards against an instance that is lost since a port was taken, an address
// not there yet or the kernel out of something at the moment of its start.
TEST_CASE("address_opener: what can pass is waited for without an end") {
  for (int error :
       {EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    opener_fixture f;
    f.errors[kPeers.address] = error;
    f.opener.Open({kCallers, kPeers});
    f.clock.Advance(std::chrono::hours(2));
    CHECK_FALSE(f.opened);
    f.errors.clear();
    f.clock.Advance(kLongestPause);
    REQUIRE(f.opened);
    CHECK(f.opened->size() == 2);
    CHECK(f.failed.empty());
  }
}

// Guards against a daemon that waits for what never comes, with nobody told.
TEST_CASE("address_opener: what can't pass is final and names the address") {
  opener_fixture f;
  f.errors[kPeers.address] = EACCES;
  f.opener.Open({kCallers, kPeers});
  f.clock.Advance(std::chrono::hours(1));
  CHECK(f.failed == std::vector<std::string>{"can't listen on 10.0.0.1:81 for "
                                             "peers: Permission denied"});
  CHECK(f.tries[kPeers.address] == 1);
  CHECK_FALSE(f.opened);
}

// Guards against a start that takes a second though its port was free within
// milliseconds, and against a processor kept busy by trying.
TEST_CASE("address_opener: tries soon at first, then once a second") {
  opener_fixture f;
  f.errors[kPeers.address] = EADDRINUSE;
  f.opener.Open({kPeers});
  f.clock.Advance(std::chrono::milliseconds(50));
  CHECK(f.tries[kPeers.address] == 2);
  f.clock.Advance(std::chrono::milliseconds(100));
  CHECK(f.tries[kPeers.address] == 3);
  f.clock.Advance(std::chrono::seconds(10));
  int before = f.tries[kPeers.address];
  f.clock.Advance(std::chrono::seconds(100));
  CHECK(f.tries[kPeers.address] == before + 100);
}

// Guards against a port that another program takes while we wait for the next.
TEST_CASE("address_opener: what is bound is kept while another is waited for") {
  opener_fixture f;
  f.errors[kPeers.address] = EADDRINUSE;
  f.opener.Open({kCallers, kPeers});
  f.clock.Advance(std::chrono::minutes(1));
  CHECK(f.tries[kCallers.address] == 1);
}

// Guards against a daemon that waits for an address that its settings no longer
// name.
TEST_CASE("address_opener: other addresses while it waits") {
  opener_fixture f;
  const listen_address other{"peers", {"10.0.0.1", 82}};
  f.errors[kPeers.address] = EADDRINUSE;
  f.opener.Open({kCallers, kPeers});
  f.opener.Open({kCallers, other});
  REQUIRE(f.opened);
  CHECK(f.tries[kCallers.address] == 1);
  f.clock.Advance(std::chrono::minutes(1));
  CHECK(f.tries[kPeers.address] == 1);
}

// Guards against an instance that can't be asked what it waits for, and against
// ports that are opened twice or closed when the last one is free.
TEST_CASE("address_opener: some addresses are opened while others lack") {
  opener_fixture f;
  f.errors[kPeers.address] = EADDRINUSE;
  f.opener.Open({kCallers, kBalancer, kPeers, kMetrics});
  CHECK(f.early == std::vector<std::string>{"balancer", "metrics"});
  CHECK(f.opener.awaited() == std::vector<std::string>{"peers"});
  f.clock.Advance(std::chrono::minutes(1));
  CHECK_FALSE(f.opened);
  f.errors.clear();
  f.clock.Advance(kLongestPause);
  REQUIRE(f.opened);
  CHECK(f.opened->size() == 2);
  CHECK(f.early.size() == 2);
  CHECK(f.tries[kBalancer.address] == 1);
  CHECK(f.opener.awaited().empty());
}

// Guards against a daemon that is made before the balancer can ask it.
TEST_CASE("address_opener: an address that is opened at once is needed") {
  opener_fixture f;
  f.errors[kBalancer.address] = EADDRINUSE;
  f.opener.Open({kCallers, kBalancer});
  f.clock.Advance(std::chrono::minutes(1));
  CHECK_FALSE(f.opened);
  CHECK(f.opener.awaited() == std::vector<std::string>{"balancer"});
  f.errors.clear();
  f.clock.Advance(kLongestPause);
  CHECK(f.opened);
  CHECK(f.early == std::vector<std::string>{"balancer"});
}

// Guards against an instance that serves nobody for want of its metrics, and
// against one that never has them once their port is free.
TEST_CASE("address_opener: an optional address is tried further") {
  opener_fixture f;
  f.errors[kMetrics.address] = EADDRINUSE;
  f.opener.Open({kCallers, kMetrics});
  REQUIRE(f.opened);
  CHECK(f.opened->size() == 1);
  CHECK(f.opener.awaited().empty());
  f.clock.Advance(std::chrono::minutes(1));
  CHECK(f.early.empty());
  f.errors.clear();
  f.clock.Advance(kLongestPause);
  CHECK(f.early == std::vector<std::string>{"metrics"});
}

// Guards against an instance that ends, or tries for ever, since the address of
// its metrics can never be had.
TEST_CASE("address_opener: an optional address that can never be had") {
  opener_fixture f;
  f.errors[kMetrics.address] = EACCES;
  f.opener.Open({kMetrics, kCallers});
  f.clock.Advance(std::chrono::minutes(1));
  CHECK(f.opened);
  CHECK(f.failed.empty());
  CHECK(f.tries[kMetrics.address] == 1);
}

// Guards against an instance that serves nobody, as its metrics got the port
// that its callers were to have.
TEST_CASE("address_opener: an optional address that a needed one has") {
  opener_fixture f;
  listen_address metrics = kMetrics;
  metrics.address = kCallers.address;
  f.opener.Open({kCallers, kBalancer, metrics});
  REQUIRE(f.opened);
  CHECK(f.opened->count("callers") == 1);
  CHECK(f.opened->size() == 1);
  CHECK(f.early == std::vector<std::string>{"balancer"});
  CHECK(f.tries[kCallers.address] == 1);
}

server_socket BindNow(const socket_address& address) {
  auto bound = server_socket::Bind(address);
  REQUIRE(bound.ok());
  return std::move(bound.value());
}

// Guards against callers who reach a daemon that isn't made yet: two daemons
// are bound to one address, and the other one listens first.
TEST_CASE("address_opener: an address that another socket began to listen on") {
  // These keep the ports for the test.
  const server_socket kept = BindNow(kAnyPort);
  const server_socket kept_too = BindNow(kAnyPort);
  const listen_address callers{"callers", kept.address()};
  const listen_address peers{"peers", kept_too.address()};
  std::optional<server_socket> rival = BindNow(peers.address);
  manual_scheduler clock;
  std::optional<open_sockets> opened;
  address_opener opener(clock,
                        {[&](open_sockets s) { opened = std::move(s); },
                         [](const std::string& reason) { FAIL(reason); }},
                        [&](const socket_address& address) {
                          auto bound = server_socket::Bind(address);
                          if (address == peers.address && !opened)
                            rival->Listen();
                          return bound;
                        });
  opener.Open({callers, peers});
  CHECK_FALSE(opened);
  // Nobody is reached at the address that could be had.
  CHECK_FALSE(BindNow(callers.address).Listen());
  rival = BindNow(kAnyPort);
  clock.Advance(kLongestPause);
  REQUIRE(opened);
  CHECK(opened->at("peers").address() == peers.address);
}

}  // namespace
}  // namespace jasminedyke
