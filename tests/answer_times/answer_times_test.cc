// How patient a home is with upstreams' answers.

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

constexpr duration kLeast = milliseconds(30);

}  // namespace

TEST_CASE("answer_times: all upstreams answer late") {
  // The home's link is full and each answer takes 150 ms. The home must not
  // take these answers for lost: what it would send instead fills the link
  // further.
  answer_times times;
  for (int i = 0; i < 500; ++i)
    times.Note(milliseconds(3));
  CHECK(times.Timeout(kLeast) == kLeast);
  for (int i = 0; i < 100; ++i)
    times.Note(milliseconds(150));
  CHECK(times.Timeout(kLeast) >= milliseconds(150));
  // And back again once the link is free.
  for (int i = 0; i < 300; ++i)
    times.Note(milliseconds(3));
  CHECK(times.Timeout(kLeast) == kLeast);
}

TEST_CASE("answer_times: one upstream in fifty answers late") {
  // A slow upstream does not make the home wait longer for the others' answers
  // than a caller of short tasks can lose.
  answer_times times;
  for (int i = 0; i < 2000; ++i)
    times.Note(i % 50 == 0 ? milliseconds(250) : milliseconds(3));
  CHECK(times.Timeout(kLeast) <= milliseconds(96));
}

}  // namespace jasminedyke
