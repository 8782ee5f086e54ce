// Answers of the store that can't be used, and what tells of them.

#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "fakes/odd_store.h"

namespace jasminedyke {

// Guards against a store whose answers can't be read and nothing that tells.
TEST_CASE("store_answers: refused answers are counted by why") {
  struct odd_case {
    odd_answer answer;
    const char* why;
  };
  const odd_case kCases[] = {
      {{500, "{}"}, "status"},         {{503, ""}, "status"},
      {{200, "<html>"}, "unreadable"}, {{200, "[]"}, "unreadable"},
      {{200, ""}, "unreadable"},
  };
  for (const odd_case& each : kCases) {
    CAPTURE(each.answer.body);
    odd_store s([&](const std::string&) { return each.answer; });
    CHECK(s.WatchUntilRefused(each.why));
    std::optional<store_error> read;
    s.client->Read("homes", "a", [&](const auto& r) { read = r.error(); });
    REQUIRE(RunUntil(s.loop, [&] { return read.has_value(); }));
    CHECK(read == store_error::kUnavailable);
    CHECK(s.Refused(each.why) >= 2);
  }
}

// Guards against a count that takes the store's usual answers for odd ones.
TEST_CASE("store_answers: a conflict is no refused answer") {
  odd_store s([](const std::string&) {
    return odd_answer{412, R"({"rows":[],"row_version":7})"};
  });
  std::optional<store_error> wrote;
  s.client->Write({{"homes", "a", 1, "x"}},
                  [&](const auto& r) { wrote = r.error(); });
  REQUIRE(RunUntil(s.loop, [&] { return wrote.has_value(); }));
  CHECK(wrote == store_error::kConflict);
  CHECK(s.client->metrics().refused.empty());
}

}  // namespace jasminedyke
