// Tests of jobs that all homes have refused.

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

}  // namespace

// Guards against runs of a job whose caller was told that nothing of it ran and
// comes again: its group had a new home just before the answer.
TEST_CASE("job_owner: a new home begins when the last one has refused a job") {
  manual_scheduler clock;
  home_directory homes(clock);
  std::vector<run_request> sent;
  std::vector<run_cancel> cancelled;
  std::vector<run_answer> answers;
  job_owner owner(
      clock, failure_domain_id("north"), homes,
      [&](const instance_id&, const run_request& request) {
        sent.push_back(request);
        return true;
      },
      [&](const instance_id&, const run_cancel& cancel) {
        cancelled.push_back(cancel);
      });
  homes.Update(instance_id("north-1"), Serving(1));
  owner.OnHomesChanged();
  run_job job;
  job.key = job_key("00000000000000aa");
  job.limit = milliseconds(1500);
  job.steps.push_back({});
  job.steps[0].tasks = 1;
  owner.Submit(std::move(job),
               [&](const run_answer& answer) { answers.push_back(answer); });
  REQUIRE(sent.size() == 1);
  run_report refusal{sent[0].job, sent[0].submission, {}};
  refusal.refusal = run_refusal::kOverload;
  refusal.not_run = true;
  refusal.sending = sent[0].sending;
  owner.OnReport(instance_id("north-1"), refusal);
  homes.Update(instance_id("north-2"), Serving(2));
  owner.OnHomesChanged();
  clock.Advance(milliseconds(10));
  REQUIRE(answers.size() <= 1);
  bool told_not_run =
      !answers.empty() && answers[0].outcome == run_outcome::kNotRun;
  bool was_sent_again = sent.size() > 1;
  CHECK(!(told_not_run && was_sent_again));
}

}  // namespace jasminedyke
