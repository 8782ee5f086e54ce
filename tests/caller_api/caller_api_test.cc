// What callers get, for good and bad requests.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/test_cluster.h"

namespace jasminedyke {
namespace {

using nlohmann::json;

uint64_t Starts(const test_cluster& c) {
  uint64_t starts = 0;
  for (const auto& upstream : c.upstreams)
    starts += upstream->counters().starts;
  return starts;
}

// Every bad request says what was wrong and that nothing ran, and nothing did.
TEST_CASE("caller_api: bad requests are refused, not run") {
  std::string too_many = "[";
  for (int i = 0; i < 451; ++i)
    too_many += std::string(i ? "," : "") + R"({"payload":"x"})";
  too_many += "]";
  struct bad_case {
    const char* name;
    http_method method;
    std::string path;
    std::string token;
    std::string body;
    http_headers headers;
    int status;
    std::string reason;
  };
  const std::string job =
      R"({"class":"stock-check","tasks":[{"payload":"a"}]})";
  const std::vector<bad_case> cases = {
      {"no token",
       http_method::kPost,
       "/v1/jobs",
       "",
       job,
       {},
       401,
       "unauthorized"},
      {"wrong token",
       http_method::kPost,
       "/v1/jobs",
       "guess",
       job,
       {},
       401,
       "unauthorized"},
      {"an administrator is no team",
       http_method::kPost,
       "/v1/jobs",
       "admin-token",
       job,
       {},
       401,
       "unauthorized"},
      {"no JSON",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       "{",
       {},
       400,
       "malformed"},
      {"not an object",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       "[]",
       {},
       400,
       "malformed"},
      {"no tasks",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"stock-check","tasks":[]})",
       {},
       400,
       "malformed"},
      {"unknown field",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"stock-check","tasks":[{"payload":"a"}],"x":1})",
       {},
       400,
       "malformed"},
      {"payload is no text",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"stock-check","tasks":[{"payload":5}]})",
       {},
       400,
       "malformed"},
      {"bad base64",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"stock-check","tasks":[{"payload_base64":"!"}]})",
       {},
       400,
       "malformed"},
      {"bad timeout",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"stock-check","timeout_ms":0,"tasks":[{"payload":"a"}]})",
       {},
       400,
       "malformed"},
      {"too many tasks",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"stock-check","tasks":)" + too_many + "}",
       {},
       413,
       "too_many_tasks"},
      {"body too large",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       std::string(17 * 1024 * 1024, ' '),
       {},
       413,
       "body_too_large"},
      {"unknown class",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"nope","tasks":[{"payload":"a"}]})",
       {},
       404,
       "unknown_class"},
      {"no upstream has the memory",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       R"({"class":"stock-check","tasks":[{"payload":"a","memory_mb":9999}]})",
       {},
       422,
       "no_upstream_fits"},
      {"job id of no known form",
       http_method::kPost,
       "/v1/jobs",
       "lahore-token",
       job,
       {{"Jasminedyke-Job", "nonsense"}},
       400,
       "malformed"},
      {"unknown path",
       http_method::kGet,
       "/v2",
       "lahore-token",
       "",
       {},
       404,
       "unknown_path"},
      {"unknown class of request",
       http_method::kPost,
       "/v1/requests/nope",
       "lahore-token",
       "a",
       {},
       404,
       "unknown_class"},
      {"bad idempotent mark",
       http_method::kPost,
       "/v1/requests/stock-check",
       "lahore-token",
       "a",
       {{"Jasminedyke-Idempotent", "maybe"}},
       400,
       "malformed"},
  };
  test_cluster c(1);
  for (const bad_case& each : cases) {
    CAPTURE(each.name);
    http_result result = c.Call(c.entries[0]->callers_address(), each.method,
                                each.path, each.token, each.body, each.headers);
    REQUIRE(result.ok());
    CHECK(result.value().status == each.status);
    json body = BodyOf(result);
    CHECK(body["state"] == "refused");
    CHECK(body["reason"] == each.reason);
    CHECK(body["run"] == "not_run");
    CHECK(*FindHeader(result.value().headers, "Jasminedyke-Run") == "not-run");
  }
  CHECK(Starts(c) == 0);
}

