// Orders to upstreams in the wire form, against a stand-in and against raw
// answers.

#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/raw_socket.h"
#include "run_calls.h"
#include "standin/worker_standin.h"

namespace jasminedyke {

namespace {

const upstream_id kUpstream("u1");
const task_name kTask{job_key("00000000000000aa"), 0, {0, 1}};

// Answers each call with one reply.
struct canned_upstream {
  explicit canned_upstream(const http_reply& reply)
      : server(loop, http_server_limits(), [reply](const http_exchange_ptr& e) {
          e->Reply(reply);
        }) {
    address = server.Listen({"127.0.0.1", 0});
  }

  start_reply Start() {
    run_calls calls(loop,
                    [&](const upstream_id&) { return address.ToString(); });
    std::optional<start_reply> result;
    calls.Start(kUpstream,
                {kTask, run_number(1), "5", fencing_token(1), {9'999'999}},
                [&](const start_reply& r) { result = r; });
    RunUntil(loop, [&] { return result.has_value(); });
    return *result;
  }

  hold_reply Hold() {
    run_calls calls(loop,
                    [&](const upstream_id&) { return address.ToString(); });
    std::optional<hold_reply> result;
    calls.Hold(kUpstream, {fencing_token(1), 0, std::nullopt, {}},
               [&](const hold_reply& r) { result = r; });
    RunUntil(loop, [&] { return result.has_value(); });
    return *result;
  }

