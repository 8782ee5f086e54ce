// Instances as a whole: planned stops, administration, the platform's faults.

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/test_cluster.h"

namespace jasminedyke {
namespace {

using nlohmann::json;

bool WaitForVersion(test_cluster& c, int entry, uint64_t version) {
  return RunUntil(c.loop, [&] {
    json state =
        BodyOf(c.CallAdmin(entry, http_method::kGet, "/admin/v1/state"));
    return state["versions"]["configuration"] == version;
  });
}

// Of an instance whose platform does not answer.
daemon_settings WithoutPlatform() {
  daemon_settings settings;
  settings.instance = instance_id("e0");
  settings.failure_domain = failure_domain_id("d");
  settings.callers = settings.operators = settings.peers = {"127.0.0.1", 0};
  settings.platform = {"127.0.0.1", 1};
  settings.peer_key = std::string(32, 'k');
  return settings;
}

// Three instances under load are stopped one after the other. Callers follow
// /readyz. Every request that was taken gets its whole answer, a late one is
// refused as not run, and all usage is in the store at the end.
TEST_CASE("instance: a planned stop cuts off no request") {
  test_cluster c(3);
  std::vector<std::shared_ptr<std::optional<http_result>>> answers;
  int stopped = 0;
  for (int victim = 0; victim < 3; ++victim) {
    for (int i = 0; i < 20; ++i)
      answers.push_back(c.Start(
          c.entries[victim]->callers_address(), http_method::kPost, "/v1/jobs",
          "lahore-token",
          R"({"class":"stock-check","tasks":[{"payload":"{\"run_ms\":40}"},)"
          R"({"payload":"{\"run_ms\":80}"}]})"));
    c.entries[victim]->Stop([&] { ++stopped; });
    // A second signal changes nothing.
    c.entries[victim]->Stop([&] { stopped += 100; });
    http_result ready = c.Call(c.entries[victim]->operators_address(),
                               http_method::kGet, "/readyz", "");
    CHECK(ready.value().status == 503);
    REQUIRE(RunUntil(c.loop, [&] { return stopped == victim + 1; }));
    c.entries[victim].reset();
  }
  uint64_t complete = 0;
  for (auto& answer : answers) {
    REQUIRE(c.WaitFor(answer));
    REQUIRE((*answer)->ok());
    json body = BodyOf(**answer);
    bool whole = body["state"] == "complete" && body["answers"].size() == 2;
    bool refused = body["state"] == "refused" && body["run"] == "not_run";
    CHECK((whole || refused));
    complete += whole;
  }
  CHECK(complete > 0);
  json total = c.platform.Get("usage_totals", "lahore");
  CHECK(total["tasks"] == complete * 2);
}

TEST_CASE("instance: a change is in force on all when it is answered") {
  test_cluster c(3);
  http_result changed =
      c.CallAdmin(0, http_method::kPut, "/admin/v1/classes/stock-check",
                  R"({"target_ms":123})", {{"If-Match", "1"}});
  REQUIRE(changed.ok());
  CHECK(changed.value().status == 200);
  json body = BodyOf(changed);
  CHECK(body["version"] == 2);
  CHECK(body["in_force"] == 3);
  CHECK(body["instances"] == 3);
  for (int entry = 0; entry < 3; ++entry) {
    json read = BodyOf(
        c.CallAdmin(entry, http_method::kGet, "/admin/v1/classes/stock-check"));
    CHECK(read["target_ms"] == 123);
  }
  // The second of two operators with the same base gets a conflict.
  http_result late =
      c.CallAdmin(1, http_method::kPut, "/admin/v1/classes/stock-check",
                  R"({"target_ms":456})", {{"If-Match", "1"}});
  CHECK(late.value().status == 412);
  CHECK(BodyOf(late)["reason"] == "conflict");
}

