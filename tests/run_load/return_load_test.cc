// Callers that are sent away and come back: how often they try, and which of
// them are served.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/load_day.h"

namespace jasminedyke {

namespace {

using std::chrono::seconds;

const std::vector<uint64_t> kSeeds{1, 2, 3};
constexpr duration kUntilLastReturn = seconds(21);

// One domain, whose callers come back. Sums over several days.
struct returning_day {
  std::vector<load_class> classes = DeskClasses();
  caller_habit habit_of_first = caller_habit::kReturnAsTold;
  // Of two tasks, at one moment.
  int crowd = 0;
  std::map<std::string, std::vector<caller_result>> callers;

  void Play(duration length, double load) {
    for (uint64_t seed : kSeeds) {
      load_day day({"north"}, 2, 16, seed);
      day.SetClasses(classes);
      day.SetHabit(caller_habit::kReturnAsTold);
      day.SetHabitOfFirst(habit_of_first);
      day.clock.CallAfter(seconds(3),
                          [&day, this] { day.Crowd("two-tasks", crowd); });
      day.Play(length, load);
      day.Run(kUntilLastReturn);
      for (const load_class& each : classes)
        Add(each.queue, day.CallersOf(each.queue));
    }
    Print();
  }

  void Add(const std::string& queue, const std::vector<caller_result>& day) {
    std::vector<caller_result>& sums = callers[queue];
    sums.resize(std::max(sums.size(), day.size()));
    for (size_t i = 0; i < day.size(); ++i)
      sums[i] += day[i];
  }

  caller_result All(const std::string& queue, size_t from = 0) {
    caller_result sum;
    for (size_t i = from; i < callers[queue].size(); ++i)
      sum += callers[queue][i];
    return sum;
  }

  caller_result Worst(const std::string& queue) {
    return *std::ranges::min_element(callers[queue], {},
                                     &caller_result::served_share);
  }

  void Print() {
    for (const load_class& each : classes) {
      caller_result all = All(each.queue);
      MESSAGE(each.queue << ": served " << all.served_share() << ", worst "
                         << Worst(each.queue).served_share() << "; tries "
                         << all.tries_of_each() << "; first returns served "
                         << all.returns_served << " of " << all.returns
                         << "; seconds until served " << all.seconds_waited());
    }
  }
};

}  // namespace

TEST_CASE("load: a herd that returns after its Retry-After") {
  // Five seconds' work comes at one moment, as when a page is read out on air.
  // One refusal and one return is what its callers can bear.
  returning_day day;
  day.crowd = 400;
  day.Play(seconds(12), 0.6);
  for (const caller_result& caller : day.callers["two-tasks"])
    CHECK(caller.tries_of_each() < 2);
  CHECK(day.All("urgent").served_share() > 0.9);
  CHECK(day.All("long").served_share() > 0.9);
}

TEST_CASE("load: one queue at three times its usual demand") {
  // Who keeps the time that it was told is served then more often than not.
  returning_day day;
  day.classes[1].share *= 3;
  double sum = 0;
  for (const load_class& each : day.classes)
    sum += each.share;
  for (load_class& each : day.classes)
    each.share /= sum;
  day.Play(seconds(15), 1.4);
  CHECK(day.All("two-tasks").returns_served_share() > 0.5);
  CHECK(day.All("long").returns_served_share() > 0.5);
  CHECK(day.All("urgent").served_share() > 0.8);
  CHECK(day.Worst("two-tasks").served_share() > 0.8);
}

TEST_CASE("load: all queues at twice their usual demand") {
  returning_day day;
  day.Play(seconds(15), 1.5);
  CHECK(day.All("two-tasks").returns_served_share() > 0.5);
  CHECK(day.All("long").returns_served_share() > 0.5);
  CHECK(day.All("urgent").served_share() > 0.8);
  CHECK(day.Worst("two-tasks").served_share() > 0.8);
}

TEST_CASE("load: a caller that ignores its Retry-After") {
  // It is served no more often than those that keep to it, and they are served
  // as without it.
  returning_day day;
  day.habit_of_first = caller_habit::kReturnAtOnce;
  day.Play(seconds(15), 1.5);
  for (const load_class& each : day.classes) {
    double ignores = day.callers[each.queue].front().served_share();
    CHECK(ignores < day.All(each.queue, 1).served_share() + 0.05);
  }
  CHECK(day.All("two-tasks", 1).returns_served_share() > 0.5);
  CHECK(day.All("long", 1).returns_served_share() > 0.5);
}

}  // namespace jasminedyke
