// Tests starts that the owner of a job sends on behalf of its home.

#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_upstreams.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const instance_id kOwner("entry-1");

delegated_start_result Started(uint64_t number) {
  return {number, {start_result::kStarted, upstream_time{1}}};
}

}  // namespace

TEST_CASE("start_delegator: a result for an earlier process of the instance") {
  // Guards against taking an owner's result for an earlier process of the home
  // as the result of the new process's first start. The home would look for
  // that run, not find it and start the task a second time.
  manual_scheduler clock;
  fake_fleet fleet{clock};
  fleet.Add("u1", "north");
  fake_upstream_port port(fleet, "home");
  std::vector<uint64_t> numbers;
  std::vector<start_result> results;
  run_order order;
  order.delegate = start_delegate{kOwner, submission_id(1)};
  for (int process = 0; process < 2; ++process) {
    start_delegator delegator(
        clock, port, [](const upstream_id&) { return std::string(); },
        [&](const instance_id&, const delegated_start& start) {
          numbers.push_back(start.number);
          return true;
        });
    delegator.Start(upstream_id("u1"), order, [&](const start_reply& reply) {
      results.push_back(reply.result);
    });
    if (process == 1) {
      delegator.OnResult(kOwner, Started(numbers[0]));
      CHECK(results.empty());
      delegator.OnResult(kOwner, Started(numbers[1]));
      CHECK(results.size() == 1);
    }
    clock.Advance(milliseconds(1));
  }
}

TEST_CASE("run_home: a job that its owner no longer has is dropped") {
  // Guards against keeping a job forever whose owner sends none of its starts.
  manual_scheduler clock;
  fake_fleet fleet{clock};
  fleet.Add("u1", "north");
  fake_upstream_port port(fleet, "home");
  start_delegator delegator(
      clock, port, [](const upstream_id&) { return std::string(); },
      [](const instance_id&, const delegated_start&) { return false; });
  run_home home(
      clock, delegator, {failure_domain_id("north"), 0}, {},
      [](const instance_id&, const run_report&) {}, [] {});
  home.Begin(fencing_token(1));
  home.SetUpstreams(fleet.registry, true);
  clock.Advance(milliseconds(20));
  run_request request;
  request.job = job_key("00000000000000aa");
  request.submission = submission_id(1);
  request.service = service_id("parts");
  request.kept_spec_bytes = 100;
  request.to_objective = milliseconds(156);
  request.to_limit = milliseconds(1500);
  task_demand demand;
  demand.need = {10'000, 64, 0};
  demand.estimate = milliseconds(50);
  request.tasks.push_back(demand);
  home.OnRequest(kOwner, request);
  clock.Advance(milliseconds(100));
  CHECK(home.jobs() == 1);
  clock.Advance(milliseconds(2000));
  CHECK(home.jobs() == 0);
}

}  // namespace jasminedyke
