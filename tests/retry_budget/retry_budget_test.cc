// Tests of the limit on retries.

#include <doctest/doctest.h>

#include "policy/policy.h"

namespace jasminedyke {
namespace {

// For a minute thousands of tasks wait to be retried, while 100 first attempts
// a second continue. Retries must stay within the budget.
TEST_CASE("retry_budget: retries keep to their share whoever asks") {
  retry_budget budget;
  time_point now{std::chrono::hours(1)};
  int retries = 0;
  for (int second = 0; second < 60; ++second) {
    for (int i = 0; i < 100; ++i)
      budget.RecordFirstAttempt();
    for (int i = 0; i < 5000; ++i) {
      retries += budget.TakeRetry(now);
      now += std::chrono::microseconds(200);
    }
  }
  double bound = 6000 * retry_budget::kRetriesPerFirstAttempt +
                 60 * retry_budget::kRetriesPerSecond +
                 2 * retry_budget::kMaxBalance;
  CHECK(retries <= bound);
  CHECK(retries > 600);
}

}  // namespace
}  // namespace jasminedyke
