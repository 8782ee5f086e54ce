// Tests of the expected run times of queues and jobs.

#include <random>

#include <doctest/doctest.h>

#include "policy/policy.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const queue_id kQueue("q");

struct fixture {
  double Uniform(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(random);
  }
  void Learn(duration guess, double ms) {
    now += milliseconds(5);
    model.Learn(kQueue, guess, FromSeconds(ms / 1000), now);
  }
  double UsualMs(duration guess, double pace = 0) const {
    return ToSeconds(model.Expect(kQueue, guess, pace).usual) * 1000;
  }
  double LongestMs(duration guess, double pace = 0) const {
    return ToSeconds(model.Expect(kQueue, guess, pace).longest) * 1000;
  }

  std::mt19937_64 random{7};
  time_point now = time_point() + std::chrono::seconds(100);
  run_time_model model;
};

}  // namespace

TEST_CASE("run_time_model: a queue of which nothing is known") {
  fixture f;
  CHECK(f.UsualMs(milliseconds(100)) == doctest::Approx(100));
  CHECK(f.LongestMs(milliseconds(100)) == doctest::Approx(350));
  // With a known pace of the job, the expectation is narrower.
  CHECK(f.UsualMs(milliseconds(100), 1.2) == doctest::Approx(120));
  CHECK(f.LongestMs(milliseconds(100), 1.2) == doctest::Approx(300));
  CHECK(f.LongestMs(duration::zero()) == 0);
}

TEST_CASE("run_time_model: a queue whose callers don't guess") {
  fixture f;
  for (int i = 0; i < 500; ++i)
    f.Learn(duration::zero(), f.Uniform(160, 240));
  CHECK(f.UsualMs(duration::zero()) == doctest::Approx(200).epsilon(0.1));
  CHECK(f.LongestMs(duration::zero()) > 240);
  CHECK(f.LongestMs(duration::zero()) < 500);
  // A job's pace is a multiple of the usual run time.
  CHECK(f.UsualMs(duration::zero(), 2) == doctest::Approx(400).epsilon(0.1));
}

TEST_CASE("run_time_model: guesses that are biased and off by 40 %") {
  fixture f;
  for (int i = 0; i < 500; ++i)
    f.Learn(milliseconds(100), 200 * f.Uniform(0.7, 1.4));
  CHECK(f.UsualMs(milliseconds(50)) == doctest::Approx(105).epsilon(0.15));
  CHECK(f.LongestMs(milliseconds(50)) > 140);
  CHECK(f.LongestMs(milliseconds(50)) < 230);
}

TEST_CASE("run_time_model: guesses change their meaning within the day") {
  // A new release of the callers guesses a third of the earlier values.
  fixture f;
  for (int i = 0; i < 2000; ++i)
    f.Learn(milliseconds(300), 300 * f.Uniform(0.8, 1.2));
  for (int i = 0; i < 600; ++i)
    f.Learn(milliseconds(100), 300 * f.Uniform(0.8, 1.2));
  CHECK(f.UsualMs(milliseconds(100)) == doctest::Approx(300).epsilon(0.15));
  // Runs after the change stay below the longest expected time, as the tail
  // includes runs from before and after it.
  CHECK(f.LongestMs(milliseconds(100)) > 360);
}

TEST_CASE("run_time_model: three tasks in a hundred are seven times as long") {
  fixture f;
  int beyond = 0;
  for (int i = 0; i < 5000; ++i) {
    double ms = 50 * f.Uniform(0.7, 1.3) * (f.Uniform(0, 1) < 0.03 ? 7 : 1);
    beyond += i > 200 && ms > f.LongestMs(milliseconds(50)) ? 1 : 0;
    f.Learn(milliseconds(50), ms);
  }
  CHECK(beyond <= 5);
  // Long tasks don't change the usual run time.
  CHECK(f.UsualMs(milliseconds(50)) == doctest::Approx(50).epsilon(0.12));
  CHECK(f.model.ShareAtLeast(kQueue, 4, false) ==
        doctest::Approx(0.03).epsilon(0.7));
  CHECK(f.model.ShareAtLeast(kQueue, 20, false) <= 0.01);
}

TEST_CASE("run_time_model: old tails fade, memory is bounded") {
  fixture f;
  for (int i = 0; i < 200; ++i)
    f.Learn(milliseconds(50), i % 10 == 0 ? 1000 : 50);
  for (int i = 0; i < 6000; ++i)
    f.Learn(milliseconds(50), 50);
  CHECK(f.LongestMs(milliseconds(50)) < 100);
  for (int i = 0; i < 3000; ++i) {
    f.now += milliseconds(1);
    f.model.Learn(queue_id("q" + std::to_string(i)), milliseconds(50),
                  milliseconds(80), f.now);
  }
  // The queue whose last run is longest ago was dropped, so the defaults apply.
  CHECK(f.LongestMs(milliseconds(50)) == doctest::Approx(175));
}

}  // namespace jasminedyke
