// The settings file.

#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "daemon/daemon.h"

namespace jasminedyke {
namespace {

const std::string kGood = R"([instance]
id = "e0"
failure_domain = "d"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[peers]
key = "00112233445566778899aabbccddeeff"
)";

TEST_CASE("settings: a good file, and its defaults") {
  auto parsed = ParseSettings(kGood);
  REQUIRE(parsed.ok());
  CHECK(parsed.value().instance == instance_id("e0"));
  CHECK(parsed.value().peers.port == 3);
  CHECK(parsed.value().peer_key.size() == 16);
  CHECK(parsed.value().ready_delay == std::chrono::seconds(2));
}

// Guards against a daemon that doesn't start for the way in which a clear value
// is written.
TEST_CASE("settings: milliseconds as fractions, and names of hosts") {
  const std::vector<std::pair<std::string, std::chrono::milliseconds>> cases = {
      {"1000.0", std::chrono::milliseconds(1000)},
      {"1e3", std::chrono::milliseconds(1000)},
      {"999.6", std::chrono::milliseconds(1000)},
      {"0.2", std::chrono::milliseconds(0)},
      {"600000.0", std::chrono::milliseconds(600'000)}};
  for (const auto& each : cases) {
    CAPTURE(each.first);
    std::string text = kGood;
    text += "[stop]\nready_delay_ms = ";
    text += each.first;
    auto parsed = ParseSettings(text);
    REQUIRE(parsed.ok());
    CHECK(parsed.value().ready_delay == each.second);
  }
  std::string text = kGood;
  text.replace(text.find("e0"), 2, "e0.north.example");
  auto parsed = ParseSettings(text);
  REQUIRE(parsed.ok());
  CHECK(parsed.value().instance == instance_id("e0.north.example"));
}

TEST_CASE("settings: each wrong key is named with its line") {
  struct bad_case {
    std::string from;
    std::string to;
    settings_problem expected;
  };
  const std::vector<bad_case> cases = {
      {"id = \"e0\"",
       "id = \"\"",
       {2, "instance.id",
        "must be a name of letters, digits, '-', '_' and '.'"}},
      {"id = \"e0\"",
       "id = \"e/0\"",
       {2, "instance.id",
        "must be a name of letters, digits, '-', '_' and '.'"}},
      {"id = \"e0\"\n", "", {1, "instance.id", "is missing"}},
      {"\"127.0.0.1:2\"",
       "\"localhost:2\"",
       {6, "listen.operators", "must be \"IP:PORT\" with an IPv4 number"}},
      {"\"127.0.0.1:2\"",
       "5",
       {6, "listen.operators", "must be \"IP:PORT\" with an IPv4 number"}},
      {"00112233445566778899aabbccddeeff",
       "0011",
       {11, "peers.key", "must have at least 32 hex digits"}},
      {"[peers]\n",
       "[peers]\nkye = 1\n",
       {11, "peers.kye", "is not a known key"}},
      {"[platform]",
       "[stop]\nready_delay_ms = -1\n[platform]",
       {9, "stop.ready_delay_ms",
        "must be whole milliseconds from 0 to 600000"}},
      {"[platform]",
       "[stop]\nready_delay_ms = 600000.5\n[platform]",
       {9, "stop.ready_delay_ms",
        "must be whole milliseconds from 0 to 600000"}},
      {"[platform]",
       "[stop]\nready_delay_ms = true\n[platform]",
       {9, "stop.ready_delay_ms",
        "must be whole milliseconds from 0 to 600000"}},
      {"[platform]",
       "[stop]\nready_delay_ms = nan\n[platform]",
       {9, "stop.ready_delay_ms",
        "must be whole milliseconds from 0 to 600000"}},
      {"[platform]", "[lgo]\n[platform]", {8, "lgo", "is not a known table"}},
  };
  for (const bad_case& each : cases) {
    CAPTURE(each.to);
    std::string text = kGood;
    text.replace(text.find(each.from), each.from.size(), each.to);
    auto parsed = ParseSettings(text);
    REQUIRE_FALSE(parsed.ok());
    REQUIRE(parsed.error().size() == 1);
    CHECK(parsed.error()[0].ToString("f") == each.expected.ToString("f"));
  }
  auto broken = ParseSettings("[instance\n");
  REQUIRE_FALSE(broken.ok());
  CHECK(broken.error()[0].line == 1);
  CHECK(ParseSettings("").error().size() == 7);
}

}  // namespace
}  // namespace jasminedyke
