// The steps of a start, on a clock that stands still.

#include "daemon/daemon_start.h"

#include <cerrno>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "base/manual_scheduler.h"

namespace jasminedyke {
namespace {

const settings_problems kCut = {{0, "stop.grace_s", "is missing"}};
const std::vector<listen_address> kAddresses = {{"callers", {"127.0.0.1", 0}}};
constexpr duration kMoment = std::chrono::milliseconds(100);

struct start_fixture {
  manual_scheduler clock;
  std::optional<settings_problems> problems;
  settings_problems lacking;
  bool ports_taken = false;
  std::vector<std::string> seen;
  daemon_start start{clock, Steps(), [this](const socket_address& address) {
                       return Bind(address);
                     }};

  start_steps Steps() {
    start_steps steps;
    steps.load =
        [this]() -> outcome<std::vector<listen_address>, settings_problems> {
      if (problems)
        return *problems;
      return kAddresses;
    };
    steps.awaited = [this] { return lacking; };
    steps.make = [this](const open_sockets&) { seen.emplace_back("made"); };
    steps.on_bad_settings = [this](const settings_problems&) {
      seen.emplace_back("bad settings");
    };
    steps.on_failed = [this](const std::string& reason) {
      seen.push_back(reason);
    };
    return steps;
  }

  outcome<server_socket, socket_error> Bind(const socket_address& address) {
    if (ports_taken)
      return socket_error{EADDRINUSE};
    return server_socket::Bind(address);
  }
};

// Guards against an instance that is lost since its settings were being written
// at the moment of its start.
TEST_CASE("daemon_start: settings that are cut at first are read again") {
  start_fixture f;
  f.problems = kCut;
  f.start.Begin();
  f.clock.Advance(kMoment);
  CHECK(f.seen.empty());
  f.problems.reset();
  f.clock.Advance(kMoment);
  CHECK(f.seen == std::vector<std::string>{"made"});
}

// Guards against a daemon that waits for ever for settings that stay wrong.
TEST_CASE("daemon_start: settings that stay wrong end it") {
  start_fixture f;
  f.problems = kCut;
  f.start.Begin();
  f.clock.Advance(daemon_start::kSettingsWait - kMoment);
  CHECK(f.seen.empty());
  f.clock.Advance(2 * kMoment);
  CHECK(f.seen == std::vector<std::string>{"bad settings"});
  f.clock.Advance(daemon_start::kSettingsWait);
  CHECK(f.seen.size() == 1);
}

// Guards against an instance that ends at each start until a value is there,
// and against one that is made without it.
TEST_CASE("daemon_start: a value that lacks is waited for without an end") {
  start_fixture f;
  f.lacking = {{0, "store.address", "is missing"}};
  f.start.Begin();
  f.clock.Advance(std::chrono::hours(2));
  CHECK(f.seen.empty());
  CHECK(f.start.Reload());
  f.clock.Advance(kMoment);
  CHECK(f.seen.empty());
  f.lacking.clear();
  f.clock.Advance(std::chrono::seconds(1));
  CHECK(f.seen == std::vector<std::string>{"made"});
}

// Guards against an instance that has long waited for a value and ends since
// the file is read while the value is being written.
TEST_CASE("daemon_start: settings that are cut after a long wait") {
  start_fixture f;
  f.lacking = {{0, "store.address", "is missing"}};
  f.start.Begin();
  f.clock.Advance(std::chrono::seconds(10));
  f.problems = kCut;
  f.clock.Advance(std::chrono::seconds(1) + kMoment);
  CHECK(f.seen.empty());
  f.problems.reset();
  f.lacking.clear();
  f.clock.Advance(kMoment);
  CHECK(f.seen == std::vector<std::string>{"made"});
  start_fixture broken;
  broken.lacking = f.lacking;
  broken.problems = kCut;
  broken.start.Begin();
  broken.clock.Advance(std::chrono::seconds(4));
  CHECK(broken.seen == std::vector<std::string>{"bad settings"});
}

// Guards against two daemons made of one start, and none.
TEST_CASE("daemon_start: a reload in each step") {
  start_fixture f;
  f.problems = kCut;
  f.ports_taken = true;
  f.start.Begin();
  f.clock.Advance(kMoment);
  CHECK_FALSE(f.start.Reload());
  f.problems.reset();
  CHECK(f.start.Reload());
  f.problems = kCut;
  CHECK_FALSE(f.start.Reload());
  f.clock.Advance(2 * daemon_start::kSettingsWait);
  CHECK(f.seen.empty());
  f.ports_taken = false;
  f.clock.Advance(2 * daemon_start::kSettingsWait);
  CHECK(f.seen == std::vector<std::string>{"made"});
  f.problems.reset();
  CHECK(f.start.Reload());
  f.clock.Advance(kMoment);
  CHECK(f.seen.size() == 1);
}

// Guards against an exception that passes the event loop's C code.
TEST_CASE("daemon_start: a daemon that can't be made") {
  manual_scheduler clock;
  std::vector<std::string> seen;
  start_steps steps;
  steps.load = [] { return kAddresses; };
  steps.make = [](const open_sockets&) {
    throw std::runtime_error("no memory");
  };
  steps.on_failed = [&](const std::string& reason) { seen.push_back(reason); };
  daemon_start start(clock, steps);
  start.Begin();
  clock.Advance(kMoment);
  CHECK(seen == std::vector<std::string>{"no memory"});
}

}  // namespace
}  // namespace jasminedyke