  event_loop loop;
  http_server server;
  socket_address address;
};

}  // namespace

TEST_CASE("run_calls: what a start's answer means") {
  struct start_case {
    http_reply reply;
    start_result result;
  };
  const start_case kCases[] = {
      {{200, {}, R"({"clock_ms":5})"}, start_result::kStarted},
      {{409, {}, R"({"clock_ms":5,"reason":"fence"})"}, start_result::kFenced},
      {{409, {}, R"({"clock_ms":5,"reason":"old"})"}, start_result::kOldRun},
      {{409, {}, R"({"clock_ms":5,"reason":"late"})"}, start_result::kLate},
      {{409, {}, R"({"clock_ms":5,"reason":"room"})"}, start_result::kNoRoom},
      {{409, {}, "no json"}, start_result::kUnknown},
      {{400, {}, "{}"}, start_result::kNotAccepted},
      {{421, {}, "{}"}, start_result::kGone},
      {{429, {}, ""}, start_result::kUnwell},
      {{503, {}, ""}, start_result::kUnwell},
      {{500, {}, ""}, start_result::kUnknown},
  };
  for (const start_case& each : kCases) {
    CAPTURE(each.reply.status);
    CAPTURE(each.reply.body);
    CHECK(canned_upstream(each.reply).Start().result == each.result);
  }
}

TEST_CASE("run_calls: a hold's lists, and answers that make no sense") {
  canned_upstream whole({200, {}, R"({"clock_ms":7,
      "running":[["00000000000000aa.0.0.1",2,"",40,12],["bad",1],7],
      "ended":[[58,"00000000000000aa.0.0.2",1,"done",""],["x"]]})"});
  hold_reply reply = whole.Hold();
  CHECK(reply.result == call_result::kOk);
  CHECK(reply.clock.ms == 7);
  REQUIRE(reply.running.size() == 1);
  CHECK(reply.running[0].task == kTask);
  CHECK(reply.running[0].percent == 40);
  REQUIRE(reply.ended.size() == 1);
  CHECK(reply.ended[0].sequence == 58);
  CHECK(reply.ended[0].how == run_end::kDone);
  CHECK(!reply.birth);
  canned_upstream born({200, {}, R"({"clock_ms":7,"born":1700000000123})"});
  CHECK(born.Hold().birth == upstream_birth(1'700'000'000'123));
  for (const char* nonsense :
       {"", "[1", "{}", R"({"clock_ms":"soon"})",
        R"({"clock_ms":7,"born":1.5})", R"({"clock_ms":7,"born":"1"})",
        R"({"clock_ms":7,"born":null})", R"({"clock_ms":7,"born":-4})"}) {
    CAPTURE(nonsense);
    CHECK(canned_upstream({200, {}, nonsense}).Hold().result ==
          call_result::kUnknown);
  }
}

// Guards against times and counts that overflow where they are added up: the
// calls to the upstream would follow each other without a pause.
TEST_CASE("run_calls: numbers that no upstream means") {
  for (const char* clock : {"9223372036854775807", "-9223372036854775808",
                            "18446744073709551615", "1e300", "-1"}) {
    CAPTURE(clock);
    std::string body = std::string("{\"clock_ms\":") + clock + "}";
    CHECK(canned_upstream({200, {}, body}).Hold().result ==
          call_result::kUnknown);
    start_reply started = canned_upstream({200, {}, body}).Start();
    CHECK(started.result == start_result::kStarted);
    CHECK(!started.clock);
  }
  hold_reply reply = canned_upstream({200, {}, R"({"clock_ms":7,
      "running":[["00000000000000aa.0.0.1",1,"",-1],
                 ["00000000000000aa.0.0.2",1,"",1e300],
                 ["00000000000000aa.0.0.3",-1,"",5],
                 ["00000000000000aa.0.0.4",1e300,"",5]],
      "ended":[[-1,"00000000000000aa.0.0.5",1,"done",""],
               [1e300,"00000000000000aa.0.0.6",1,"done",""],
               [3,"00000000000000aa.0.0.7",-1,"done",""]]})"})
                         .Hold();
  REQUIRE(reply.running.size() == 2);
  CHECK(!reply.running[0].percent);
  CHECK(!reply.running[1].percent);
  CHECK(reply.ended.empty());
}

// Guards against an exception that ends the process: an order's text comes
// from another instance, and JSON can't hold all of it.
TEST_CASE("run_calls: an order whose text is not UTF-8") {
  canned_upstream upstream({200, {}, R"({"clock_ms":5})"});
  run_calls calls(upstream.loop, [&](const upstream_id&) {
    return upstream.address.ToString();
  });
  std::optional<start_reply> started;
  CHECK_NOTHROW(calls.Start(
      kUpstream, {kTask, run_number(1), "\xff\xfe", fencing_token(1), {9}},
      [&](const start_reply& r) { started = r; }));
  RunUntil(upstream.loop, [&] { return started.has_value(); });
  task_name odd{job_key("\xff"), 0, {0, 1}};
  CHECK_NOTHROW(calls.Stop(kUpstream, {odd, run_number(1), fencing_token(1)},
                           [](call_result) {}));
}

// Guards against an upstream whose answers take the processor to be read.
TEST_CASE("run_calls: a nested answer, and one of very many small values") {
  std::string nested = R"({"clock_ms":5,"running":)" + std::string(20, '[') +
                       std::string(20, ']') + "}";
  std::string many = R"({"clock_ms":5,"running":[)";
  for (int i = 0; i < 300'000; ++i)
    many += "[],";
  many += "[]]}";
  for (const std::string& body : {nested, many}) {
    canned_upstream u({200, {}, body});
    CHECK(u.Hold().result == call_result::kUnknown);
  }
}

TEST_CASE("run_calls: an upstream that is not there") {
  // Nobody listens: no byte left, so the task may start elsewhere at once.
  event_loop loop;
  run_calls calls(
      loop, [](const upstream_id&) { return std::string("127.0.0.1:1"); });
  std::optional<start_reply> result;
  calls.Start(kUpstream, {kTask, run_number(1), "5", fencing_token(1), {1}},
              [&](const start_reply& r) { result = r; });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK(result->result == start_result::kNotSent);
}

// Guards against descriptors that are never given back: a burst of starts opens
// a connection for each, also to upstreams that nobody drops.
TEST_CASE("run_calls: connections that a burst has left are closed") {
  constexpr size_t kStarts = 5;
  event_loop loop;
  std::vector<http_exchange_ptr> waiting;
  http_server server(loop, http_server_limits(),
                     [&](const http_exchange_ptr& e) { waiting.push_back(e); });
  std::string address = server.Listen({"127.0.0.1", 0}).ToString();
  run_calls calls(loop, [&](const upstream_id&) { return address; });
  size_t answered = 0;
  auto start = [&] {
    calls.Start(kUpstream, {kTask, run_number(1), "5", fencing_token(1), {9}},
                [&](const start_reply&) { ++answered; });
  };
  for (size_t i = 0; i < kStarts; ++i)
    start();
  REQUIRE(RunUntil(loop, [&] { return waiting.size() == kStarts; }));
  calls.CloseUnused(loop.now());
  CHECK(calls.open_connections() == kStarts);
  for (const http_exchange_ptr& each : waiting)
    each->Reply({200, {}, R"({"clock_ms":5})"});
  REQUIRE(RunUntil(loop, [&] { return answered == kStarts; }));
  CHECK(calls.open_connections() == kStarts);
  calls.CloseUnused(loop.now());
  CHECK(calls.open_connections() == 0);
  CHECK(RunUntil(loop, [&] { return server.connections() == 0; }));
  start();
  REQUIRE(RunUntil(loop, [&] { return waiting.size() == kStarts + 1; }));
  waiting.back()->Reply({200, {}, R"({"clock_ms":5})"});
  CHECK(RunUntil(loop, [&] { return answered == kStarts + 1; }));
}

TEST_CASE("run_calls: a dropped upstream answers nobody") {
  event_loop loop;
  worker_standin worker(loop, "u1", {});
  std::string address = worker.Listen({"127.0.0.1", 0}).ToString();
  run_calls calls(loop, [&](const upstream_id&) { return address; });
  bool called = false;
  calls.Hold(kUpstream,
             {fencing_token(1), 0, std::nullopt, std::chrono::milliseconds(20)},
             [&](const hold_reply&) { called = true; });
  calls.Drop(kUpstream);
  std::optional<hold_reply> second;
  calls.Hold(kUpstream,
             {fencing_token(1), 0, std::nullopt, std::chrono::milliseconds(20)},
             [&](const hold_reply& r) { second = r; });
  REQUIRE(RunUntil(loop, [&] { return second.has_value(); }));
  CHECK(!called);
}

// Guards against a stand-in by which homes take healthy runs for stuck ones.
TEST_CASE("worker_standin: the listed progress of a run follows its time") {
  constexpr duration kLength = std::chrono::seconds(2);
  event_loop loop;
  worker_standin worker(loop, "u1", {});
  std::string address = worker.Listen({"127.0.0.1", 0}).ToString();
  run_calls calls(loop, [&](const upstream_id&) { return address; });
  time_point start_sent = loop.now();
  std::optional<start_reply> started;
  calls.Start(kUpstream,
              {kTask, run_number(1), "2000", fencing_token(1), {9'999'999}},
              [&](const start_reply& r) { started = r; });
  REQUIRE(RunUntil(loop, [&] { return started.has_value(); }));
  REQUIRE(started->result == start_result::kStarted);
  time_point start_answered = loop.now();
  for (int wait_ms : {0, 120, 120}) {
    time_point hold_sent = loop.now();
    std::optional<hold_reply> listed;
    calls.Hold(kUpstream,
               {fencing_token(1), 0, upstream_time{9'999'999},
                std::chrono::milliseconds(wait_ms)},
               [&](const hold_reply& r) { listed = r; });
    REQUIRE(RunUntil(loop, [&] { return listed.has_value(); }));
    REQUIRE(listed->running.size() == 1);
    REQUIRE(listed->running[0].percent);
    // The reply was written at least `wait_ms` after the hold was sent.
    duration least =
        hold_sent + std::chrono::milliseconds(wait_ms) - start_answered;
    duration most = loop.now() - start_sent;
    CHECK(*listed->running[0].percent >= 100 * least / kLength);
    CHECK(*listed->running[0].percent <= 100 * most / kLength);
  }
}

}  // namespace jasminedyke
