// How soon a watched table is asked for again, after each kind of answer.

#include <doctest/doctest.h>

#include "feed_pace.h"

namespace jasminedyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMegabyte = 1024 * 1024;

}  // namespace

// Guards against a store that fails and is called without end, and one that is
// back and isn't noticed.
TEST_CASE("feed_pace: the pause grows while calls fail") {
  feed_pace pace;
  CHECK(pace.AfterFailure() == milliseconds(100));
  CHECK(pace.AfterFailure() == milliseconds(200));
  CHECK(pace.AfterFailure() == milliseconds(400));
  for (int i = 0; i < 100; ++i)
    CHECK(pace.AfterFailure() == milliseconds(800));
  pace.AfterChanges(100, seconds(1), {});
  CHECK(pace.AfterFailure() == milliseconds(100));
}

// Guards against a store that answers calls for changes at once, with none.
TEST_CASE("feed_pace: an answer without changes before the wait is over") {
  feed_pace pace;
  CHECK(pace.AfterNothing(milliseconds(1), seconds(3)) == milliseconds(100));
  CHECK(pace.AfterNothing(milliseconds(1), seconds(3)) == milliseconds(200));
  CHECK(pace.AfterNothing(milliseconds(2990), seconds(3)) == duration::zero());
  CHECK(pace.AfterNothing(seconds(3), seconds(3)) == duration::zero());
  CHECK(pace.AfterNothing(milliseconds(1), seconds(3)) == milliseconds(100));
}

// Guards against a store that tells large changes without end.
TEST_CASE("feed_pace: what is read in a second has a bound") {
  for (size_t bytes : {size_t{100}, 100'000 * size_t{1}, 8 * kMegabyte}) {
    feed_pace pace;
    duration spent{};
    size_t read = 0;
    while (spent < seconds(10)) {
      spent += milliseconds(1) +
               pace.AfterChanges(bytes, milliseconds(1), duration::zero());
      read += bytes;
    }
    CHECK(read <= 48 * kMegabyte);
  }
}

// Guards against a table that comes in pages of a row each, and without end.
TEST_CASE("feed_pace: small pages are read slowly, full ones at once") {
  CHECK(feed_pace::AfterPage(true) == duration::zero());
  CHECK(feed_pace::AfterPage(false) == milliseconds(20));
}

// Guards against changes that come late since large ones are read slowly.
TEST_CASE("feed_pace: usual changes wait no longer than asked") {
  feed_pace pace;
  CHECK(pace.AfterChanges(200'000, milliseconds(60), duration::zero()) <=
        duration::zero());
  CHECK(pace.AfterChanges(700'000, milliseconds(3), milliseconds(400)) ==
        milliseconds(400));
  CHECK(pace.AfterChanges(300, milliseconds(1), duration::zero()) <=
        milliseconds(20));
}

}  // namespace jasminedyke
