#include "daemon/settings_rules.h"

#include <cctype>
#include <cmath>
#include <fstream>
#include <iterator>
#include <sstream>

namespace jasminedyke {

namespace {

constexpr size_t kShortestKeyBytes = 16;
// Within what the platform's store allows in a key.
constexpr size_t kLongestName = 128;

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kLongestName &&
         std::ranges::all_of(name, [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace

std::string settings_problem::ToString(const std::string& file) const {
  std::string place = file;
  if (line > 0)
    place += ":" + std::to_string(line);
  return place + ": " + (key.empty() ? what : key + " " + what);
}

std::string TakeName(const toml::node& node, std::string* to) {
  auto text = node.value_exact<std::string>();
  if (!text || !IsName(*text))
    return "must be a name of letters, digits, '-', '_' and '.'";
  *to = *text;
  return {};
}

std::string TakeAddress(const toml::node& node, socket_address* to) {
  auto text = node.value_exact<std::string>();
  auto address = text ? socket_address::Parse(*text) : std::nullopt;
  if (!address)
    return "must be \"IP:PORT\" with an IPv4 number";
  *to = *address;
  return {};
}

std::string TakeKey(const toml::node& node, std::string* to) {
  auto text = node.value_exact<std::string>();
  std::string bytes = text ? FromHex(*text) : std::string();
  if (bytes.size() < kShortestKeyBytes)
    return "must have at least 32 hex digits";
  *to = bytes;
  return {};
}

std::string TakeLogLevel(const toml::node& node, std::string* to) {
  auto text = node.value_exact<std::string>();
  static const std::vector<std::string> kLevels = {"debug", "info", "warning",
                                                   "error", "off"};
  if (!text || std::ranges::find(kLevels, *text) == kLevels.end())
    return "must be debug, info, warning, error or off";
  *to = *text;
  return {};
}

std::string TakeMilliseconds(const toml::node& node,
                             int64_t longest,
                             duration* to) {
  auto ms = node.is_number() ? node.value<double>() : std::nullopt;
  bool within = ms && *ms >= 0 && *ms <= static_cast<double>(longest);
  if (!within)
    return "must be whole milliseconds from 0 to " + std::to_string(longest);
  *to = std::chrono::milliseconds(std::llround(*ms));
  return {};
}

std::string TakePositive(const toml::node& node, double* to) {
  auto number = node.value<double>();
  if (!number || *number <= 0)
    return "must be a number above 0";
  *to = *number;
  return {};
}

outcome<std::string, settings_problems> ReadSettingsFile(
    const std::string& file) {
  std::ifstream stream(file);
  if (!stream)
    return settings_problems{{0, "", "can't be read"}};
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

}  // namespace jasminedyke