TEST_CASE("instance: bad changes and strangers change nothing") {
  struct bad_case {
    const char* name;
    http_method method;
    std::string path;
    std::string token;
    std::string body;
    int status;
    std::string names;
  };
  const std::vector<bad_case> cases = {
      {"no token", http_method::kPut, "/admin/v1/classes/a", "", "{}", 401, ""},
      {"a team's token", http_method::kPut, "/admin/v1/classes/a",
       "lahore-token", "{}", 401, ""},
      {"wrong value", http_method::kPut, "/admin/v1/classes/a", "admin-token",
       R"({"target_ms":"soon"})", 400, "classes.a.target_ms"},
      {"unknown field", http_method::kPut, "/admin/v1/classes/a", "admin-token",
       R"({"weight":3})", 400, "classes.a.weight"},
      {"token instead of digest", http_method::kPut, "/admin/v1/teams/t",
       "admin-token", R"({"token_sha256":["secret"]})", 400,
       "teams.t.token_sha256"},
      {"bad name", http_method::kPut, "/admin/v1/classes/a%20b", "admin-token",
       "{}", 400, "classes.a%20b"},
      {"delete of nothing", http_method::kDelete, "/admin/v1/teams/none",
       "admin-token", "", 400, "teams.none"},
      {"whole document without If-Match", http_method::kPut,
       "/admin/v1/configuration", "admin-token", "{}", 428, ""},
      {"no JSON", http_method::kPut, "/admin/v1/classes/a", "admin-token", "{",
       400, ""},
  };
  test_cluster c(1);
  for (const bad_case& each : cases) {
    CAPTURE(each.name);
    http_result result = c.Call(c.entries[0]->operators_address(), each.method,
                                each.path, each.token, each.body);
    CHECK(result.value().status == each.status);
    CHECK(BodyOf(result)["run"] == "not_run");
    CHECK(result.value().body.find(each.names) != std::string::npos);
  }
  json read =
      BodyOf(c.CallAdmin(0, http_method::kGet, "/admin/v1/configuration"));
  CHECK_FALSE(read.contains("changes"));
}

// The store goes down while an operator's change is half done: its write took
// effect and the reply was lost. The operator is told the truth, and the
// instances agree.
TEST_CASE("instance: the store fails in the middle of a change") {
  test_cluster c(2);
  c.platform.SetFaults({.outage = false, .lose_reply = 1});
  auto answer = c.Start(c.entries[0]->operators_address(), http_method::kPut,
                        "/admin/v1/classes/stock-check", "admin-token",
                        R"({"target_ms":77})");
  REQUIRE(RunUntil(c.loop, [&] { return c.platform.writes() >= 1; }));
  c.platform.SetFaults({.outage = true});
  for (int i = 0; i < 100; ++i)
    RunUntil(c.loop,
             [once = false]() mutable { return std::exchange(once, true); });
  c.platform.SetFaults({});
  REQUIRE(c.WaitFor(answer));
  CHECK((*answer)->value().status == 200);
  for (int entry : {0, 1})
    CHECK(WaitForVersion(c, entry, 2));
  CHECK(c.platform.Get("configuration", "current")["changes"].size() == 1);
}

// The platform is away. Jobs go on; state tells how old the knowledge is; a
// new instance serves on what one peer tells it.
TEST_CASE("instance: without the platform all go on with what they know") {
  test_cluster c(2);
  c.platform.SetFaults({.outage = true});
  CHECK(c.SubmitJob(0, R"([{"payload":"a"}])").value().status == 200);
  http_result change = c.CallAdmin(0, http_method::kGet, "/admin/v1/state");
  CHECK(BodyOf(change)["versions"]["membership_age_ms"].is_number());
  CHECK(c.SubmitJob(1, R"([{"payload":"b"}])").value().status == 200);
}

