// Configuration, registrations, settings and jobs from outside: what is taken
// and what is refused.

#include <string>

#include <doctest/doctest.h>

#include "document_codec.h"
#include "job_ingress.h"
#include "platform_settings.h"
#include "routing_document.h"
#include "wire_text.h"

namespace jasminedyke {

namespace {

// Of an upstream that is leaving.
nlohmann::json GoodRow() {
  return nlohmann::json::parse(R"({"service":"s",
    "address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,
    "state":"draining","cold_remaining_ms":0,"sequence":4,
    "labels":["a","r1-3"],"capacity":{"cpu":16000,"mem_mb":10,"gpus":1}})");
}

feed_row Row(uint64_t version, const nlohmann::json& value) {
  return {version, value.dump()};
}

}  // namespace

TEST_CASE("document_codec: a configuration") {
  auto config = ParseRoutingConfig(R"({"version":7,
    "routes":[{"name":"r","hostname":"h.example","path_prefix":"/a/",
      "timeout_ms":1500,"target_latency_ms":60,"priority":2,"service":"s",
      "max_attempts":3,"stretch":1.6}],
    "services":[{"name":"s","max_connections":64,"admission_check":false}],
    "limits":{"max_body_bytes":1000}})");
  REQUIRE(config);
  CHECK(config->version == config_version(7));
  CHECK(config->routes[0].target_latency == std::chrono::milliseconds(60));
  CHECK(config->routes[0].stretch == 1.6);
  CHECK(!config->services.at("s").guarded);
  CHECK(config->max_body_bytes == 1000);
  for (const char* wrong :
       {"", "[]", "{}", R"({"version":0,"routes":[]})", R"({"version":4})",
        R"({"version":"x","routes":[]})", R"({"version":-4,"routes":[]})",
        R"({"version":4,"routes":[)", R"({"version":4,"routes":[]}x)"}) {
    CAPTURE(wrong);
    CHECK(!ParseRoutingConfig(wrong));
  }
}

// Guards against the cost of documents that are of no use.
TEST_CASE("document_codec: a configuration that is not newer") {
  const std::string kText = R"({"version":7,"routes":[{"hostname":"h"}]})";
  auto config = ParseRoutingConfig(kText, config_version(7));
  REQUIRE(config);
  CHECK(config->version == config_version(7));
  CHECK(config->routes.empty());
  config = ParseRoutingConfig(kText, config_version(6));
  REQUIRE(config);
  CHECK(config->routes.size() == 1);
}

// Guards against sums that overflow: each job of the route would be refused.
TEST_CASE("document_codec: times of routes have bounds") {
  auto config = ParseRoutingConfig(R"({"version":7,"routes":[
      {"name":"a","timeout_ms":9007199254740991,"stretch":1e17,
       "target_latency_ms":9007199254740991},
      {"name":"b","timeout_ms":8900000000000000000,
       "target_latency_ms":8e18},
      {"name":"c","timeout_ms":-5,"target_latency_ms":-8e18,"stretch":-1}]})");
  REQUIRE(config);
  REQUIRE(config->routes.size() == 3);
  constexpr duration kLongest = std::chrono::hours(24 * 30);
  CHECK(config->routes[0].timeout == kLongest);
  CHECK(config->routes[0].target_latency == kLongest);
  CHECK(config->routes[0].stretch == 1000);
  CHECK(config->routes[1].timeout == kLongest);
  CHECK(config->routes[1].target_latency == kLongest);
  CHECK(config->routes[2].timeout == duration::zero());
  CHECK(config->routes[2].target_latency == duration::zero());
  CHECK(config->routes[2].stretch == 0);
}

TEST_CASE("document_codec: a configuration that is written is read again") {
  auto config = ParseRoutingConfig(R"({"version":7,
    "routes":[{"name":"r","hostname":"h.example","path_prefix":"/a/",
      "timeout_ms":1500,"target_latency_ms":60,"priority":2,"service":"s",
      "max_attempts":3,"stretch":1.6}],
    "services":[{"name":"s","max_connections":64,"admission_check":false,
      "health_path":"/h"}],
    "limits":{"max_header_bytes":9,"max_body_bytes":1000}})");
  REQUIRE(config);
  auto again = ParseRoutingConfig(WriteRoutingConfig(*config));
  REQUIRE(again);
  CHECK(*again == *config);
}

