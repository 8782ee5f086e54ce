// Where a home starts tasks.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/home_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE("run_home: at most so many tasks of a step on one upstream") {
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.fleet.Add("u2", "north");
  f.Begin();
  task_demand demand = Demand();
  demand.max_per_upstream = 1;
  f.home.OnRequest(kOwner, f.Request(3, demand));
  f.clock.Advance(milliseconds(30));
  CHECK(f.StartsOn("u1") == 1);
  CHECK(f.StartsOn("u2") == 1);
  f.clock.Advance(milliseconds(100));
  CHECK(f.StartsOn("u1") + f.StartsOn("u2") == 3);
}

TEST_CASE("run_home: only upstreams with the label") {
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.fleet.Add("u2", "north");
  f.InfoOf("u2").labels = {"b"};
  f.Begin();
  task_demand demand = Demand();
  demand.required_label = "b";
  f.home.OnRequest(kOwner, f.Request(2, demand));
  f.clock.Advance(milliseconds(30));
  CHECK(f.StartsOn("u1") == 0);
  CHECK(f.StartsOn("u2") == 2);
}

TEST_CASE("run_home: near the data, or away if that ends in time") {
  // Three tasks fill the upstream on the data's rack. The fourth takes three
  // times as long elsewhere.
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.fleet.Add("u2", "north");
  f.InfoOf("u1").rack = rack_id("r1-1");
  f.InfoOf("u2").rack = rack_id("r1-2");
  f.Begin();
  task_demand demand = Demand();
  demand.rack = rack_id("r1-2");
  run_request request = f.Request(4, demand);
  SUBCASE("which it does") {
    f.home.OnRequest(kOwner, request);
    f.clock.Advance(milliseconds(30));
    CHECK(f.StartsOn("u1") == 1);
  }
  SUBCASE("which it does not: it waits") {
    request.to_objective = milliseconds(140);
    f.home.OnRequest(kOwner, request);
    f.clock.Advance(milliseconds(120));
    CHECK(f.StartsOn("u1") == 0);
    CHECK(f.StartsOn("u2") == 4);
  }
}

TEST_CASE("run_home: a draining upstream gets nothing") {
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.fleet.Add("u2", "north");
  f.Begin();
  f.InfoOf("u1").draining = true;
  f.home.SetUpstreams(f.fleet.registry, true);
  f.home.OnRequest(kOwner, f.Request(6, Demand()));
  f.clock.Advance(milliseconds(200));
  CHECK(f.StartsOn("u1") == 0);
  CHECK(f.StartsOn("u2") == 6);
}

TEST_CASE(
    "run_home: never beyond capacity, also of upstreams without a guard") {
  home_fixture f;
  fake_upstream& upstream = f.fleet.Add("u1", "north");
  upstream.guarded = false;
  f.Begin();
  f.home.OnRequest(kOwner, f.Request(8, Demand()));
  for (int i = 0; i < 200; ++i) {
    f.clock.Advance(milliseconds(1));
    CHECK(upstream.running.size() <= 3);
  }
  CHECK(f.StartsOn("u1") == 8);
}

TEST_CASE("run_home: jobs that can't end in useful time are refused at once") {
  // A queue of 1.5 s of work stands before a job that has 0.47 s. Its caller is
  // told so within one look, and that nothing of it ran.
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.Begin();
  run_request first = f.Request(90, Demand());
  first.job = job_key("00000000000000bb");
  first.to_objective = std::chrono::seconds(10);
  first.to_limit = std::chrono::seconds(60);
  f.home.OnRequest(kOwner, first);
  f.clock.Advance(milliseconds(10));
  // Larger than what is left of the first, so it would come after it.
  run_request late = f.Request(95, Demand());
  f.home.OnRequest(kOwner, late);
  f.clock.Advance(milliseconds(60));
  bool refused = false;
  for (const run_report& report : f.reports) {
    if (report.job != late.job)
      continue;
    refused = true;
    CHECK(report.refusal == run_refusal::kOverload);
    CHECK(report.not_run);
    CHECK(report.retry_after >= std::chrono::seconds(1));
  }
  CHECK(refused);
}

TEST_CASE("run_home: a job that may go elsewhere does not wait for places") {
  // Another group seems to have places. Two of the job's four tasks would find
  // one here; none of them starts, and the job's owner hears at once that
  // nothing ran. A job that may not go elsewhere starts what it can.
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.Begin();
  run_request first = f.Request(1, Demand());
  first.job = job_key("00000000000000bb");
  f.home.OnRequest(kOwner, first);
  f.clock.Advance(milliseconds(5));
  run_request job = f.Request(4, Demand());
  SUBCASE("may pass") {
    job.may_pass = true;
    f.home.OnRequest(kOwner, job);
    f.clock.Advance(milliseconds(5));
    REQUIRE(f.reports.size() == 1);
    CHECK(f.reports[0].refusal == run_refusal::kBusy);
    CHECK(f.reports[0].not_run);
    CHECK(f.StartsOn("u1") == 1);
    CHECK(f.home.jobs() == 1);
  }
  SUBCASE("may not pass") {
    f.home.OnRequest(kOwner, job);
    f.clock.Advance(milliseconds(5));
    CHECK(f.reports.empty());
    CHECK(f.StartsOn("u1") == 3);
  }
  SUBCASE("may pass and has places") {
    f.clock.Advance(milliseconds(200));
    f.reports.clear();
    job.tasks.resize(3);
    job.may_pass = true;
    f.home.OnRequest(kOwner, job);
    f.clock.Advance(milliseconds(5));
    CHECK(f.reports.empty());
    CHECK(f.StartsOn("u1") == 4);
  }
}

