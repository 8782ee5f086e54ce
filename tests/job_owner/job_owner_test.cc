// Tests where a job's owner sends tasks and how it handles refusals.

#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const instance_id kNorth("north-1");
const instance_id kSouth("south-1");

// An owner in the failure domain `north` that knows a home there and one in the
// failure domain `south`.
struct job_owner_fixture {
  job_owner_fixture() {
    Tell(kNorth, "north", 1, true);
    Tell(kSouth, "south", 2, true);
  }

  void Tell(const instance_id& home,
            const std::string& domain,
            uint64_t token,
            bool serving) {
    home_status status;
    status.group = {failure_domain_id(domain), 0};
    status.token = fencing_token(token);
    status.serving = serving;
    status.free_cpu_millis = 320'000;
    status.total_cpu_millis = 320'000;
    homes.Update(home, status);
    owner.OnHomesChanged();
  }

  void Submit(const std::string& key = "00000000000000aa") {
    run_job job;
    job.key = job_key(key);
    job.limit = milliseconds(1500);
    job_step step;
    step.tasks = 2;
    step.need = {14'000, 64, 0};
    step.estimate = milliseconds(60);
    job.steps.push_back(step);
    owner.Submit(std::move(job),
                 [this](const run_answer& a) { answers.push_back(a); });
  }

  void Refuse(const run_request& request, run_refusal why) {
    Refuse(kNorth, request, why, duration::zero());
  }

  void Refuse(const instance_id& home,
              const run_request& request,
              run_refusal why,
              duration retry_after) {
    run_report report{request.job, request.submission, {}};
    report.refusal = why;
    report.retry_after = retry_after;
    report.not_run = true;
    report.sending = request.sending;
    owner.OnReport(home, report);
  }

  manual_scheduler clock;
  home_directory homes{clock};
  std::vector<std::pair<instance_id, run_request>> sent;
  std::vector<run_answer> answers;
  job_owner owner{clock, failure_domain_id("north"), homes,
                  [this](const instance_id& to, const run_request& request) {
                    sent.emplace_back(to, request);
                    return true;
                  },
                  [](const instance_id&, const run_cancel&) {}};
};

}  // namespace

TEST_CASE("job_owner: a job that one home hands back goes to the other") {
  job_owner_fixture f;
  f.Submit();
  REQUIRE(f.sent.size() == 1);
  CHECK(f.sent[0].first == kNorth);
  CHECK(f.sent[0].second.may_pass);
  f.Refuse(f.sent[0].second, run_refusal::kBusy);
  REQUIRE(f.sent.size() == 2);
  CHECK(f.sent[1].first == kSouth);
  CHECK(!f.sent[1].second.may_pass);
  CHECK(!f.sent[1].second.tasks[0].maybe_started);
}

TEST_CASE("job_owner: a job that arrives just before the first home") {
  // After a power loss of all instances, callers arrive at once and homes begin
  // 0.2 s later. Guards against refusing callers that could be served after
  // that time. If no home has been known for long, the refusal comes at once.
  job_owner_fixture f;
  f.Tell(kNorth, "north", 1, false);
  f.Tell(kSouth, "south", 2, false);
  SUBCASE("is served when the home begins") {
    f.Submit();
    f.clock.Advance(milliseconds(200));
    CHECK(f.answers.empty());
    f.Tell(kSouth, "south", 3, true);
    REQUIRE(f.sent.size() == 1);
    CHECK(f.sent[0].first == kSouth);
  }
  SUBCASE("is refused as not run if none begins") {
    f.Submit();
    f.clock.Advance(milliseconds(600));
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].outcome == run_outcome::kNotRun);
    CHECK(f.answers[0].retry_after > duration::zero());
    CHECK(f.sent.empty());
  }
  SUBCASE("is refused at once when none has been known for long") {
    f.clock.Advance(milliseconds(600));
    f.Submit();
    f.clock.Advance(milliseconds(1));
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].outcome == run_outcome::kNotRun);
  }
}

TEST_CASE("job_owner: new jobs avoid a silent home") {
  // If a home's process hangs or loses power, its link breaks only a second
  // later. Guards against sending short jobs there in the meantime.
  job_owner_fixture f;
  f.clock.Advance(milliseconds(150));
  f.Tell(kSouth, "south", 2, true);
  f.Submit();
  REQUIRE(f.sent.size() == 1);
  CHECK(f.sent[0].first == kNorth);
  f.owner.GiveUpAll();
  f.clock.Advance(milliseconds(100));
  f.Submit("00000000000000bb");
  REQUIRE(f.sent.size() == 2);
  CHECK(f.sent[1].first == kSouth);
}

TEST_CASE("job_owner: a late refusal by a home that began again") {
  // The home stops and begins again after the job was sent, so the job is sent
  // again and its tasks start there. Then the first request's refusal arrives,
  // as not run. Guards against sending the job elsewhere because of it.
  for (run_refusal why :
       {run_refusal::kBusy, run_refusal::kNotHome, run_refusal::kOverload}) {
    CAPTURE(ToString(why));
    job_owner_fixture f;
    f.Submit();
    f.Tell(kNorth, "north", 1, false);
    f.Tell(kNorth, "north", 3, true);
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].first == kNorth);
    CHECK(f.sent[1].second.tasks[0].maybe_started);
    f.Refuse(f.sent[0].second, why);
    f.clock.Advance(milliseconds(10));
    CHECK(f.sent.size() == 2);
    CHECK(f.answers.empty());
  }
}