TEST_CASE("document_codec: registrations that make no sense are left out") {
  // Other programs write to the table as well. A caller's task that is sent to
  // what such a row names fails or never ends, so a row with any field missing,
  // of another type or of an unknown state names no upstream; others hold.
  const nlohmann::json kGood = GoodRow();
  struct wrong_field {
    const char* path;
    nlohmann::json value;
  };
  const wrong_field kWrong[] = {
      {"/service", 7},
      {"/service", ""},
      {"/address", "nowhere"},
      {"/address", nullptr},
      {"/zone", nlohmann::json::array()},
      {"/zone", ""},
      {"/version", 1},
      {"/slots", "8"},
      {"/slots", -1},
      {"/state", "melting"},
      {"/state", 1},
      {"/state", ""},
      {"/cold_remaining_ms", "soon"},
      {"/sequence", 1e300},
      {"/labels", "a"},
      {"/labels", {1}},
      {"/capacity", 16000},
      {"/capacity/cpu", "16000"},
      {"/capacity/cpu", 1e300},
      {"/capacity/mem_mb", -5},
      {"/capacity/gpus", true},
      {"/born", "1700000000123"},
      {"/born", 1.5},
      {"/born", nullptr},
      {"/born", -1},
  };
  table_snapshot table;
  table.rows["good"] = Row(1, kGood);
  for (const wrong_field& each : kWrong) {
    nlohmann::json row = kGood;
    row[nlohmann::json::json_pointer(each.path)] = each.value;
    table.rows[each.path + each.value.dump()] = Row(1, row);
  }
  for (const char* missing : {"service", "address", "zone", "version", "slots",
                              "state", "sequence", "labels", "capacity"}) {
    nlohmann::json row = kGood;
    row.erase(missing);
    table.rows[missing] = Row(1, row);
  }
  table.rows["text"] = Row(1, "text");
  table.rows["null"] = Row(1, nullptr);
  table.rows["list"] = Row(1, nlohmann::json::array({1}));
  upstream_registry registry = upstream_rows().Parse(table);
  for (const auto& [id, info] : registry)
    CHECK(id == upstream_id("good"));
  REQUIRE(registry.size() == 1);
  const upstream_info& info = registry.begin()->second;
  CHECK(info.draining);
  // Deployments whose upstreams never come back under an id don't tell it.
  CHECK(info.birth == upstream_birth());
  CHECK(info.rack == rack_id("r1-3"));
  CHECK(info.capacity == resource_amount{16000, 10, 1});
}

TEST_CASE("document_codec: registrations that change between two readings") {
  // A home that misses that an upstream is leaving starts tasks there until it
  // is gone. What was parsed before counts only as long as the row stands.
  const nlohmann::json kGood = GoodRow();
  upstream_rows rows(failure_domain_id("z"));
  table_snapshot table;
  table.rows["stays"] = Row(1, kGood);
  nlohmann::json ready = kGood;
  ready["state"] = "ready";
  table.rows["leaves"] = Row(2, ready);
  nlohmann::json elsewhere = kGood;
  elsewhere["zone"] = "another";
  table.rows["elsewhere"] = Row(3, elsewhere);
  upstream_registry registry = rows.Parse(table);
  REQUIRE(registry.size() == 2);
  CHECK(!registry.at(upstream_id("leaves")).draining);
  table.rows["leaves"] = Row(4, kGood);
  table.rows.erase("stays");
  registry = rows.Parse(table);
  REQUIRE(registry.size() == 1);
  CHECK(registry.at(upstream_id("leaves")).draining);
  // Back under its id after a crash.
  nlohmann::json reborn = kGood;
  reborn["born"] = 1'700'000'000'123;
  table.rows["leaves"] = Row(5, reborn);
  registry = rows.Parse(table);
  CHECK(registry.at(upstream_id("leaves")).birth ==
        upstream_birth(1'700'000'000'123));
}

