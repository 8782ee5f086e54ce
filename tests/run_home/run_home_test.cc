// Tests on which upstreams a home starts tasks, and when it refuses jobs.

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

TEST_CASE("run_home: limits the tasks of a step on one upstream") {
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

TEST_CASE("run_home: uses only upstreams with the required label") {
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

TEST_CASE(
    "run_home: leaves the data's rack only if the task still ends in time") {
  // Three tasks fill the upstream on the data's rack. The fourth task takes
  // three times as long on the other upstream.
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.fleet.Add("u2", "north");
  f.InfoOf("u1").rack = rack_id("r1-1");
  f.InfoOf("u2").rack = rack_id("r1-2");
  f.Begin();
  task_demand demand = Demand();
  demand.rack = rack_id("r1-2");
  run_request request = f.Request(4, demand);
  SUBCASE("it would end in time elsewhere") {
    f.home.OnRequest(kOwner, request);
    f.clock.Advance(milliseconds(30));
    CHECK(f.StartsOn("u1") == 1);
  }
  SUBCASE("it would end late elsewhere, so it waits") {
    request.to_objective = milliseconds(140);
    f.home.OnRequest(kOwner, request);
    f.clock.Advance(milliseconds(120));
    CHECK(f.StartsOn("u1") == 0);
    CHECK(f.StartsOn("u2") == 4);
  }
}

TEST_CASE("run_home: starts no tasks on a draining upstream") {
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
    "run_home: never exceeds the capacity of an upstream without a guard") {
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

TEST_CASE("run_home: refuses jobs at once that can't end in useful time") {
  // The queue holds 1.5 s of work, and the late job has 0.47 s left. Its owner
  // must learn within one sweep that the job is refused and nothing of it ran.
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.Begin();
  run_request first = f.Request(90, Demand());
  first.job = job_key("00000000000000bb");
  first.to_objective = std::chrono::seconds(10);
  first.to_limit = std::chrono::seconds(60);
  f.home.OnRequest(kOwner, first);
  f.clock.Advance(milliseconds(10));
  // More work than is left of the first job, so this one ranks behind it.
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
  // Only two of the job's four tasks would find a place here. If another group
  // seems to have places, none of them starts, and the owner hears at once that
  // nothing ran. Otherwise the job starts the tasks that find a place.
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
  // The capacity drops while three tasks run. The upstream has no guard, so
  // another start would exceed its capacity. The other tasks must wait, must
  // not be refused because no upstream is large enough, and must start as soon
  // as the capacity grows again.
  home_fixture f;
  f.fleet.Add("u1", "north").guarded = false;
  f.Begin();
  auto set_capacity = [&](int64_t cpu_millis) {
    f.InfoOf("u1").capacity.cpu_millis = cpu_millis;
    f.home.SetUpstreams(f.fleet.registry, true);
  };
  auto running_tasks = [&] {
    return f.fleet.upstreams.at(upstream_id("u1"))->running.size();
  };
  run_request request = f.Request(8, Demand());
  request.to_objective = milliseconds(1000);
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(10));
  REQUIRE(running_tasks() == 3);
  SUBCASE("shrinks to room for one task") {
    set_capacity(12'000);
    f.clock.Advance(milliseconds(60));
    for (int i = 0; i < 40; ++i) {
      f.clock.Advance(milliseconds(2));
      CHECK(running_tasks() <= 1);
    }
  }
  SUBCASE("shrinks to room for no task") {
    set_capacity(5'000);
    f.clock.Advance(milliseconds(100));
    CHECK(running_tasks() == 0);
    CHECK(std::ranges::none_of(f.reports, [](const run_report& report) {
      return report.refusal != run_refusal::kNone;
    }));
  }
  size_t starts_before = f.StartsOn("u1");
  set_capacity(32'000);
  f.clock.Advance(milliseconds(5));
  CHECK(f.StartsOn("u1") >= starts_before + 2);
  f.clock.Advance(milliseconds(300));
  CHECK(f.StartsOn("u1") == 8);
}

TEST_CASE("run_home: forgets an upstream's failures when it is reborn") {
  // An upstream fails everything that it starts. After it has crashed and
  // returned under the same id, it must get work like any other.
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

TEST_CASE(
    "run_home: a task that moves here beside an upstream that is reborn") {
  // Guards against a second run of a task: the upstream's new process has not
  // seen this home's token, so the home from which the task moved may act
  // there.
  home_fixture f;
  fake_upstream& upstream = f.fleet.Add("u1", "north");
  f.fleet.Add("u2", "north");
  upstream.birth = upstream_birth(1'700'000'000'000);
  f.InfoOf("u1").birth = upstream.birth;
  f.home.SetUpstreams(f.fleet.registry, false);
  f.Begin();
  f.Link(incarnation_id("1"));
  f.clock.Advance(milliseconds(100));
  upstream.down = true;
  upstream.Rebirth(upstream_birth(1'700'000'001'000));
  f.InfoOf("u1").birth = upstream.birth;
  f.home.SetUpstreams(f.fleet.registry, true);
  run_request request = f.Request(1, Demand());
  request.to_objective = request.to_limit = std::chrono::seconds(10);
  request.tasks[0].maybe_started = true;
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(300));
  CHECK(f.StartsOn("u2") == 0);
  upstream.down = false;
  f.clock.Advance(milliseconds(1200));
  CHECK(f.StartsOn("u1") + f.StartsOn("u2") == 1);
}

TEST_CASE("run_home: runs that are being stopped still take room") {
  // The caller leaves while three tasks run. The upstream has room again only
  // once the end of each run is listed, 20 ms later.
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

TEST_CASE("run_home: a smaller capacity does not make a job too large to run") {
  // The job can't end in time on the shrunken upstream. It must be refused for
  // load, and not for size, so that its caller comes back.
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
