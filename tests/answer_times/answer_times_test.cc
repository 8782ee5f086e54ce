// Tests the timeouts that a home derives from upstreams' response times.

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

constexpr duration kMinTimeout = milliseconds(30);

}  // namespace

TEST_CASE("answer_times: all upstreams answer late") {
  // The home's link is full and each answer takes 150 ms. The home must not
  // treat these answers as lost, because its retries would load the link
  // further.
  answer_times times;
  for (int i = 0; i < 500; ++i)
    times.Add(milliseconds(3));
  CHECK(times.Timeout(kMinTimeout) == kMinTimeout);
  for (int i = 0; i < 100; ++i)
    times.Add(milliseconds(150));
  CHECK(times.Timeout(kMinTimeout) >= milliseconds(150));
  // The timeout falls again once the link is free.
  for (int i = 0; i < 300; ++i)
    times.Add(milliseconds(3));
  CHECK(times.Timeout(kMinTimeout) == kMinTimeout);
}

TEST_CASE("answer_times: one upstream in fifty answers late") {
  // One slow upstream must not raise the timeout for the others beyond the
  // delay that a caller of short tasks tolerates.
  answer_times times;
  for (int i = 0; i < 2000; ++i)
    times.Add(i % 50 == 0 ? milliseconds(250) : milliseconds(3));
  CHECK(times.Timeout(kMinTimeout) <= milliseconds(96));
}

}  // namespace jasminedyke
