// Tests of starts that went unanswered and are carried out late, after the
// upstream has crashed and restarted under its id.

#include <utility>

#include <doctest/doctest.h>

#include "fakes/home_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const upstream_birth kFirst(1'700'000'000'000);
const upstream_birth kSecond(1'700'000'005'000);
constexpr duration kRunTime = milliseconds(4000);

// A home whose only task was sent to u1, where it arrives after three seconds.
struct late_start_fixture : home_fixture {
  explicit late_start_fixture(upstream_birth birth = kFirst,
                              duration objective = milliseconds(8000)) {
    Add("u1", birth);
    Begin();
    // The order's limit lies ahead on the clock of the next incarnation.
    clock.Advance(milliseconds(8000));
    Link(incarnation_id("0000000000000001"));
    task_demand demand = Demand();
    demand.estimate = kRunTime;
    request = Request(1, demand);
    request.to_objective = objective;
    request.to_limit = milliseconds(30'000);
    fleet.late = milliseconds(3000);
    fleet.fate = [](const upstream_id&, const std::string&) {
      return call_fate::kDelayed;
    };
    home.OnRequest(kOwner, request);
    clock.Advance(milliseconds(1));
    fleet.fate = [this](const upstream_id& id, const std::string&) {
      return unreachable && id.str() == "u1" ? call_fate::kRequestLost
                                             : call_fate::kAnswered;
    };
  }

  void Add(const std::string& id, upstream_birth birth) {
    fake_upstream& upstream = fleet.Add(id, "north");
    upstream.birth = birth;
    upstream.plan = [](const task_name&) {
      return std::pair<duration, run_end>(kRunTime, run_end::kDone);
    };
    InfoOf(id).birth = birth;
  }

  void AddSecondUpstream() {
    Add("u2", kFirst);
    home.SetUpstreams(fleet.registry, true);
    clock.Advance(milliseconds(20));
  }

  void CrashFirstUpstream() {
    At("u1").unwell = false;
    At("u1").Rebirth(kSecond);
    InfoOf("u1").birth = kSecond;
    home.SetUpstreams(fleet.registry, true);
  }

  // Returns whether the task has two runs at the same time meanwhile.
  bool RunsTwiceWithin(duration time) {
    bool twice = false;
    for (time_point end = clock.now() + time; clock.now() < end;
         clock.Advance(milliseconds(5)))
      twice = fleet.AnyTaskRunsTwice() || twice;
    return twice;
  }

  bool unreachable = false;
  run_request request;
};

}  // namespace

// Guards against a run beside the task's next one: the order reaches the next
// incarnation before the home has called it.
TEST_CASE("run_home: a late start arrives before the home's first call") {
  late_start_fixture f;
  SUBCASE("after the upstream has refused the run") {
    f.At("u1").unwell = true;
    f.clock.Advance(milliseconds(500));
  }
  SUBCASE("after the task ran on the upstream") {
    f.clock.Advance(milliseconds(500));
    REQUIRE(f.At("u1").running.size() == 1);
  }
  SUBCASE("while the task was not known to have begun") {
    f.At("u1").unwell = true;
    f.clock.Advance(milliseconds(20));
  }
  SUBCASE("after the job was sent again") {
    f.At("u1").unwell = true;
    f.clock.Advance(milliseconds(500));
    f.home.OnCancel(kOwner, {f.request.job, f.request.submission});
    f.clock.Advance(milliseconds(100));
    REQUIRE(f.home.jobs() == 0);
    f.request.submission = submission_id(2);
    f.home.OnRequest(kOwner, f.request);
  }
  SUBCASE("after the upstream's registration has lapsed") {
    f.At("u1").unwell = true;
    f.clock.Advance(milliseconds(500));
    upstream_info info = f.InfoOf("u1");
    f.fleet.registry.erase(upstream_id("u1"));
    f.home.SetUpstreams(f.fleet.registry, true);
    f.clock.Advance(milliseconds(200));
    f.fleet.registry[info.id] = info;
  }
  f.AddSecondUpstream();
  f.clock.Advance(milliseconds(100));
  f.unreachable = true;
  f.CrashFirstUpstream();
  CHECK(!f.RunsTwiceWithin(milliseconds(3500)));
  f.unreachable = false;
  CHECK(!f.RunsTwiceWithin(milliseconds(8000)));
  CHECK(f.Count(task_verdict::kDone) == 1);
}

// Guards against a healthy run that is stopped as stuck, as the time in which
// its orders were lost counts as its own.
TEST_CASE("run_home: a start that is sent again counts from then") {
  home_fixture f;
  f.fleet.Add("u1", "north").birth = kFirst;
  f.InfoOf("u1").birth = kFirst;
  f.Begin();
  f.Link(incarnation_id("0000000000000001"));
  f.fleet.loses_starts = true;
  run_request request = f.Request(1, Demand());
  request.to_objective = milliseconds(2000);
  request.to_limit = milliseconds(5000);
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(600));
  f.fleet.loses_starts = false;
  f.clock.Advance(milliseconds(600));
  CHECK(f.home.metrics().repeated_starts > 0);
  CHECK(f.home.metrics().stuck.empty());
  CHECK(f.Count(task_verdict::kDone) == 1);
}