TEST_CASE("job_owner: a refusal of a later step does not cover earlier ones") {
  // Guards against telling a caller that nothing ran after a step has run.
  job_owner_fixture f;
  run_job job;
  job.key = job_key("00000000000000aa");
  job.limit = milliseconds(1500);
  job_step step;
  step.tasks = 1;
  step.need = {14'000, 64, 0};
  job.steps = {step, step};
  job.steps[1].after = {0};
  f.owner.Submit(std::move(job),
                 [&f](const run_answer& a) { f.answers.push_back(a); });
  REQUIRE(f.sent.size() == 1);
  run_report done{f.sent[0].second.job, f.sent[0].second.submission, {}};
  done.tasks.push_back({{0, 0}, task_verdict::kDone});
  f.owner.OnReport(instance_id(f.sent[0].first), done);
  for (size_t i = 1; i < 4 && i < f.sent.size(); ++i) {
    run_report refusal{f.sent[i].second.job, f.sent[i].second.submission, {}};
    refusal.refusal = run_refusal::kOverload;
    refusal.not_run = true;
    refusal.sending = f.sent[i].second.sending;
    f.owner.OnReport(instance_id(f.sent[i].first), refusal);
  }
  f.clock.Advance(milliseconds(10));
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].outcome == run_outcome::kUnknown);
}

// Guards against a later step that is never sent, since an earlier submission
// of the job had sent it.
TEST_CASE("job_owner: a job of two steps comes again while the second runs") {
  job_owner_fixture f;
  run_job job;
  job.key = job_key("00000000000000aa");
  job.limit = milliseconds(1500);
  job_step step;
  step.tasks = 1;
  step.need = {14'000, 64, 0};
  job.steps = {step, step};
  job.steps[1].after = {0};
  for (size_t submission = 0; submission < 2; ++submission) {
    CAPTURE(submission);
    f.owner.Submit(job, [&f](const run_answer& a) { f.answers.push_back(a); });
    REQUIRE(f.sent.size() == 2 * submission + 1);
    const run_request& first = f.sent.back().second;
    CHECK(f.sent.back().first == kNorth);
    CHECK(first.tasks[0].maybe_started == (submission > 0));
    run_report done{first.job, first.submission, {}};
    done.tasks.push_back({{0, 0}, task_verdict::kDone});
    f.owner.OnReport(kNorth, done);
    REQUIRE(f.sent.size() == 2 * submission + 2);
    const run_request& second = f.sent.back().second;
    REQUIRE(second.tasks.size() == 1);
    CHECK(second.tasks[0].position.step == 1);
    CHECK(second.tasks[0].maybe_started == (submission > 0));
  }
}

TEST_CASE("job_owner: a superseded job is not sent elsewhere") {
  // Guards against running the job twice: the same home runs the caller's newer
  // submission.
  job_owner_fixture f;
  f.Submit();
  REQUIRE(f.sent.size() == 1);
  f.Refuse(f.sent[0].second, run_refusal::kSuperseded);
  f.clock.Advance(milliseconds(10));
  CHECK(f.sent.size() == 1);
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].outcome == run_outcome::kUnknown);
}

// Guards against a caller that comes back while a late start may still arrive:
// it is told when to, also if parts of its job may have run.
TEST_CASE("job_owner: a job that may have run is refused with a time") {
  job_owner_fixture f;
  f.Submit();
  REQUIRE(f.sent.size() == 1);
  run_report refusal{f.sent[0].second.job, f.sent[0].second.submission, {}};
  refusal.refusal = run_refusal::kOverload;
  refusal.sending = f.sent[0].second.sending;
  refusal.retry_after = milliseconds(9000);
  f.owner.OnReport(kNorth, refusal);
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].outcome == run_outcome::kUnknown);
  CHECK(f.answers[0].retry_after == milliseconds(9000));
}

// Guards against telling a caller when the last home expects room, as only the
// first one reserves a place for the job.
TEST_CASE("job_owner: a refused caller is told when the first home has room") {
  job_owner_fixture f;
  f.Submit();
  REQUIRE(f.sent.size() == 1);
  CHECK(!f.sent[0].second.has_place);
  f.Refuse(kNorth, f.sent[0].second, run_refusal::kOverload,
           milliseconds(3000));
  run_refusal last = run_refusal::kOverload;
  SUBCASE("if the next one is overloaded too") {}
  SUBCASE("if the next one has no upstream") {
    last = run_refusal::kNoUpstream;
  }
  f.clock.Advance(milliseconds(100));
  REQUIRE(f.sent.size() == 2);
  CHECK(f.sent[1].second.has_place);
  f.Refuse(kSouth, f.sent[1].second, last, milliseconds(1000));
  f.clock.Advance(milliseconds(1));
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].outcome == run_outcome::kNotRun);
  CHECK(f.answers[0].retry_after == milliseconds(2900));
}

TEST_CASE("job_owner: a retry time that has passed is not sent") {
  job_owner_fixture f;
  f.Submit();
  f.Refuse(kNorth, f.sent[0].second, run_refusal::kOverload,
           milliseconds(1000));
  f.clock.Advance(milliseconds(1200));
  REQUIRE(f.sent.size() == 2);
  f.Refuse(kSouth, f.sent[1].second, run_refusal::kOverload,
           milliseconds(4000));
  f.clock.Advance(milliseconds(1));
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers[0].retry_after == milliseconds(4000));
}

}  // namespace jasminedyke