TEST_CASE("wire_text: names of tasks") {
  task_name task{job_key("5c0e7a21d94b36f8"), 0, {1, 17}};
  CHECK(ToWireName(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(ParseWireName(ToWireName(task)) == task);
  for (const char* wrong : {"", "a", "a.0.1", "a.0.x.1", ".0.0.0", "a.0.0."}) {
    CAPTURE(wrong);
    CHECK(!ParseWireName(wrong));
  }
}

TEST_CASE("job_ingress: bodies of jobs") {
  route where;
  where.name = "stock-check";
  where.service = "s";
  where.max_attempts = 2;
  auto good = ParseJob("00000000000000aa", where,
                       R"({"spec":"x","best_effort":true,"steps":[
      {"task_count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,
       "affinity":"r1-3"},
      {"task_count":2,"after":[0]}]})");
  REQUIRE(good.ok());
  CHECK(good.value().steps[0].tasks == 4);
  CHECK(good.value().steps[0].rack == rack_id("r1-3"));
  CHECK(good.value().steps[1].after == std::vector<uint32_t>{0});
  struct wrong_body {
    const char* body;
    const char* where;
  };
  const wrong_body kWrong[] = {
      {"", "body"},
      {"[]", "body"},
      {R"({"spec":"x"})", "steps"},
      {R"({"steps":[{"task_count":0}]})", "steps[0].task_count"},
      {R"({"steps":[{"task_count":1,"after":[0]}]})", "steps[0].after"},
      {R"({"steps":[{"task_count":1},{"after":["x"]}]})", "steps[1].after"},
  };
  for (const wrong_body& each : kWrong) {
    CAPTURE(each.body);
    auto job = ParseJob("00000000000000aa", where, each.body);
    REQUIRE(!job.ok());
    CHECK(job.error().where == each.where);
  }
}

TEST_CASE("drained domains: rows that make no sense change nothing") {
  table_snapshot table;
  table.version = 140;
  table.rows["config"] = Row(7, nlohmann::json::object());
  table.rows["evacuate/north"] = Row(120, nlohmann::json::object());
  table.rows["evacuate/south"] = Row(130, {{"later", "field"}});
  table.rows["evacuate/east"] = Row(131, "text");
  table.rows["evacuate/west"] = Row(132, nullptr);
  table.rows["evacuate/nowhere"] = Row(133, nlohmann::json::object());
  table.rows["evacuate/"] = Row(134, nlohmann::json::object());
  table.rows["evacuated"] = Row(135, nlohmann::json::object());
  std::set<failure_domain_id> known;
  for (const char* name : {"north", "south", "east", "west"})
    known.emplace(name);
  drained_domains drained = ParseDrainedDomains(table, known);
  CHECK(drained.as_of == store_version(140));
  CHECK(drained.domains ==
        std::set{failure_domain_id("north"), failure_domain_id("south")});
}

// Guards against a daemon that doesn't start where the platform has no limit, a
// longer one than the daemon needs, or writes whole numbers as fractions.
TEST_CASE("platform_settings: limits that are absent, long or fractions") {
  auto settings = ParsePlatformSettings(R"([instance]
id = "edge-1.north.example"
failure_domain = "north.example"
failure_domains = ["north.example", "south.example"]
cores = 1
link_mbps = 0.0
[listen]
callers = "10.0.0.1:80"
balancer = "10.0.0.1:81"
peers = "10.0.0.1:82"
metrics = "10.0.0.1:83"
[store]
address = "10.0.0.9:80"
[upstreams]
longest_lease_ms = 120000.0
drain_bound_ms = 86400000
[callers]
resend_after_ms = 1300.4
[stop]
grace_s = 6
)");
  REQUIRE(settings.ok());
  CHECK(settings.value().link_mbps == 0);
  CHECK(settings.value().longest_lease == std::chrono::minutes(1));
  CHECK(settings.value().drain_bound == std::chrono::minutes(10));
  CHECK(settings.value().resend_after == std::chrono::milliseconds(1300));
}

TEST_CASE("platform_settings: a wrong file names each key and its line") {
  auto settings = ParsePlatformSettings(R"([instance]
id = "edge-1"
failure_domain = "north"
cores = 0
[listen]
callers = "10.0.0.1:80"
balancer = "nowhere"
peers = "10.0.0.1:82"
metrics = "10.0.0.1:83"
[store]
address = "10.0.0.9:80"
[upstreams]
longest_lease_ms = 1000
colour = "red"
)");
  REQUIRE(!settings.ok());
  std::vector<std::string> found;
  for (const settings_problem& problem : settings.error())
    found.push_back(problem.ToString("f"));
  CHECK(found == std::vector<std::string>{
                     "f:4: instance.cores must be a number above 0",
                     "f:7: listen.balancer must be \"IP:PORT\" with an IPv4 "
                     "number",
                     "f: stop.grace_s is missing",
                     "f:14: upstreams.colour is not a known key"});
}

}  // namespace jasminedyke