// Guards against a task that waits although its order can't arrive any more.
TEST_CASE(
    "run_home: an upstream without incarnations refuses a start for good") {
  late_start_fixture f{upstream_birth()};
  f.At("u1").unwell = true;
  f.clock.Advance(milliseconds(500));
  f.AddSecondUpstream();
  f.clock.Advance(milliseconds(100));
  CHECK(f.StartsOn("u2") == 1);
}

// Guards against a task that waits for an upstream that was lost for good.
TEST_CASE("run_home: a late start is waited for no longer than it may take") {
  late_start_fixture f;
  f.At("u1").unwell = true;
  f.clock.Advance(milliseconds(500));
  f.AddSecondUpstream();
  f.At("u1").down = true;
  f.clock.Advance(milliseconds(13'000));
  CHECK(f.StartsOn("u2") == 0);
  f.clock.Advance(milliseconds(3000));
  CHECK(f.StartsOn("u2") == 1);
}

// Guards against an answer that says "not run" for a job whose task starts
// later: the order reaches an incarnation that has not refused it.
TEST_CASE("run_home: refuses a job whose start may yet be carried out") {
  upstream_birth birth = kFirst;
  bool not_run = false;
  SUBCASE("as one that may have run") {}
  SUBCASE("as not run if no other incarnation may carry it out") {
    birth = upstream_birth();
    not_run = true;
  }
  late_start_fixture f(birth, milliseconds(1500));
  f.At("u1").unwell = true;
  // The task can't end in useful time any more.
  f.clock.Advance(milliseconds(1000));
  REQUIRE(f.reports.size() == 1);
  CHECK(f.reports[0].refusal == run_refusal::kOverload);
  CHECK(f.reports[0].not_run == not_run);
}

// Guards against a job that waits until its limit for an upstream that has
// left, and against a time to come back that is too early.
TEST_CASE("run_home: refuses a job that waits for an upstream that has left") {
  late_start_fixture f(kFirst, milliseconds(4000));
  f.At("u1").unwell = true;
  f.clock.Advance(milliseconds(100));
  f.fleet.registry.clear();
  f.AddSecondUpstream();
  f.clock.Advance(milliseconds(100));
  REQUIRE(f.reports.size() == 1);
  CHECK(!f.reports[0].not_run);
  CHECK(f.reports[0].retry_after > milliseconds(14'000));
  CHECK(f.reports[0].retry_after < milliseconds(15'000));
}

// Guards against a run beside a late one that the home before had ordered: its
// successor is not told which orders went unanswered.
TEST_CASE("run_home: a late start arrives after its home was replaced") {
  late_start_fixture f;
  f.At("u1").unwell = true;
  f.clock.Advance(milliseconds(500));
  f.home.End();
  f.Add("u2", kFirst);
  fake_upstream_port port(f.fleet, "next");
  run_home next(
      f.clock, port, {failure_domain_id("north"), 0}, {},
      [](const instance_id&, const run_report&) {}, [] {});
  next.Begin(fencing_token(2));
  next.SetUpstreams(f.fleet.registry, true);
  const instance_id owner("entry-2");
  next.OnPeerUp(owner, incarnation_id("0000000000000002"));
  f.clock.Advance(milliseconds(20));
  for (task_demand& task : f.request.tasks)
    task.maybe_started = true;
  next.OnRequest(owner, f.request);
  f.clock.Advance(milliseconds(100));
  f.unreachable = true;
  f.CrashFirstUpstream();
  bool twice = false;
  for (int i = 0; i < 14; ++i) {
    next.OnConfirmed(owner, f.clock.boot_now());
    twice = f.RunsTwiceWithin(milliseconds(250)) || twice;
  }
  CHECK(!twice);
}

// Guards against a run beside a late one after the caller has sent its job
// again and another failure domain has taken it, which knows nothing of the
// orders.
TEST_CASE("run_home: a late start arrives while the job runs elsewhere") {
  late_start_fixture f;
  f.At("u1").unwell = true;
  f.clock.Advance(milliseconds(500));
  f.home.OnCancel(kOwner, {f.request.job, f.request.submission});
  fake_fleet south_fleet(f.clock);
  fake_upstream& u2 = south_fleet.Add("u2", "south");
  u2.plan = f.At("u1").plan;
  fake_upstream_port port(south_fleet, "south");
  run_home south(
      f.clock, port, {failure_domain_id("south"), 0}, {},
      [](const instance_id&, const run_report&) {}, [] {});
  south.Begin(fencing_token(1));
  south.SetUpstreams(south_fleet.registry, true);
  f.clock.Advance(milliseconds(1300));
  south.OnRequest(instance_id("entry-2"), f.request);
  f.clock.Advance(milliseconds(100));
  f.unreachable = true;
  f.CrashFirstUpstream();
  bool twice = false;
  for (int i = 0; i < 500; ++i) {
    f.clock.Advance(milliseconds(5));
    f.At("u1").Settle();
    u2.Settle();
    twice = twice || (!f.At("u1").running.empty() && !u2.running.empty());
  }
  CHECK(!twice);
}

}  // namespace jasminedyke
