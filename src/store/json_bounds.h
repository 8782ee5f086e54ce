// How large and how deeply nested a JSON text from outside may be before it is
// parsed.

#ifndef SRC_STORE_JSON_BOUNDS_H_
#define SRC_STORE_JSON_BOUNDS_H_

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace jasminedyke {

struct json_bounds {
  // Twice as deep as any document that is read.
  static constexpr size_t kDepth = 16;
  // Of a parsed value besides its text: a node of an object, with its key.
  static constexpr size_t kValueBytes = 128;

  // That the text and all its values may take once it is parsed.
  size_t bytes = 0;
  size_t depth = kDepth;
};

// What is wrong with the text, or null. One pass without allocations, which
// ends at the bound; whether it is JSON at all is the parser's to say.
const char* BeyondBounds(std::string_view text, const json_bounds& bounds);

// A discarded value if the text is no JSON or too deep: values are copied and
// written by recursion, which takes stack for each level.
nlohmann::json ParseJson(std::string_view text);

}  // namespace jasminedyke

#endif  // SRC_STORE_JSON_BOUNDS_H_
