// What becomes of a job for each way in which its attempts end.

#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_attempts.h"

namespace jasminedyke {
namespace {

struct fixture {
  explicit fixture(int upstreams = 2, int slots = 2)
      : table(failure_domain_id("d")),
        jobs(clock, port, usage, table, DefaultOrderRule(), queue_caps()) {
    view.Update(MakeMembership(1, upstreams, 1, slots));
    table.SetMembership(view);
    auto split = std::make_unique<static_split_slots>(clock, table, jobs);
    jobs.SetStrategy(std::move(split),
                     [](const instance_id&, const slot_message&) {});
  }

  job_spec Spec(size_t tasks, bool may_repeat = false) {
    job_spec spec;
    spec.name = "job";
    spec.team = team_id("lahore");
    spec.work_class = class_id("stock-check");
    spec.may_repeat = may_repeat;
    for (size_t i = 0; i < tasks; ++i)
      spec.tasks.push_back({"payload" + std::to_string(i), 0, duration()});
    return spec;
  }

  outcome<local_job, job_refusal> Submit(job_spec spec) {
    return jobs.Submit(std::move(spec), [this](const job_outcome& r) {
      ++outcomes;
      result = r;
    });
  }
  const job_failed* failed() const {
    return result ? std::get_if<job_failed>(&*result) : nullptr;
  }
  const job_complete* complete() const {
    return result ? std::get_if<job_complete>(&*result) : nullptr;
  }

