// Tests that a home finds runs that it did not start, and that they are claimed
// or stopped.

#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/home_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const task_name kTask{job_key("00000000000000aa"), 0, {0, 0}};

// A home with two upstreams on which each task runs for five seconds.
struct claims_fixture : home_fixture {
  claims_fixture() {
    for (const char* id : {"u1", "u2"}) {
      fake_upstream& upstream = fleet.Add(id, "north");
      upstream.plan = [](const task_name&) {
        return std::pair<duration, run_end>(milliseconds(5000), run_end::kDone);
      };
    }
  }

  void Begin() { home_fixture::Begin(2); }

  // Starts `kTask` on an upstream as another instance would, such as an earlier
  // home.
  start_reply StartAt(const char* id, uint64_t token) {
    upstream_time not_after{At(id).Clock().ms + 60'000};
    run_order order{kTask, run_number(1), "10000", fencing_token(token),
                    not_after};
    return At(id).Start(order);
  }

  void Request() {
    run_request request;
    request.job = kTask.job;
    request.submission = submission_id(1);
    request.service = service_id("parts");
    request.spec = "10000";
    request.to_objective = milliseconds(8000);
    request.to_limit = milliseconds(20'000);
    request.max_attempts = 2;
    task_demand demand;
    demand.need = {10'000, 64, 0};
    demand.estimate = milliseconds(5000);
    demand.maybe_started = true;
    request.tasks.push_back(demand);
    home.OnRequest(kOwner, request);
  }

  int Starts() {
    int starts = 0;
    for (auto& [id, upstream] : fleet.upstreams)
      starts += upstream->starts[kTask];
    return starts;
  }

  size_t Running() {
    size_t running = 0;
    for (auto& [id, upstream] : fleet.upstreams) {
      upstream->Settle();
      running += upstream->running.size();
    }
    return running;
  }
};

}  // namespace

TEST_CASE("run_claims: a start that comes long after the takeover is stopped") {
  // Guards against a run that goes on after its caller has left: the start
  // request was delayed for seconds, or its sender has been removed.
  claims_fixture f;
  f.Begin();
  f.clock.Advance(milliseconds(10'000));
  REQUIRE(f.StartAt("u1", 2).result == start_result::kStarted);
  f.clock.Advance(milliseconds(2200));
  CHECK(f.Running() == 0);
}

TEST_CASE("run_claims: a late start on a restarted upstream is stopped") {
  // A restarted upstream has seen no fencing token, so it accepts an outdated
  // one.
  claims_fixture f;
  f.At("u1").birth = upstream_birth(1'700'000'000'000);
  f.fleet.registry.at(upstream_id("u1")).birth = f.At("u1").birth;
  f.Begin();
  f.clock.Advance(milliseconds(5000));
  f.At("u1").Rebirth(upstream_birth(1'700'000'005'000));
  REQUIRE(f.StartAt("u1", 1).result == start_result::kStarted);
  f.clock.Advance(milliseconds(1000));
  CHECK(f.Running() == 0);
}

TEST_CASE("run_claims: a second run of a task that runs elsewhere is stopped") {
  // The second run is stopped at once, even while job owners may still claim
  // runs, and the first one goes on.
  claims_fixture f;
  REQUIRE(f.StartAt("u1", 1).result == start_result::kStarted);
  f.Begin();
  f.Request();
  f.clock.Advance(milliseconds(50));
  REQUIRE(f.At("u1").running.size() == 1);
  REQUIRE(f.StartAt("u2", 2).result == start_result::kStarted);
  // The reply to the hold of "u2" has arrived by then.
  f.clock.Advance(milliseconds(2200));
  CHECK(f.At("u2").running.empty());
  CHECK(f.At("u1").running.size() == 1);
}

TEST_CASE("run_claims: of two runs of a task one is claimed and one stopped") {
  // The unclaimed run must be stopped at once.
  claims_fixture f;
  REQUIRE(f.StartAt("u1", 1).result == start_result::kStarted);
  REQUIRE(f.StartAt("u2", 1).result == start_result::kStarted);
  SUBCASE("when the claim comes after both were found") {
    f.Begin();
    f.Request();
  }
  SUBCASE("when the claim comes first") {
    f.home.SetUpstreams(f.fleet.registry, true);
    f.home.Begin(fencing_token(2));
    f.Request();
  }
  f.clock.Advance(milliseconds(60));
  CHECK(f.Running() == 1);
  CHECK(f.Starts() == 2);
}

TEST_CASE(
    "run_claims: a task does not start while an unclaimed run of it exists") {
  // The task runs on two upstreams; the claimed run fails, and the requests to
  // stop the other run are lost.
  claims_fixture f;
  f.fleet.Add("u3", "north");
  f.At("u1").plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(200), run_end::kFailed);
  };
  REQUIRE(f.StartAt("u1", 1).result == start_result::kStarted);
  REQUIRE(f.StartAt("u2", 1).result == start_result::kStarted);
  bool stops_arrive = false;
  f.port.lose_stops = [&] { return !stops_arrive; };
  f.Begin();
  f.Request();
  f.clock.Advance(milliseconds(700));
  CHECK(f.Running() == 1);
  CHECK(f.Starts() == 2);
  stops_arrive = true;
  f.clock.Advance(milliseconds(300));
  // The task may start on any upstream, also on the one where it has just
  // ended.
  CHECK(f.Running() == 1);
  CHECK(f.Starts() == 3);
}

TEST_CASE("run_claims: an unclaimed run is stopped after the claim period") {
  claims_fixture f;
  REQUIRE(f.StartAt("u1", 1).result == start_result::kStarted);
  f.Begin();
  f.clock.Advance(milliseconds(200));
  CHECK(f.Running() == 1);
  f.clock.Advance(milliseconds(250));
  CHECK(f.Running() == 0);
}

}  // namespace jasminedyke
