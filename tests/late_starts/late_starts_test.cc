// Tests of the record of orders that may arrive late.

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const upstream_id kFirst("u1");
const upstream_id kSecond("u2");
const task_name kTask{job_key("00000000000000aa"), 0, {0, 0}};

late_starts::start Run(uint64_t number) {
  return {kTask, run_number(number)};
}

}  // namespace

// Guards against a task that is free as soon as one of its orders is over.
TEST_CASE("late_starts: a task stays until its last order can't arrive") {
  late_starts late;
  time_point start{};
  late.Add(kFirst, Run(1), start, start);
  late.Add(kFirst, Run(1), start + milliseconds(30), start + milliseconds(30));
  late.Add(kFirst, Run(1), start + milliseconds(30), start + milliseconds(40));
  time_point end = start + milliseconds(30) + kMaxOrderDelay;
  auto place = late.PlaceOf(kTask, end - milliseconds(1));
  REQUIRE(place);
  CHECK(place->upstream == kFirst);
  CHECK(place->until == end);
  CHECK(!late.PlaceOf(kTask, end));
  SUBCASE("an answer to one order says nothing of the other") {
    late.Remove(kFirst, Run(1), start + milliseconds(30));
    CHECK(late.PlaceOf(kTask, start + kMaxOrderDelay - milliseconds(1)));
    CHECK(!late.PlaceOf(kTask, start + kMaxOrderDelay));
    late.Remove(kFirst, Run(1), start);
    CHECK(late.empty());
  }
  SUBCASE("orders are forgotten") {
    task_name other{job_key("00000000000000bb"), 0, {0, 0}};
    late.Add(kSecond, {other, run_number(1)}, end, end);
    late.Remove(kSecond, {other, run_number(1)}, end);
    late.Add(kSecond, {other, run_number(1)}, end, end + milliseconds(20));
    late.Remove(kSecond, {other, run_number(1)}, end);
    CHECK(late.empty());
  }
}

// Guards against a run beside an order of a lower number that its upstream does
// not refuse.
TEST_CASE("late_starts: refusals hold for one incarnation") {
  late_starts late;
  time_point now{};
  late.Add(kFirst, Run(1), now, now);
  late.Add(kFirst, Run(2), now, now);
  CHECK(late.Unrefused(kFirst, now) == std::vector{Run(2)});
  CHECK(late.Unrefused(kSecond, now).empty());
  late.OnRefused(kFirst, Run(1));
  CHECK(!late.PlaceOf(kTask, now)->refused);
  late.OnRefused(kFirst, Run(2));
  CHECK(late.PlaceOf(kTask, now)->refused);
  CHECK(late.PlaceOf(kTask, now)->last_run == run_number(2));
  CHECK(late.Unrefused(kFirst, now).empty());
  late.OnNewIncarnation(kSecond);
  CHECK(late.PlaceOf(kTask, now)->refused);
  late.OnNewIncarnation(kFirst);
  CHECK(!late.PlaceOf(kTask, now)->refused);
  CHECK(late.Unrefused(kFirst, now) == std::vector{Run(2)});
}

// Guards against a run on one upstream beside a late one on another.
TEST_CASE("late_starts: no upstream may run a task with orders to two") {
  late_starts late;
  time_point now{};
  late.Add(kFirst, Run(1), now, now);
  late.Add(kSecond, Run(2), now + milliseconds(100), now + milliseconds(100));
  CHECK(late.PlaceOf(kTask, now)->upstream.empty());
  CHECK(late.PlaceOf(kTask, now + kMaxOrderDelay)->upstream == kSecond);
}

}  // namespace jasminedyke
