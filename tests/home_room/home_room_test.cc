// When room is expected at a home, and what those are told that it sends away.

#include <algorithm>
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kLook = milliseconds(50);

struct room_fixture {
  void Wait(int priority,
            double work,
            job_lateness lateness = job_lateness::kOnTime) {
    waiting.push_back({{lateness, priority, work}, {}, work, &job});
  }

  void Look(duration passed = kLook) {
    now += passed;
    room.Look(now, {waiting, done, cores});
  }

  // `share` of what the upstreams offer ends, of one priority.
  void Play(duration length, int priority, double share) {
    Look();
    for (time_point end = now + length; now < end;) {
      done.Add(priority, share * cores * ToSeconds(kLook));
      Look();
    }
  }

  duration SendAway(int priority, double work, bool has_place = false) {
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
  f.Wait(1, 4);
  f.Wait(2, 8);
  f.Wait(1, 100, job_lateness::kLate);
  f.Look();
  CHECK(f.room.WaitOf(0) == duration::zero());
  CHECK(ToSeconds(f.room.WaitOf(1)) == doctest::Approx(0.5));
  CHECK(ToSeconds(f.room.WaitOf(2)) == doctest::Approx(1.5));
}

TEST_CASE("home_room: the wait follows the rate at which work ends") {
  room_fixture f;
  f.Wait(1, 4);
  f.Play(seconds(8), 1, 0.4);
  CHECK(ToSeconds(f.room.WaitOf(1)) == doctest::Approx(1).epsilon(0.02));
  f.Play(seconds(8), 1, 0.8);
  CHECK(ToSeconds(f.room.WaitOf(1)) == doctest::Approx(0.5).epsilon(0.02));
}

TEST_CASE("home_room: only what more urgent jobs leave is room") {
  room_fixture f;
  f.Wait(2, 2);
  f.Look();
  for (int i = 0; i < 200; ++i) {
    f.done.Add(0, 0.6 * f.cores * ToSeconds(kLook));
    f.done.Add(2, 0.2 * f.cores * ToSeconds(kLook));
    f.Look();
  }
  CHECK(f.room.WaitOf(0) == duration::zero());
  CHECK(ToSeconds(f.room.WaitOf(2)) == doctest::Approx(1).epsilon(0.02));
}

// Guards against answers from before half of the upstreams were lost.
TEST_CASE("home_room: lost upstreams count at once") {
  room_fixture f;
  f.Wait(1, 4);
  f.Play(seconds(4), 1, 0.8);
  f.cores = 5;
  f.Look();
  CHECK(ToSeconds(f.room.WaitOf(1)) == doctest::Approx(1).epsilon(0.02));
}

// Guards against idle hours that look as if nothing became free.
TEST_CASE("home_room: the rate is seen only while work waits") {
  room_fixture f;
  f.Play(seconds(60), 1, 0.01);
  f.Wait(1, 4);
  f.Look();
  CHECK(ToSeconds(f.room.WaitOf(1)) == doctest::Approx(0.5));
}

// Guards against a job that waits for an upstream of its own, beside idle ones.
TEST_CASE("home_room: some room is expected though no work ends") {
  room_fixture f;
  f.Wait(1, 4);
  f.Play(seconds(60), 1, 0);
  CHECK(f.room.WaitOf(1) <= seconds(2));
}

// Guards against a home that begins again and takes the time between for one in
// which no work ended.
TEST_CASE("home_room: a pause between looks says nothing of the rate") {
  room_fixture f;
  f.Wait(1, 4);
  f.Play(seconds(4), 1, 0.8);
  f.Look(seconds(30));
  CHECK(ToSeconds(f.room.WaitOf(1)) == doctest::Approx(0.5).epsilon(0.02));
}

// Guards against a division by no cores, and against promises without any.
TEST_CASE("home_room: no upstream takes work") {
  room_fixture f;
  f.cores = 0;
  f.Wait(1, 4);
  f.Look();
  CHECK(f.room.WaitOf(1) == seconds(1));
  CHECK(f.SendAway(1, 8) == seconds(1));
  CHECK(f.SendAway(1, 8) == seconds(1));
}

TEST_CASE("home_room: jobs sent away together return as room becomes free") {
  room_fixture f;
  f.Wait(1, 16);
  f.Look();
  // Eight core-seconds a second: room for 16 such jobs.
  const double work = 0.5;
  std::map<int64_t, int> by_second;
  double before = 0;
  for (int i = 0; i < 100; ++i) {
    double told = ToSeconds(f.SendAway(1, work));
    double expected = 2 + before / 8;
    CHECK(told >= doctest::Approx(expected).epsilon(0.001));
    CHECK(told <= doctest::Approx(expected).epsilon(0.001));
    before += work;
    ++by_second[static_cast<int64_t>(told + 0.001)];
  }
  for (const auto& [second, jobs] : by_second)
    CHECK(jobs <= 16);
}

TEST_CASE("home_room: urgent jobs sent away go before the others") {
  room_fixture f;
  f.Wait(0, 16);
  f.Look();
  CHECK(f.SendAway(2, 8) == seconds(2));
  CHECK(f.SendAway(2, 8) == seconds(3));
  CHECK(f.SendAway(0, 8) == seconds(2));
  CHECK(f.SendAway(2, 8) == seconds(5));
}

// Guards against places kept by each home that a job was refused by.
TEST_CASE("home_room: only the first home keeps a place for a job") {
  room_fixture f;
  f.Wait(1, 16);
  f.Look();
  CHECK(f.SendAway(1, 8, true) == seconds(2));
  CHECK(f.SendAway(1, 8, true) == seconds(2));
  CHECK(f.SendAway(1, 8) == seconds(2));
  CHECK(f.SendAway(1, 8, true) == seconds(3));
}

// Guards against promises that pile up while callers ask again and again.
TEST_CASE("home_room: nobody is told more than the horizon") {
  room_fixture f;
  f.Wait(1, 16);
  f.Look();
  for (int i = 0; i < 1000; ++i)
    CHECK(f.SendAway(1, 8) <= seconds(10));
  f.waiting.clear();
  f.Look(seconds(12));
  CHECK(f.SendAway(1, 8) == seconds(1));
}

// Guards against memory that grows with what operators configure.
TEST_CASE("home_room: a bounded number of priorities is kept apart") {
  priority_work work;
  for (int priority = 0; priority < 100; ++priority)
    work.Add(priority, 1);
  CHECK(work.all().size() == priority_work::kMost);
  CHECK(work.UpTo(100) == 100);
}

}  // namespace jasminedyke