TEST_CASE("caller_api: a job's whole answer, also of bytes that are no text") {
  test_cluster c(1);
  http_result result = c.SubmitJob(
      0, R"([{"payload":"a"},{"payload_base64":"/wA="},{"payload":"c"}])");
  REQUIRE(result.ok());
  CHECK(result.value().status == 200);
  json answers = BodyOf(result)["answers"];
  REQUIRE(answers.size() == 3);
  CHECK(answers[0]["body"] == "answer to a");
  std::string bytes;
  REQUIRE(FromBase64(answers[1]["body_base64"].get<std::string>(), &bytes));
  CHECK(bytes == std::string("answer to \xff\0", 12));
  CHECK(answers[2]["body"] == "answer to c");
}

// The upstream misbehaves in each of its ways. The caller gets the job's
// failure, never a part for the whole, and the task starts at most once.
TEST_CASE("caller_api: the contract with upstreams") {
  struct contract_case {
    const char* mode;
    int status;
    const char* reason;
  };
  const std::vector<contract_case> cases = {
      {"fail_all", 502, "task_failed"},
      {"refuse_plain", 502, "outcome_unknown"},
      {"cut_before_reply", 502, "outcome_unknown"},
      {"cut_in_reply", 502, "outcome_unknown"},
      {"no_length", 502, "outcome_unknown"},
      {"other_task", 502, "outcome_unknown"},
      {"huge_header", 502, "outcome_unknown"},
      {"hang", 504, "timeout"},
      {"refuse_slots", 504, "timeout"},
      {"leaving", 504, "timeout"},
      {"reply_twice", 200, ""},
      {"ok", 200, ""},
  };
  for (const contract_case& each : cases) {
    CAPTURE(each.mode);
    test_cluster c(1, 1);
    upstream_faults faults;
    faults.mode = each.mode;
    c.upstreams[0]->SetFaults(faults);
    http_result result =
        c.Call(c.entries[0]->callers_address(), http_method::kPost, "/v1/jobs",
               "lahore-token",
               R"({"class":"reservation-hold","timeout_ms":300,)"
               R"("tasks":[{"payload":"a"}]})");
    REQUIRE(result.ok());
    CHECK(result.value().status == each.status);
    json body = BodyOf(result);
    if (each.status == 200)
      CHECK(body["answers"][0]["body"] == "answer to a");
    else
      CHECK(body["reason"] == each.reason);
    CHECK(Starts(c) <= 1);
    CHECK(c.upstreams[0]->counters().doubled == 0);
  }
}

// A caller that fears lost replies mints an id and submits three times, also
// at another instance; the work runs once and every submission gets the whole
// answer.
TEST_CASE("caller_api: one run for a minted id, wherever it is submitted") {
  test_cluster c(2);
  http_result minted =
      c.Call(c.entries[0]->callers_address(), http_method::kPost, "/v1/job-ids",
             "lahore-token");
  std::string id = BodyOf(minted)["job"];
  http_headers headers = {{"Jasminedyke-Job", id}};
  std::string tasks = R"([{"payload":"a"},{"payload":"b"}])";
  for (int entry : {0, 1, 1}) {
    http_result result = c.SubmitJob(entry, tasks, headers);
    REQUIRE(result.ok());
    CHECK(result.value().status == 200);
    CHECK(BodyOf(result)["answers"][1]["body"] == "answer to b");
  }
  CHECK(Starts(c) == 2);
  // Other bodies under the same id, and other teams, get nothing.
  CHECK(c.SubmitJob(1, R"([{"payload":"z"}])", headers).value().status == 409);
  for (int entry : {0, 1}) {
    http_result stolen =
        c.Call(c.entries[entry]->callers_address(), http_method::kGet,
               "/v1/jobs/" + id, "karachi-token");
    CHECK(stolen.value().status == 404);
    http_result own =
        c.Call(c.entries[entry]->callers_address(), http_method::kGet,
               "/v1/jobs/" + id, "lahore-token");
    CHECK(own.value().status == 200);
  }
  CHECK(Starts(c) == 2);
}