TEST_CASE("run_home: an upstream's capacity shrinks and grows while it runs") {
  // Three tasks run when the upstream says that it has room for one only. It
  // does not guard itself, so a further start would bring it over. The others
  // wait, are not refused as fitting nowhere, and start at once when it grows.
  home_fixture f;
  f.fleet.Add("u1", "north").guarded = false;
  f.Begin();
  auto resize = [&](int64_t cpu_millis) {
    f.InfoOf("u1").capacity.cpu_millis = cpu_millis;
    f.home.SetUpstreams(f.fleet.registry, true);
  };
  auto most_running = [&] {
    return f.fleet.upstreams.at(upstream_id("u1"))->running.size();
  };
  run_request request = f.Request(8, Demand());
  request.to_objective = milliseconds(1000);
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(10));
  REQUIRE(most_running() == 3);
  SUBCASE("to room for one") {
    resize(12'000);
    f.clock.Advance(milliseconds(60));
    for (int i = 0; i < 40; ++i) {
      f.clock.Advance(milliseconds(2));
      CHECK(most_running() <= 1);
    }
  }
  SUBCASE("to room for none") {
    resize(5'000);
    f.clock.Advance(milliseconds(100));
    CHECK(most_running() == 0);
    CHECK(std::ranges::none_of(f.reports, [](const run_report& report) {
      return report.refusal != run_refusal::kNone;
    }));
  }
  size_t before = f.StartsOn("u1");
  resize(32'000);
  f.clock.Advance(milliseconds(5));
  CHECK(f.StartsOn("u1") >= before + 2);
  f.clock.Advance(milliseconds(300));
  CHECK(f.StartsOn("u1") == 8);
}

TEST_CASE("run_home: what an incarnation did is not held against the next") {
  // It failed all that it started. After a crash and return under its id it is
  // given work like any other.
  home_fixture f;
  fake_upstream& upstream = f.fleet.Add("u1", "north");
  upstream.birth = upstream_birth(1'700'000'000'000);
  f.InfoOf("u1").birth = upstream.birth;
  upstream.plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(5), run_end::kFailed);
  };
  f.Begin();
  run_request request = f.Request(1, Demand());
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(20));
  request.job = job_key("00000000000000ab");
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(40));
  upstream.plan = nullptr;
  upstream.starts.clear();
  upstream.Rebirth(upstream_birth(1'700'000'001'000));
  f.InfoOf("u1").birth = upstream.birth;
  f.home.SetUpstreams(f.fleet.registry, true);
  f.clock.Advance(milliseconds(100));
  request = f.Request(3, Demand());
  request.job = job_key("00000000000000ac");
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(20));
  CHECK(f.StartsOn("u1") == 3);
}

TEST_CASE("run_home: what is being stopped still takes room") {
  // The caller leaves amid three runs; the upstream has the room only when each
  // run's end is listed, 20 ms later.
  home_fixture f;
  f.fleet.Add("u1", "north").guarded = false;
  f.Begin();
  f.home.OnRequest(kOwner, f.Request(3, Demand()));
  f.clock.Advance(milliseconds(10));
  f.home.OnCancel(kOwner, {job_key("00000000000000aa"), submission_id(1)});
  run_request next = f.Request(3, Demand());
  next.job = job_key("00000000000000bb");
  f.home.OnRequest(kOwner, next);
  for (int i = 0; i < 40; ++i) {
    f.clock.Advance(milliseconds(1));
    CHECK(f.fleet.upstreams.at(upstream_id("u1"))->running.size() <= 3);
  }
  CHECK(f.StartsOn("u1") == 6);
}

TEST_CASE("run_home: no job is refused as fitting nowhere for a shrink") {
  // It can't be in time any more when the upstream has shrunk: it is refused
  // for load, so its caller comes back.
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.Begin();
  f.InfoOf("u1").capacity.cpu_millis = 5'000;
  f.home.SetUpstreams(f.fleet.registry, true);
  f.home.OnRequest(kOwner, f.Request(1, Demand()));
  f.clock.Advance(milliseconds(600));
  REQUIRE(f.reports.size() == 1);
  CHECK(f.reports[0].refusal == run_refusal::kOverload);
}

}  // namespace jasminedyke
