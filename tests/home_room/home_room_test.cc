// Tests the capacity estimates of a home and the retry delays of refused jobs.

#include <algorithm>
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kUpdateInterval = milliseconds(50);

struct room_fixture {
  void Enqueue(int priority,
               double work,
               job_lateness lateness = job_lateness::kOnTime) {
    waiting.push_back({{lateness, priority, work}, {}, work, &job});
  }

  void Update(duration passed = kUpdateInterval) {
    now += passed;
    room.Update(now, {waiting, done, cores});
  }

  // Runs for `length` while tasks of one priority end that took `share` of the
  // offered core-seconds.
  void Run(duration length, int priority, double share) {
    Update();
    for (time_point end = now + length; now < end;) {
      done.Add(priority, share * cores * ToSeconds(kUpdateInterval));
      Update();
    }
  }

  duration Refuse(int priority, double work, bool has_place = false) {
    job.request.has_place = has_place;
    return room.RetryAfter(now, {{{}, priority, work}, {}, work, &job});
  }

  time_point now{std::chrono::hours(1)};
  home_job job;
  std::vector<waiting_job> waiting;
  priority_work done;
  double cores = 10;
  home_room room;
};

}  // namespace

TEST_CASE("home_room: a job waits for what goes before it") {
  room_fixture f;
  f.Enqueue(1, 4);
  f.Enqueue(2, 8);
  f.Enqueue(1, 100, job_lateness::kLate);
  f.Update();
  CHECK(f.room.ExpectedWait(0) == duration::zero());
  CHECK(ToSeconds(f.room.ExpectedWait(1)) == doctest::Approx(0.5));
  CHECK(ToSeconds(f.room.ExpectedWait(2)) == doctest::Approx(1.5));
}

TEST_CASE("home_room: the wait follows the rate at which work ends") {
  room_fixture f;
  f.Enqueue(1, 4);
  f.Run(seconds(8), 1, 0.4);
  CHECK(ToSeconds(f.room.ExpectedWait(1)) == doctest::Approx(1).epsilon(0.02));
  f.Run(seconds(8), 1, 0.8);
  CHECK(ToSeconds(f.room.ExpectedWait(1)) ==
        doctest::Approx(0.5).epsilon(0.02));
}

TEST_CASE("home_room: only what more urgent jobs leave is room") {
  room_fixture f;
  f.Enqueue(2, 2);
  f.Update();
  for (int i = 0; i < 200; ++i) {
    f.done.Add(0, 0.6 * f.cores * ToSeconds(kUpdateInterval));
    f.done.Add(2, 0.2 * f.cores * ToSeconds(kUpdateInterval));
    f.Update();
  }
  CHECK(f.room.ExpectedWait(0) == duration::zero());
  CHECK(ToSeconds(f.room.ExpectedWait(2)) == doctest::Approx(1).epsilon(0.02));
}

// Guards against estimates that still count lost upstreams.
TEST_CASE("home_room: lost upstreams count at once") {
  room_fixture f;
  f.Enqueue(1, 4);
  f.Run(seconds(4), 1, 0.8);
  f.cores = 5;
  f.Update();
  CHECK(ToSeconds(f.room.ExpectedWait(1)) == doctest::Approx(1).epsilon(0.02));
}

// Guards against taking idle time, in which few tasks end, for a low rate.
TEST_CASE("home_room: the rate is seen only while work waits") {
  room_fixture f;
  f.Run(seconds(60), 1, 0.01);
  f.Enqueue(1, 4);
  f.Update();
  CHECK(ToSeconds(f.room.ExpectedWait(1)) == doctest::Approx(0.5));
}

// Guards against an unbounded wait if a job waits for a particular upstream
// while others are idle.
TEST_CASE("home_room: some room is expected though no work ends") {
  room_fixture f;
  f.Enqueue(1, 4);
  f.Run(seconds(60), 1, 0);
  CHECK(f.room.ExpectedWait(1) <= seconds(2));
}

