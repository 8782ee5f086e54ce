// Tests of how fast and how reliably the speeds of upstreams are estimated.

#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "policy/policy.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kKind = "gen-1";

// Simulated runs with realistic variation: guesses are off by up to 40 %, tasks
// of a job differ by up to 15 %, and a few take seven times as long.
struct upstream_runs {
  upstream_id Id(int i) const { return upstream_id("u" + std::to_string(i)); }

  void Run(int i, double speed, const std::string& kind = kKind) {
    now += milliseconds(20);
    double guess = std::uniform_real_distribution<>(0.6, 1.4)(random);
    double length = std::uniform_real_distribution<>(0.85, 1.15)(random);
    if (std::uniform_real_distribution<>(0, 1)(random) < 0.03)
      length *= 7;
    constexpr double kUsual = 0.17;
    speeds.RecordRun(Id(i), kind, FromSeconds(kUsual * guess * ratio),
                     FromSeconds(kUsual * length / speed), now);
  }
  // Runs `runs` tasks on each upstream, in turn.
  void RunAll(const std::vector<double>& true_speeds, int runs) {
    for (int n = 0; n < runs; ++n) {
      for (size_t i = 0; i < true_speeds.size(); ++i)
        Run(static_cast<int>(i), true_speeds[i]);
    }
  }
  double Of(int i) const { return speeds.Of(Id(i), kKind); }

  std::mt19937_64 random{7};
  time_point now{std::chrono::hours(1)};
  // Common factor of all guesses.
  double ratio = 1;
  upstream_speeds speeds;
};

std::vector<double> ThreeSpeeds(int each) {
  std::vector<double> all;
  for (double speed : {0.6, 1.0, 1.6})
    all.insert(all.end(), each, speed);
  return all;
}

}  // namespace

TEST_CASE("speeds: three speeds are told apart after a second of work") {
  upstream_runs runs;
  runs.RunAll(ThreeSpeeds(4), 20);
  for (int i = 0; i < 4; ++i) {
    CHECK(runs.Of(i) == doctest::Approx(0.61).epsilon(0.25));
    CHECK(runs.Of(4 + i) == doctest::Approx(1).epsilon(0.2));
    CHECK(runs.Of(8 + i) == doctest::Approx(1.6).epsilon(0.25));
  }
}

TEST_CASE("speeds: upstreams that are alike have exactly the usual speed") {
  upstream_runs runs;
  std::vector<double> alike(40, 1.0);
  int unlike = 0;
  for (int n = 0; n < 200; ++n) {
    runs.RunAll(alike, 1);
    for (int i = 0; i < 40; ++i)
      unlike += runs.Of(i) == 1 ? 0 : 1;
  }
  // Of 8,000 checks a few may exceed three standard deviations by chance.
  CHECK(unlike < 80);
}

TEST_CASE("speeds: guesses that are all wrong alike change no speed") {
  upstream_runs runs;
  runs.RunAll(ThreeSpeeds(4), 40);
  double before = runs.Of(11);
  runs.ratio = 0.5;
  runs.RunAll(ThreeSpeeds(4), 40);
  CHECK(runs.Of(11) == doctest::Approx(before).epsilon(0.15));
  CHECK(runs.Of(5) == doctest::Approx(1).epsilon(0.2));
}

TEST_CASE("speeds: an upstream that slows down is found within ten runs") {
  upstream_runs runs;
  runs.RunAll(std::vector<double>(10, 1.0), 60);
  for (int n = 0; n < 10; ++n)
    runs.Run(3, 0.3);
  CHECK(runs.Of(3) < 0.5);
  SUBCASE("mended: it is as the others within twenty") {
    for (int n = 0; n < 20; ++n)
      runs.Run(3, 1);
    CHECK(runs.Of(3) > 0.8);
  }
  SUBCASE("without any work it is trusted again after a while") {
    for (int n = 0; n < 3000; ++n)
      runs.Run(n % 2, 1);
    CHECK(runs.Of(3) == 1);
  }
}

TEST_CASE("speeds: one task of seven times the length changes nothing") {
  upstream_runs runs;
  runs.RunAll(std::vector<double>(10, 1.0), 60);
  runs.speeds.RecordRun(runs.Id(3), kKind, milliseconds(100), milliseconds(700),
                        runs.now);
  CHECK(runs.Of(3) == 1);
}

TEST_CASE("speeds: a new upstream begins at its kind's speed") {
  upstream_runs runs;
  for (int n = 0; n < 40; ++n) {
    for (int i = 0; i < 4; ++i) {
      runs.Run(i, 1);
      runs.Run(4 + i, 2, "gen-2");
    }
  }
  upstream_id fresh("fresh");
  double fast = runs.speeds.Of(fresh, "gen-2");
  CHECK(fast > 1.2);
  CHECK(runs.speeds.Of(fresh, kKind) < 0.8);
  CHECK(runs.speeds.Of(fresh, "never seen") == 1);
  runs.speeds.RecordRun(fresh, "gen-2", milliseconds(100), milliseconds(75),
                        runs.now);
  CHECK(runs.speeds.Of(fresh, "gen-2") == doctest::Approx(fast));
}

TEST_CASE("speeds: what another home learnt counts until there are own runs") {
  upstream_runs runs;
  runs.speeds.AdoptSpeed(runs.Id(0), kKind, 0.6, runs.now);
  runs.speeds.AdoptSpeed(runs.Id(1), kKind, 1.6, runs.now);
  CHECK(runs.Of(0) == doctest::Approx(0.6));
  CHECK(runs.Of(1) == doctest::Approx(1.6));
  SUBCASE("own runs go before news") {
    for (int n = 0; n < 60; ++n) {
      runs.Run(0, 1);
      runs.Run(1, 1);
    }
    runs.speeds.AdoptSpeed(runs.Id(0), kKind, 0.3, runs.now);
    CHECK(runs.Of(0) == doctest::Approx(1).epsilon(0.2));
  }
  SUBCASE("an upstream that is forgotten has its kind's speed") {
    runs.speeds.Forget(runs.Id(0));
    CHECK(runs.Of(0) == 1);
    CHECK(runs.speeds.known().size() == 1);
  }
}

TEST_CASE("speeds: without a guess nothing is learnt") {
  upstream_runs runs;
  runs.speeds.RecordRun(runs.Id(0), kKind, duration::zero(), milliseconds(50),
                        runs.now);
  CHECK(runs.speeds.known().empty());
}

}  // namespace jasminedyke
