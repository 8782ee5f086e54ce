// Tests of quarantine, trials and slowness of upstreams.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "policy/policy.h"

namespace jasminedyke {
namespace {

const upstream_id kBad("u0");

struct fixture {
  fixture() {
    std::vector<upstream_id> ids;
    ids.reserve(6);
    for (int i = 0; i < 6; ++i)
      ids.emplace_back("u" + std::to_string(i));
    health.SetUpstreams(ids);
  }
  void Fail(int times, const upstream_id& id = kBad) {
    for (int i = 0; i < times; ++i)
      health.Record({id, slot_result::kTaskError}, now);
  }

  time_point now{std::chrono::hours(1)};
  upstream_health health;
};

TEST_CASE("upstream_health: three failures in a row, and a trial to return") {
  fixture f;
  f.Fail(2);
  CHECK(f.health.MayReceive(kBad, f.now));
  f.Fail(1);
  CHECK_FALSE(f.health.MayReceive(kBad, f.now));
  f.now += std::chrono::seconds(1);
  CHECK(f.health.verdict(kBad, f.now) == health_verdict::kOnTrial);
  CHECK(f.health.TrialNeedsIdempotent(kBad, f.now));
  f.health.RecordStart(kBad, f.now);
  // A trial sends only one task at a time.
  CHECK_FALSE(f.health.MayReceive(kBad, f.now));
  f.Fail(1);
  f.now += std::chrono::milliseconds(1500);
  CHECK_FALSE(f.health.MayReceive(kBad, f.now));
  f.now += std::chrono::milliseconds(600);
  f.health.RecordStart(kBad, f.now);
  f.health.Record({kBad, slot_result::kAnswered}, f.now);
  CHECK(f.health.verdict(kBad, f.now) == health_verdict::kFit);
}

TEST_CASE("upstream_health: what counts as failure") {
  struct result_case {
    slot_result result;
    bool quarantined;
  };
  const std::vector<result_case> cases = {
      {slot_result::kUnused, false},   {slot_result::kAnswered, false},
      {slot_result::kTaskError, true}, {slot_result::kFull, false},
      {slot_result::kLeaving, false},  {slot_result::kUnreachable, true},
      {slot_result::kBroken, true},    {slot_result::kStopped, false},
  };
  for (const result_case& each : cases) {
    fixture f;
    for (int i = 0; i < 5; ++i)
      f.health.Record({kBad, each.result}, f.now);
    CAPTURE(static_cast<int>(each.result));
    CHECK(f.health.MayReceive(kBad, f.now) != each.quarantined);
  }
}

// When the instance's own network fails, every upstream appears to fail.
// Stopping all work would then cause an outage, so the verdicts are ignored.
TEST_CASE("upstream_health: when most look bad the view is suspected") {
  fixture f;
  for (int i = 0; i < 3; ++i)
    f.Fail(3, upstream_id("u" + std::to_string(i)));
  CHECK_FALSE(f.health.MayReceive(kBad, f.now));
  f.Fail(3, upstream_id("u3"));
  CHECK(f.health.MayReceive(kBad, f.now));
}

// A peer that reports every upstream as failed has no effect while they work.
TEST_CASE("upstream_health: a peer's word alone quarantines nothing") {
  fixture f;
  for (int round = 0; round < 10; ++round) {
    f.health.RecordPeerVerdict(kBad, f.now);
    CHECK(f.health.MayReceive(kBad, f.now));
    f.health.Record({kBad, slot_result::kAnswered}, f.now);
  }
  f.health.RecordPeerVerdict(kBad, f.now);
  f.Fail(1);
  CHECK_FALSE(f.health.MayReceive(kBad, f.now));
}

// Without idempotent tasks an upstream could never leave its quarantine. After
// a while a trial accepts any task.
TEST_CASE("upstream_health: a trial falls back to any task") {
  fixture f;
  f.Fail(3);
  f.now += std::chrono::seconds(1);
  CHECK(f.health.TrialNeedsIdempotent(kBad, f.now));
  for (int i = 0; i < 6; ++i) {
    f.health.RecordStart(kBad, f.now);
    f.health.Record({kBad, slot_result::kUnused}, f.now);
    f.now += std::chrono::milliseconds(500);
  }
  CHECK_FALSE(f.health.TrialNeedsIdempotent(kBad, f.now));
  CHECK(f.health.MayReceive(kBad, f.now));
}

TEST_CASE("upstream_health: slowness fades without new runs") {
  fixture f;
  for (int i = 0; i < 50; ++i)
    f.health.Record({kBad, slot_result::kAnswered, 4}, f.now);
  CHECK(f.health.slowness(kBad, f.now) > 3.5);
  f.now += std::chrono::seconds(60);
  CHECK(f.health.slowness(kBad, f.now) < 1.5);
}

}  // namespace
}  // namespace jasminedyke
