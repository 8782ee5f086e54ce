// The template of the operators' platform, filled in with values that lack.

#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"
#include "platform_settings.h"

namespace jasminedyke {
namespace {

using fields = std::map<std::string, std::string>;

const fields kAll = {
    {"node_name", "edge-1"},
    {"zone", "north"},
    {"limits.cpu_share", "0.25"},
    {"limits.link_mbps", "1000.0"},
    {"limits.memory_mb", "260"},
    {"listen_addresses.frontend", "127.0.0.1:0"},
    {"listen_addresses.ready", "127.0.0.1:0"},
    {"ip", "127.0.0.1"},
    {"internal_port_range.0", "0"},
    {"platform.address", "127.0.0.1:1"},
    {"bounds.max_hold_ms", "1000"},
    {"bounds.evacuation_ms", "2000"},
    {"bounds.resend_ms", "1300"},
    {"bounds.grace_period_s", "6"},
};

void Replace(std::string& text,
             const std::string& from,
             const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

void RemoveBetween(std::string& text,
                   const std::string& begin,
                   const std::string& end) {
  size_t from = text.find(begin);
  if (from == std::string::npos)
    return;
  size_t to = text.find(end, from);
  REQUIRE(to != std::string::npos);
  text.erase(from, to + end.size() - from);
}

// As the platform renders it: nothing for what has no value.
std::string Fill(const fields& values, const std::vector<std::string>& zones) {
  std::ifstream file(TEMPLATE);
  std::string text(std::istreambuf_iterator<char>(file), {});
  REQUIRE_FALSE(text.empty());
  std::string list;
  for (const std::string& zone : zones)
    list += (list.empty() ? "\"" : ", \"") + zone + "\"";
  Replace(text, "{{#zones}}\"{{@}}\"{{,}} {{/zones}}", list);
  // A port that is free then.
  Replace(text, ":9464", ":0");
  for (const auto& [name, unused] : kAll) {
    auto found = values.find(name);
    if (found == values.end())
      RemoveBetween(text, "{{#" + name + "}}", "{{/" + name + "}}");
    Replace(text, "{{#" + name + "}}", "");
    Replace(text, "{{/" + name + "}}", "");
    Replace(text, "{{" + name + "}}",
            found == values.end() ? "" : found->second);
  }
  REQUIRE(text.find("{{") == std::string::npos);
  return text;
}

std::string Without(const std::string& name,
                    const std::vector<std::string>& zones = {"north",
                                                             "south"}) {
  fields values = kAll;
  REQUIRE(values.erase(name) == 1);
  return Fill(values, zones);
}

std::string With(const std::string& name, const std::string& value) {
  fields values = kAll;
  values[name] = value;
  return Fill(values, {"north", "south"});
}

// Guards against a template that the daemon can't read.
TEST_CASE("settings: the template with all values") {
  auto settings = ParsePlatformSettings(Fill(kAll, {"north", "south"}));
  REQUIRE(settings.ok());
  CHECK(settings.value().defaulted.empty());
  CHECK(settings.value().awaited.empty());
  CHECK(settings.value().instance.str() == "edge-1");
  CHECK(settings.value().cores == 0.25);
  CHECK(settings.value().longest_lease == std::chrono::seconds(1));
  CHECK(settings.value().stop_grace == std::chrono::seconds(6));
}

// Guards against an instance that ends at each start for want of a value that a
// careful one can stand in for.
TEST_CASE("settings: a value with a safe stand-in may lack") {
  struct lacking_case {
    std::string text;
    std::string key;
  };
  const std::vector<lacking_case> cases = {
      {Without("limits.cpu_share"), "instance.cores"},
      {With("limits.cpu_share", "0"), "instance.cores"},
      {Without("bounds.max_hold_ms"), "upstreams.longest_lease_ms"},
      {Without("bounds.grace_period_s"), "stop.grace_s"},
      {Without("zone", {"north"}), "instance.failure_domain"},
  };
  for (const lacking_case& each : cases) {
    CAPTURE(each.key);
    auto settings = ParsePlatformSettings(each.text);
    REQUIRE(settings.ok());
    CHECK(settings.value().awaited.empty());
    REQUIRE(settings.value().defaulted.size() == 1);
    CHECK(settings.value().defaulted[0].key == each.key);
    CHECK(settings.value().failure_domain.str() == "north");
    CHECK(settings.value().cores > 0);
    CHECK(settings.value().longest_lease > duration::zero());
    CHECK(settings.value().stop_grace > duration::zero());
  }
}

// Guards against an instance that ends at each start since the platform has no
// value yet without which none can serve.
TEST_CASE("settings: a value without a stand-in is waited for") {
  for (const auto& [name, key] :
       fields{{"zone", "instance.failure_domain"},
              {"platform.address", "store.address"}}) {
    auto settings = ParsePlatformSettings(Without(name));
    REQUIRE(settings.ok());
    REQUIRE(settings.value().awaited.size() == 1);
    CHECK(settings.value().awaited[0].key == key);
  }
}

// Guards against an instance that ends at each start for its machine's name.
TEST_CASE("settings: an instance on a machine of any name") {
  std::set<instance_id> seen;
  for (const char* name :
       {"edge:1", "edge 1", "edge/1", "ed\u00fce 1", "edge-1"}) {
    auto settings = ParsePlatformSettings(With("node_name", name));
    REQUIRE(settings.ok());
    std::string id = settings.value().instance.str();
    CAPTURE(id);
    CHECK(id.starts_with("ed"));
    CHECK(id.find_first_of(":/ ") == std::string::npos);
    CHECK(seen.insert(settings.value().instance).second);
  }
}

// Guards against a daemon that ends rather than to begin with careful values.
TEST_CASE("a daemon starts without values that have a stand-in") {
  for (const char* each :
       {"limits.cpu_share", "bounds.max_hold_ms", "bounds.grace_period_s"}) {
    daemon_process daemon(Without(each));
    CHECK_MESSAGE(daemon.WaitForLine("event=settings_default"), daemon.log());
    CHECK_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  }
}

// Guards against a daemon that ends again and again, and one that misses the
// value that it waits for.
TEST_CASE("a daemon waits for the store's address") {
  daemon_process daemon(Without("platform.address"));
  CHECK_MESSAGE(daemon.WaitForLine("event=settings_awaited"), daemon.log());
  daemon.WriteSettings(Fill(kAll, {"north", "south"}));
  CHECK_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
}

}  // namespace
}  // namespace jasminedyke
