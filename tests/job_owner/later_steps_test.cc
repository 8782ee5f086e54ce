// Tests of a job of several steps that its caller submits again while its owner
// still has the earlier submission.

#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

home_status Serving(uint64_t token) {
  home_status status;
  status.group = {failure_domain_id("north"), 0};
  status.token = fencing_token(token);
  status.free_cpu_millis = 320'000;
  status.total_cpu_millis = 320'000;
  return status;
}

// Two steps of one task each, one after the other.
run_job JobOfTwoSteps() {
  run_job job;
  job.key = job_key("00000000000000aa");
  job.limit = milliseconds(5000);
  job.steps.resize(2);
  job.steps[0].tasks = 1;
  job.steps[1].tasks = 1;
  job.steps[1].after = {0};
  return job;
}

}  // namespace

// Guards against a job that waits until its limit: its new home is never sent
// the step that the earlier submission had begun.
TEST_CASE("job_owner: a job in its second step comes again and its home ends") {
  manual_scheduler clock;
  home_directory homes(clock);
  std::vector<run_request> sent;
  std::vector<run_answer> answers;
  job_owner owner(
      clock, failure_domain_id("north"), homes,
      [&](const instance_id&, const run_request& request) {
        sent.push_back(request);
        return true;
      },
      [](const instance_id&, const run_cancel&) {});
  instance_id home("north-1");
  homes.Update(home, Serving(1));
  owner.OnHomesChanged();
  auto done = [&](const run_answer& answer) { answers.push_back(answer); };
  owner.Submit(JobOfTwoSteps(), [](const run_answer&) {});
  REQUIRE(sent.size() == 1);
  owner.OnReport(home, {sent[0].job, sent[0].submission, {{{0, 0}}}});
  REQUIRE(sent.size() == 2);
  REQUIRE(sent[1].tasks[0].position == task_position{1, 0});
  owner.Submit(JobOfTwoSteps(), done);
  REQUIRE(sent.size() == 3);
  homes.Update(instance_id("north-2"), Serving(2));
  owner.OnHomesChanged();
  REQUIRE(sent.size() == 4);
  REQUIRE(sent[3].tasks[0].position == task_position{0, 0});
  owner.OnReport(instance_id("north-2"),
                 {sent[3].job, sent[3].submission, {{{0, 0}}}});
  REQUIRE(sent.size() == 5);
  CHECK(sent[4].tasks[0].position == task_position{1, 0});
  CHECK(sent[4].tasks[0].maybe_started);
}

}  // namespace jasminedyke
