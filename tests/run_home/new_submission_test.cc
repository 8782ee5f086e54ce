// Tests of a new home that gets a submission of a job which an earlier home has
// started.

#include <doctest/doctest.h>

#include "fakes/home_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

}  // namespace

// Guards against a second run beside one that the home has not found yet: the
// caller's new owner does not know that the tasks may have started.
TEST_CASE("run_home: a new submission comes before all upstreams are settled") {
  home_fixture f;
  f.fleet.Add("u1", "north").plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(2000), run_end::kDone);
  };
  f.Begin(1);
  run_request request = f.Request(1, Demand());
  request.to_limit = milliseconds(5000);
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(10));
  REQUIRE(f.StartsOn("u1") == 1);
  f.home.End();
  f.fleet.Add("u2", "north").plan = f.At("u1").plan;
  // Calls to u1 take effect, their answers are lost for a moment.
  f.fleet.fate = [](const upstream_id& id, const std::string&) {
    return id.str() == "u1" ? call_fate::kReplyLost : call_fate::kAnswered;
  };
  fake_upstream_port port(f.fleet, "next");
  run_home next(
      f.clock, port, {failure_domain_id("north"), 0}, {},
      [](const instance_id&, const run_report&) {}, [] {});
  next.Begin(fencing_token(2));
  next.SetUpstreams(f.fleet.registry, true);
  f.clock.Advance(milliseconds(20));
  request.submission = submission_id(2);
  next.OnRequest(instance_id("entry-2"), request);
  f.clock.Advance(milliseconds(20));
  CHECK(!f.fleet.AnyTaskRunsTwice());
}

}  // namespace jasminedyke
