#include "store/json_bounds.h"

#include <limits>

namespace jasminedyke {

namespace {

// The position of the quote that ends the string after `at`, or the text's end.
size_t EndOfString(std::string_view text, size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\')
      ++at;
  }
  return at;
}

}  // namespace

const char* BeyondBounds(std::string_view text, const json_bounds& bounds) {
  if (text.size() > bounds.bytes)
    return "too_large";
  size_t most_values = (bounds.bytes - text.size()) / json_bounds::kValueBytes;
  size_t values = 1;
  size_t depth = 0;
  for (size_t at = 0; at < text.size(); ++at) {
    switch (text[at]) {
      case '"':
        at = EndOfString(text, at);
        continue;
      case '[':
      case '{':
        if (++depth > bounds.depth)
          return "too_deep";
        break;
      case ']':
      case '}':
        if (depth > 0)
          --depth;
        continue;
      case ',':
        break;
      default:
        continue;
    }
    // Each but the first is after an opening or a comma.
    if (++values > most_values)
      return "too_many_values";
  }
  return nullptr;
}

nlohmann::json ParseJson(std::string_view text) {
  constexpr json_bounds kAnySize = {std::numeric_limits<size_t>::max()};
  if (BeyondBounds(text, kAnySize))
    return nlohmann::json::value_t::discarded;
  return nlohmann::json::parse(text, nullptr, false);
}

}  // namespace jasminedyke