TEST_CASE("instance: it is not ready without configuration, and says why") {
  event_loop loop;
  instance alone(loop, WithoutPlatform(), OpenNow(WithoutPlatform()));
  http_connection connection(loop, alone.operators_address(),
                             http_client_limits());
  std::optional<http_result> ready;
  connection.Send({http_method::kGet, "/readyz", {}, ""},
                  std::chrono::seconds(60),
                  [&](http_result r) { ready = std::move(r); });
  REQUIRE(RunUntil(loop, [&] { return ready.has_value(); }));
  CHECK(ready->value().status == 503);
  CHECK(ready->value().body.find("no configuration") != std::string::npos);
}

// A caller with a good token comes before any configuration is known. "Not
// authorized" would make it give up; it is told to come back.
TEST_CASE("instance: callers that come before the configuration") {
  event_loop loop;
  instance alone(loop, WithoutPlatform(), OpenNow(WithoutPlatform()));
  http_connection connection(loop, alone.callers_address(),
                             http_client_limits());
  std::optional<http_result> answer;
  connection.Send({http_method::kPost,
                   "/v1/jobs",
                   {{"Authorization", "Bearer lahore-token"}},
                   "{}"},
                  std::chrono::seconds(60),
                  [&](http_result r) { answer = std::move(r); });
  REQUIRE(RunUntil(loop, [&] { return answer.has_value(); }));
  CHECK(answer->value().status == 503);
  CHECK(FindHeader(answer->value().headers, "Retry-After") != nullptr);
  const std::string* run =
      FindHeader(answer->value().headers, "Jasminedyke-Run");
  REQUIRE(run);
  CHECK(*run == "not-run");
}

// An upstream begins to leave: the list says so, or only its own refusal.
// It gets nothing new, and what runs there ends well.
TEST_CASE("instance: a leaving upstream gets no new work") {
  for (bool by_list : {true, false}) {
    CAPTURE(by_list);
    test_cluster c(2, 2);
    if (by_list) {
      c.upstream_rows[0]["state"] = "leaving";
      c.PublishInstances();
      REQUIRE(RunUntil(c.loop, [&] {
        json state =
            BodyOf(c.CallAdmin(0, http_method::kGet, "/admin/v1/state"));
        json other =
            BodyOf(c.CallAdmin(1, http_method::kGet, "/admin/v1/state"));
        return state["upstreams"][0]["state"] == "leaving" &&
               other["upstreams"][0]["state"] == "leaving";
      }));
    } else {
      upstream_faults faults;
      faults.mode = "leaving";
      c.upstreams[0]->SetFaults(faults);
    }
    for (int i = 0; i < 20; ++i)
      CHECK(c.SubmitJob(i % 2, R"([{"payload":"a"}])").value().status == 200);
    CHECK(c.upstreams[0]->counters().starts == 0);
    // Each instance hears at most a few refusals, then asks no more.
    CHECK(c.upstreams[0]->counters().refused <= 2);
  }
}

TEST_CASE("instance: metrics and status page") {
  test_cluster c(1);
  c.SubmitJob(0, R"([{"payload":"a"}])");
  c.Call(c.entries[0]->callers_address(), http_method::kPost, "/v1/jobs", "x");
  std::string metrics = c.Call(c.entries[0]->operators_address(),
                               http_method::kGet, "/metrics", "")
                            .value()
                            .body;
  for (const char* expected :
       {"# TYPE jasminedyke_jobs_complete_total counter",
        "jasminedyke_jobs_complete_total 1",
        "jasminedyke_caller_refusals_total{reason=\"unauthorized\"} 1",
        "jasminedyke_response_ms{class=\"stock-check\",quantile=\"0.99\"}",
        "jasminedyke_process_cpu_seconds_total"})
    CHECK(metrics.find(expected) != std::string::npos);
  std::string page =
      c.Call(c.entries[0]->operators_address(), http_method::kGet, "/", "")
          .value()
          .body;
  CHECK(page.find("<h1>e0</h1>") != std::string::npos);
  CHECK(page.find("lahore-token") == std::string::npos);
}

}  // namespace
}  // namespace jasminedyke
