// Bounds on JSON texts before they are parsed.

#include <string>

#include <doctest/doctest.h>

#include "store/store.h"

namespace jasminedyke {
namespace {

std::string Text(const char* result) {
  return result ? result : "";
}

std::string Repeated(const std::string& part, int times) {
  std::string text;
  for (int i = 0; i < times; ++i)
    text += part;
  return text;
}

}  // namespace

// Guards against a text of nested brackets that takes the processor.
TEST_CASE("json_bounds: a nested text is too deep") {
  json_bounds bounds{1'000'000};
  CHECK(Text(BeyondBounds(Repeated("[", 300'000), bounds)) == "too_deep");
  CHECK(Text(BeyondBounds(Repeated(R"({"a":)", 17), bounds)) == "too_deep");
  CHECK(Text(BeyondBounds(Repeated("[", 16) + Repeated("]", 16), bounds))
            .empty());
  // One after another is not nested.
  CHECK(Text(BeyondBounds("[" + Repeated("[],", 900) + "1]", bounds)).empty());
}

// Guards against a text of few bytes that takes many times its size.
TEST_CASE("json_bounds: many small values") {
  CHECK(Text(BeyondBounds("[" + Repeated("{},", 10'000) + "1]", {1'000'000})) ==
        "too_many_values");
  CHECK(Text(BeyondBounds("[" + Repeated("1,", 7'000) + "1]", {1'000'000}))
            .empty());
  CHECK(Text(BeyondBounds(Repeated("x", 11), {10})) == "too_large");
}

// Guards against brackets and commas in texts that are counted as values.
TEST_CASE("json_bounds: what stands in a string doesn't count") {
  json_bounds bounds{1'000'000};
  std::string inner = Repeated("[{,", 100'000);
  CHECK(Text(BeyondBounds("{\"a\":\"" + inner + "\"}", bounds)).empty());
  CHECK(Text(BeyondBounds("{\"a\":\"\\\"" + inner + "\"}", bounds)).empty());
  CHECK(Text(BeyondBounds("{\"a\":\"\\\\\"," + inner, bounds)) == "too_deep");
  CHECK(Text(BeyondBounds("{\"a\":\"" + inner, bounds)).empty());
  CHECK(Text(BeyondBounds("{\"a\":\"\\", bounds)).empty());
  CHECK(Text(BeyondBounds("", bounds)).empty());
}

// Guards against an end by SIGSEGV at each start: a row of the store whose
// value is nested as deep as its size allows was copied.
TEST_CASE("json_bounds: a row that is nested too deep has no value") {
  std::string nested = Repeated("[", 200'000) + Repeated("]", 200'000);
  CHECK(feed_row{1, nested}.value().is_null());
  CHECK(feed_row{1, "{\"a\":" + nested + "}"}.value().is_null());
  CHECK(feed_row{1, "[[1]]"}.value().size() == 1);
}

// Guards against the same by what callers, operators and peers send.
TEST_CASE("json_bounds: a nested text is not parsed") {
  CHECK(ParseJson(Repeated("[", 100'000)).is_discarded());
  CHECK(ParseJson(Repeated("[", 17) + Repeated("]", 17)).is_discarded());
  CHECK(ParseJson(Repeated("[", 16) + Repeated("]", 16)).is_array());
  CHECK(ParseJson("{").is_discarded());
}

}  // namespace jasminedyke