// The owner dies and is replaced under its id. Nobody knows whether the job
// ran: whoever asks is told that it is lost, and nothing runs again.
TEST_CASE("caller_api: a job whose owner is gone is lost") {
  test_cluster c(2);
  http_result minted =
      c.Call(c.entries[0]->callers_address(), http_method::kPost, "/v1/job-ids",
             "lahore-token");
  std::string id = BodyOf(minted)["job"];
  c.StartEntry(0);
  REQUIRE(c.WaitUntilReady(0));
  for (int entry : {0, 1}) {
    json body;
    // Until the other instance has its link to the new incarnation.
    RunUntil(c.loop, [&] {
      body = BodyOf(c.SubmitJob(entry, R"([{"payload":"a"}])",
                                {{"Jasminedyke-Job", id}}));
      return body["reason"] != "owner_unreachable";
    });
    CHECK(body["reason"] == "lost");
    CHECK(body["run"] == "maybe_run");
  }
  CHECK(Starts(c) == 0);
}

// The caller hangs up while its job waits and runs. The waiting tasks must
// not start.
TEST_CASE("caller_api: a hang-up cancels a job that nobody else can know") {
  test_cluster c(1, 1);
  std::string tasks = "[";
  for (int i = 0; i < 30; ++i)
    tasks += std::string(i ? "," : "") + R"({"payload":"{\"run_ms\":2000}"})";
  std::string body = R"({"class":"stock-check","tasks":)" + tasks + "]}";
  raw_client caller(c.entries[0]->callers_address());
  caller.Write(
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
      "lahore-token\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  REQUIRE(RunUntil(c.loop, [&] { return Starts(c) == 8; }));
  caller.Close();
  // The running ones are asked to stop: two seconds is worth a message.
  REQUIRE(RunUntil(c.loop,
                   [&] { return c.upstreams[0]->counters().stopped == 8; }));
  CHECK(c.SubmitJob(0, R"([{"payload":"a"}])").value().status == 200);
  CHECK(Starts(c) == 9);
}

TEST_CASE("caller_api: a job is cancelled through another instance") {
  test_cluster c(2, 1);
  http_result minted =
      c.Call(c.entries[0]->callers_address(), http_method::kPost, "/v1/job-ids",
             "lahore-token");
  std::string id = BodyOf(minted)["job"];
  auto waiting = c.Start(
      c.entries[0]->callers_address(), http_method::kPost, "/v1/jobs",
      "lahore-token",
      R"({"class":"stock-check","tasks":[{"payload":"{\"run_ms\":60000}"}],)"
      R"("timeout_ms":50000})",
      {{"Jasminedyke-Job", id}});
  REQUIRE(RunUntil(c.loop, [&] { return Starts(c) == 1; }));
  http_result cancelled =
      c.Call(c.entries[1]->callers_address(), http_method::kDelete,
             "/v1/jobs/" + id, "lahore-token");
  CHECK(BodyOf(cancelled)["reason"] == "cancelled");
  REQUIRE(c.WaitFor(waiting));
  CHECK(BodyOf(**waiting)["reason"] == "cancelled");
}

TEST_CASE("caller_api: a single request gets the upstream's own reply") {
  test_cluster c(1, 2);
  http_result result =
      c.Call(c.entries[0]->callers_address(), http_method::kPost,
             "/v1/requests/stock-check", "lahore-token", "axle box");
  REQUIRE(result.ok());
  CHECK(result.value().body == "answer to axle box");
  CHECK(*FindHeader(result.value().headers, "Content-Type") == "text/plain");

  // One of two upstreams cuts every reply. Marked idempotent, the request
  // succeeds on the other; a hold fails after one start.
  for (bool idempotent : {true, false}) {
    CAPTURE(idempotent);
    upstream_faults faults;
    faults.mode = "cut_before_reply";
    c.upstreams[0]->SetFaults(faults);
    c.upstreams[1]->SetFaults(idempotent ? upstream_faults() : faults);
    uint64_t before = Starts(c);
    http_result one =
        c.Call(c.entries[0]->callers_address(), http_method::kPost,
               "/v1/requests/reservation-hold", "lahore-token", "hold",
               {{"Jasminedyke-Idempotent", idempotent ? "true" : "false"}});
    CHECK(one.value().status == (idempotent ? 200 : 502));
    if (!idempotent)
      CHECK(Starts(c) == before + 1);
  }
}

}  // namespace
}  // namespace jasminedyke
