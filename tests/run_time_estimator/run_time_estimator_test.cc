// Tests of run time estimates from observed and declared run times.

#include <random>

#include <doctest/doctest.h>

#include "policy/policy.h"

namespace jasminedyke {
namespace {

const class_id kClass("stock-check");
constexpr time_point kNow{std::chrono::hours(1)};

TEST_CASE("run_time_estimator: declared times wrong by ten cost little") {
  for (double factor : {0.1, 1.0, 10.0}) {
    CAPTURE(factor);
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> run(std::log(0.2), 0.6);
    run_time_estimator estimator;
    double error = 0;
    for (int i = 0; i < 400; ++i) {
      double seconds = run(random);
      duration declared = FromSeconds(seconds * factor);
      if (i >= 200) {
        double mean = ToSeconds(estimator.Estimate(kClass, declared).mean);
        error += std::abs(std::log(mean / seconds)) / 200;
      }
      estimator.Learn(kClass, declared, FromSeconds(seconds), kNow);
    }
    // The estimator learns a constant factor, so the declared time stays
    // useful.
    CHECK(error < 0.1);
  }
}

TEST_CASE("run_time_estimator: declarations that tell nothing are ignored") {
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> noise(0, 2);
  run_time_estimator estimator;
  for (int i = 0; i < 200; ++i)
    estimator.Learn(kClass, FromSeconds(noise(random)), FromSeconds(0.2), kNow);
  duration mean = estimator.Estimate(kClass, FromSeconds(10)).mean;
  CHECK(ToSeconds(mean) == doctest::Approx(0.2).epsilon(0.01));
}

TEST_CASE("run_time_estimator: follows change") {
  run_time_estimator estimator;
  time_point now = kNow;
  for (double seconds : {0.1, 2.0}) {
    for (int i = 0; i < 300; ++i) {
      estimator.Learn(kClass, duration(), FromSeconds(seconds), now);
      now += std::chrono::milliseconds(200);
    }
  }
  CHECK(ToSeconds(estimator.Estimate(kClass, duration()).mean) > 1.9);
}

TEST_CASE("run_time_estimator: an unknown class is assumed to be short") {
  run_time_estimator estimator;
  auto estimate = estimator.Estimate(kClass, std::chrono::hours(1));
  CHECK_FALSE(estimate.learnt);
  CHECK(estimate.mean <= std::chrono::milliseconds(300));
}

}  // namespace
}  // namespace jasminedyke