// Guards against counting the time in which an instance was not home as one in
// which no work ended.
TEST_CASE("home_room: a pause between looks says nothing of the rate") {
  room_fixture f;
  f.Enqueue(1, 4);
  f.Run(seconds(4), 1, 0.8);
  f.Update(seconds(30));
  CHECK(ToSeconds(f.room.ExpectedWait(1)) ==
        doctest::Approx(0.5).epsilon(0.02));
}

// Guards against a division by zero cores, and against reserving capacity that
// does not exist.
TEST_CASE("home_room: no upstream takes work") {
  room_fixture f;
  f.cores = 0;
  f.Enqueue(1, 4);
  f.Update();
  CHECK(f.room.ExpectedWait(1) == seconds(1));
  CHECK(f.Refuse(1, 8) == seconds(1));
  CHECK(f.Refuse(1, 8) == seconds(1));
}

TEST_CASE("home_room: jobs sent away together return as room becomes free") {
  room_fixture f;
  f.Enqueue(1, 16);
  f.Update();
  // Eight core-seconds are served per second, which is 16 such jobs.
  const double work = 0.5;
  std::map<int64_t, int> retries_by_second;
  double refused_work = 0;
  for (int i = 0; i < 100; ++i) {
    double retry_after = ToSeconds(f.Refuse(1, work));
    double expected = 2 + refused_work / 8;
    CHECK(retry_after >= doctest::Approx(expected).epsilon(0.001));
    CHECK(retry_after <= doctest::Approx(expected).epsilon(0.001));
    refused_work += work;
    ++retries_by_second[static_cast<int64_t>(retry_after + 0.001)];
  }
  for (const auto& [second, jobs] : retries_by_second)
    CHECK(jobs <= 16);
}

TEST_CASE("home_room: urgent jobs sent away go before the others") {
  room_fixture f;
  f.Enqueue(0, 16);
  f.Update();
  CHECK(f.Refuse(2, 8) == seconds(2));
  CHECK(f.Refuse(2, 8) == seconds(3));
  CHECK(f.Refuse(0, 8) == seconds(2));
  CHECK(f.Refuse(2, 8) == seconds(5));
}

// Guards against a reservation at each home that refuses the same job.
TEST_CASE("home_room: only the first home keeps a place for a job") {
  room_fixture f;
  f.Enqueue(1, 16);
  f.Update();
  CHECK(f.Refuse(1, 8, true) == seconds(2));
  CHECK(f.Refuse(1, 8, true) == seconds(2));
  CHECK(f.Refuse(1, 8) == seconds(2));
  CHECK(f.Refuse(1, 8, true) == seconds(3));
}

// Guards against reservations that accumulate while callers retry.
TEST_CASE("home_room: nobody is told more than the horizon") {
  room_fixture f;
  f.Enqueue(1, 16);
  f.Update();
  for (int i = 0; i < 1000; ++i)
    CHECK(f.Refuse(1, 8) <= seconds(10));
  f.waiting.clear();
  f.Update(seconds(12));
  CHECK(f.Refuse(1, 8) == seconds(1));
}

// Guards against memory use that grows with the number of configured
// priorities.
TEST_CASE("home_room: a bounded number of priorities is kept apart") {
  priority_work work;
  for (int priority = 0; priority < 100; ++priority)
    work.Add(priority, 1);
  CHECK(work.all().size() == priority_work::kMaxPriorities);
  CHECK(work.UpTo(100) == 100);
}

// Guards against a wait that overflows: jobs behind the work of one that asks
// for all that callers may ask for would count as served at once.
TEST_CASE("a wait for more work than any is beyond all limits") {
  constexpr double kMostCores = 1e6 * 100'000;
  constexpr double kSecondsOfDay = 86'400;
  time_point now(std::chrono::hours(1));
  scheduling_criteria criteria;
  criteria.useful_until = now + std::chrono::hours(24);
  criteria.limit = now + std::chrono::hours(24);
  duration wait = EstimateWait({kMostCores * kSecondsOfDay, 32});
  CHECK(wait > std::chrono::hours(24 * 30));
  CHECK(now + wait > now);
  CHECK(IsHopeless(criteria, wait, now));
}

}  // namespace jasminedyke