  manual_scheduler clock;
  fake_attempts port;
  fake_usage usage;
  membership_view view;
  upstream_table table;
  dispatcher jobs;
  std::optional<job_outcome> result;
  int outcomes = 0;
};

// Replies come in another order than the tasks went out. Each answer must
// stand at its own task.
TEST_CASE("dispatcher: answers are matched by task, not by order") {
  fixture f;
  f.Submit(f.Spec(3));
  REQUIRE(f.port.attempts.size() == 3);
  for (size_t number : {2, 0, 1}) {
    const attempt_request& request = f.port.attempts[number].request;
    f.port.End(number, AnswerOk("answer to " + request.payload));
  }
  REQUIRE(f.complete());
  for (size_t i = 0; i < 3; ++i)
    CHECK(f.complete()->answers[i].body ==
          "answer to payload" + std::to_string(i));
  CHECK(f.usage.tasks == 3);
}

// One attempt of a job of one task ends in each possible way. Only where it is
// proven that the task did not run may it start again.
TEST_CASE("dispatcher: what each end of an attempt leads to") {
  struct end_case {
    const char* name;
    http_result end;
    bool starts_again;
    failure_reason reason;
    int booked;
  };
  const std::vector<end_case> cases = {
      {"connect failed", ConnectFailed(), true, {}, 0},
      {"timeout before any byte",
       http_failure{http_failure_kind::kTimeout, true},
       true,
       {},
       0},
      {"refused, no slot", AnswerNotRun("slots"), true, {}, 0},
      {"refused, leaving", AnswerNotRun("leaving"), true, {}, 0},
      {"refused, unknown reason", AnswerNotRun("moon"), true, {}, 0},
      {"reset after a byte", ResetAfterSending(), false,
       failure_reason::kOutcomeUnknown, 0},
      {"timeout after sending",
       http_failure{http_failure_kind::kTimeout, false}, false,
       failure_reason::kOutcomeUnknown, 0},
      {"cut reply", http_failure{http_failure_kind::kTruncated, false}, false,
       failure_reason::kOutcomeUnknown, 0},
      {"plain 503", AnswerStatus(503), false, failure_reason::kOutcomeUnknown,
       0},
      {"lease lapsed", AnswerStatus(504), false,
       failure_reason::kOutcomeUnknown, 0},
      {"success that says not run",
       http_reply{200, {{"Jasminedyke-Run", "not-run"}}, "x"},
       false,
       {},
       0},
      {"reply for another task",
       http_reply{200, {{"Jasminedyke-Task", "other/0"}}, "x"}, false,
       failure_reason::kOutcomeUnknown, 0},
      {"task error", AnswerStatus(500), false, failure_reason::kTaskFailed, 0},
      {"task error with its run time",
       http_reply{422, {{"Jasminedyke-Run-Ms", "50"}}, ""}, false,
       failure_reason::kTaskFailed, 1},
      {"run time that makes no sense",
       http_reply{200, {{"Jasminedyke-Run-Ms", "-5"}}, "x"},
       false,
       {},
       0},
  };
  for (const end_case& each : cases) {
    CAPTURE(each.name);
    fixture f;
    f.Submit(f.Spec(1));
    REQUIRE(f.port.attempts.size() == 1);
    f.port.End(0, each.end);
    f.clock.Advance(std::chrono::seconds(5));
    CHECK((f.port.attempts.size() > 1) == each.starts_again);
    CHECK(f.usage.tasks == each.booked);
    if (each.starts_again) {
      CHECK_FALSE(f.result);
    } else if (f.failed()) {
      CHECK(f.failed()->reason == each.reason);
      CHECK(f.failed()->may_have_run);
    } else {
      CHECK(f.complete());
    }
  }
}

// The first failed task dooms the job: its waiting tasks could produce
// nothing and must not start; a late answer of a running one goes nowhere.
TEST_CASE("dispatcher: the first failed task ends the job") {
  fixture f;
  f.Submit(f.Spec(20));
  REQUIRE(f.port.attempts.size() == 4);
  f.port.End(1, AnswerStatus(500));
  REQUIRE(f.failed());
  CHECK(f.failed()->task == task_index(1));
  CHECK(f.jobs.waiting_tasks() == 0);
  f.port.End(0, AnswerOk("late"));
  f.port.End(2, AnswerOk("late"));
  f.clock.Advance(std::chrono::seconds(5));
  CHECK(f.port.attempts.size() == 4);
  CHECK(f.outcomes == 1);
  // The late work was done for the team all the same.
  CHECK(f.usage.tasks == 2);
}

// A request that is marked idempotent is tried on another upstream; a hold is
// not, whatever happened to it.
TEST_CASE("dispatcher: only repeatable requests are repeated") {
  for (bool may_repeat : {true, false}) {
    CAPTURE(may_repeat);
    fixture f;
    f.Submit(f.Spec(1, may_repeat));
    f.port.End(0, ResetAfterSending());
    CHECK((f.port.attempts.size() == 2) == may_repeat);
    if (!may_repeat)
      continue;
    CHECK(f.port.attempts[1].request.upstream !=
          f.port.attempts[0].request.upstream);
    f.port.End(1, AnswerOk("second"));
    CHECK(f.complete());
  }
}

// Every upstream refuses everything for a minute. The refused task must not
// circle between them: its retries are bounded by the budget.
TEST_CASE("dispatcher: a refused task does not go round in circles") {
  fixture f(4);
  job_spec spec = f.Spec(1);
  spec.timeout = std::chrono::seconds(60);
  f.Submit(std::move(spec));
  for (int i = 0; i < 600; ++i) {
    size_t started = f.port.attempts.size();
    for (size_t n = 0; n < started; ++n) {
      if (f.port.attempts[n].done) {
        auto done = std::exchange(f.port.attempts[n].done, nullptr);
        done(ClassifyResult(f.port.attempts[n].request, AnswerNotRun("slots")));
      }
    }
    f.clock.Advance(std::chrono::milliseconds(100));
  }
  REQUIRE(f.failed());
  CHECK(f.failed()->reason == failure_reason::kTimeout);
  // Nothing ran, and the caller is told so.
  CHECK_FALSE(f.failed()->may_have_run);
  CHECK(f.port.attempts.size() < 60);
}

// The process is stopped for ten seconds. On waking the job's deadline has
// passed; its tasks must not start now, whatever message comes first.
TEST_CASE("dispatcher: nothing starts after a pause beyond the deadline") {
  fixture f(1, 1);
  job_spec spec = f.Spec(3);
  spec.timeout = std::chrono::seconds(5);
  f.Submit(std::move(spec));
  REQUIRE(f.port.attempts.size() == 1);
  f.clock.Pause(std::chrono::seconds(10));
  f.port.End(0, AnswerOk("late"));
  f.clock.Advance(std::chrono::seconds(1));
  CHECK(f.port.attempts.size() == 1);
  REQUIRE(f.failed());
  CHECK(f.failed()->reason == failure_reason::kTimeout);
}

TEST_CASE("dispatcher: a task that no upstream can hold is refused as such") {
  fixture f;
  job_spec spec = f.Spec(1);
  spec.tasks[0].memory_mb = 2000;
  auto submitted = f.Submit(std::move(spec));
  REQUIRE_FALSE(submitted.ok());
  CHECK(submitted.error().reason == refusal_reason::kNoUpstreamFits);
  CHECK(submitted.error().retry_after == duration::zero());
  CHECK(f.port.attempts.empty());
}

// A burst far beyond what can be served: the queue stays within its caps, and
// what is refused says when to come back.
TEST_CASE("dispatcher: a burst does not grow the queue without bound") {
  fixture f;
  int refused = 0;
  for (int i = 0; i < 2000; ++i) {
    auto submitted = f.Submit(f.Spec(100));
    if (submitted.ok())
      continue;
    ++refused;
    CHECK(submitted.error().retry_after > duration::zero());
  }
  CHECK(refused > 1900);
  CHECK(f.jobs.waiting_tasks() <= queue_caps().waiting_tasks);
}

TEST_CASE("dispatcher: thousands of cancellations leave nothing behind") {
  fixture f;
  std::vector<local_job> mine;
  for (int i = 0; i < 3000; ++i) {
    job_spec spec = f.Spec(5);
    // A long target, so that admission takes them all.
    spec.settings.target = std::chrono::hours(1);
    spec.timeout = std::chrono::hours(1);
    auto submitted = f.Submit(std::move(spec));
    if (submitted.ok())
      mine.push_back(submitted.value());
  }
  REQUIRE(mine.size() == 3000);
  for (local_job job : mine)
    f.jobs.Cancel(job);
  CHECK(f.outcomes == 3000);
  CHECK(f.jobs.jobs() == 0);
  CHECK(f.jobs.waiting_tasks() == 0);
  CHECK(f.jobs.queued_bytes() == 0);
}

}  // namespace
}  // namespace jasminedyke
