#include "ledger/log_line.h"

#include <algorithm>
#include <cstdlib>

namespace jasminedyke {

namespace {

constexpr std::string_view kTimeKey = "time=";
constexpr std::string_view kEventKey = "event=";

// Where a field of that key begins; npos if there is none.
size_t FindField(std::string_view text, std::string_view key) {
  size_t at = text.find(key);
  while (at != std::string_view::npos && at > 0 && text[at - 1] != ' ')
    at = text.find(key, at + 1);
  return at;
}

// Takes a value, quoted or up to the next space, off the front of `text`.
std::string TakeValue(std::string_view& text) {
  std::string value;
  bool quoted = !text.empty() && text.front() == '"';
  size_t at = quoted ? 1 : 0;
  for (; at < text.size(); ++at) {
    if (text[at] == (quoted ? '"' : ' '))
      break;
    if (quoted && text[at] == '\\' && at + 1 < text.size())
      ++at;
    value += text[at];
  }
  text.remove_prefix(std::min(text.size(), quoted ? at + 1 : at));
  return value;
}

}  // namespace

const std::string& log_line::Text(const std::string& key) const {
  static const std::string kNone;
  auto found = fields.find(key);
  return found == fields.end() ? kNone : found->second;
}

std::optional<double> log_line::Number(const std::string& key) const {
  const std::string& text = Text(key);
  char* end = nullptr;
  double number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0')
    return std::nullopt;
  return number;
}

std::optional<log_line> ParseLogLine(std::string_view text) {
  size_t event_at = FindField(text, kEventKey);
  if (event_at == std::string_view::npos)
    return std::nullopt;
  log_line line;
  line.text = text.substr(event_at);
  size_t time_at = FindField(text.substr(0, event_at), kTimeKey);
  if (time_at != std::string_view::npos) {
    std::string_view value = text.substr(time_at + kTimeKey.size());
    line.time = TakeValue(value);
  }
  size_t prefix_end = std::min(time_at, event_at);
  size_t last = text.substr(0, prefix_end).find_last_not_of(' ');
  if (last != std::string_view::npos)
    line.prefix = text.substr(0, last + 1);
  std::string_view rest = text.substr(event_at);
  while (!rest.empty()) {
    size_t equals = rest.find('=');
    if (equals == std::string_view::npos)
      break;
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.fields[key] = TakeValue(rest);
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
  }
  line.event = line.Text("event");
  return line;
}

}  // namespace jasminedyke
