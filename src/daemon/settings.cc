#include "daemon/settings.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>

#include <toml++/toml.h>

namespace jasminedyke {

namespace {

using problems = std::vector<settings_problem>;

constexpr size_t kShortestKeyBytes = 16;
constexpr int64_t kLongestReadyDelayMs = 600'000;

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= 64 &&
         std::ranges::all_of(name, [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_';
         });
}

// One key of the file: how it is checked and where it goes.
struct key_rule {
  const char* table;
  const char* key;
  bool needed;
  // What is wrong with the value; empty if nothing is.
  std::function<std::string(const toml::node&, daemon_settings&)> take;
};

std::string TakeName(const toml::node& node, std::string* to) {
  auto text = node.value_exact<std::string>();
  if (!text || !IsName(*text))
    return "must be a name of letters, digits, '-' and '_'";
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

std::string TakeReadyDelay(const toml::node& node, duration* to) {
  auto ms = node.value_exact<int64_t>();
  if (!ms || *ms < 0 || *ms > kLongestReadyDelayMs)
    return "must be whole milliseconds from 0 to 600000";
  *to = std::chrono::milliseconds(*ms);
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

template <class Id>
std::string TakeId(const toml::node& node, Id* to) {
  std::string text;
  std::string wrong = TakeName(node, &text);
  *to = Id(text);
  return wrong;
}

const std::vector<key_rule>& Rules() {
  using node = toml::node;
  using out = daemon_settings;
  static const std::vector<key_rule> kRules = {
      {"instance", "id", true,
       [](const node& n, out& s) { return TakeId(n, &s.instance); }},
      {"instance", "failure_domain", true,
       [](const node& n, out& s) { return TakeId(n, &s.failure_domain); }},
      {"listen", "callers", true,
       [](const node& n, out& s) { return TakeAddress(n, &s.callers); }},
      {"listen", "operators", true,
       [](const node& n, out& s) { return TakeAddress(n, &s.operators); }},
      {"listen", "peers", true,
       [](const node& n, out& s) { return TakeAddress(n, &s.peers); }},
      {"platform", "address", true,
       [](const node& n, out& s) { return TakeAddress(n, &s.platform); }},
      {"peers", "key", true,
       [](const node& n, out& s) { return TakeKey(n, &s.peer_key); }},
      {"stop", "ready_delay_ms", false,
       [](const node& n, out& s) { return TakeReadyDelay(n, &s.ready_delay); }},
      {"log", "level", false,
       [](const node& n, out& s) { return TakeLogLevel(n, &s.log_level); }},
  };
  return kRules;
}

void TakeKnownKeys(const toml::table& file,
                   daemon_settings* settings,
                   problems* found) {
  for (const key_rule& rule : Rules()) {
    std::string name = std::string(rule.table) + "." + rule.key;
    const toml::node* table = file.get(rule.table);
    const toml::node* value = nullptr;
    if (table && table->is_table())
      value = table->as_table()->get(rule.key);
    if (!value) {
      uint32_t line = table ? table->source().begin.line : 0;
      if (rule.needed)
        found->push_back({line, name, "is missing"});
      continue;
    }
    std::string wrong = rule.take(*value, *settings);
    if (!wrong.empty())
      found->push_back({value->source().begin.line, name, wrong});
  }
}

void FindUnknownKeys(const toml::table& file, problems* found) {
  auto in_table = [](std::string_view table) {
    return [table](const key_rule& rule) { return table == rule.table; };
  };
  for (const auto& [table_key, table] : file) {
    std::string_view table_name = table_key.str();
    uint32_t line = table_key.source().begin.line;
    if (std::ranges::none_of(Rules(), in_table(table_name))) {
      found->push_back({line, std::string(table_name), "is not a known table"});
      continue;
    }
    if (!table.is_table()) {
      found->push_back({line, std::string(table_name), "must be a table"});
      continue;
    }
    for (const auto& entry : *table.as_table()) {
      const toml::key& key = entry.first;
      bool known = std::ranges::any_of(Rules(), [&](const key_rule& rule) {
        return table_name == rule.table && key.str() == rule.key;
      });
      if (!known)
        found->push_back(
            {key.source().begin.line,
             std::string(table_name) + "." + std::string(key.str()),
             "is not a known key"});
    }
  }
}

}  // namespace

std::string settings_problem::ToString(const std::string& file) const {
  std::string place = file;
  if (line > 0)
    place += ":" + std::to_string(line);
  return place + ": " + (key.empty() ? what : key + " " + what);
}

outcome<daemon_settings, problems> ParseSettings(const std::string& text) {
  problems found;
  daemon_settings settings;
  try {
    toml::table file = toml::parse(text);
    TakeKnownKeys(file, &settings, &found);
    FindUnknownKeys(file, &found);
  } catch (const toml::parse_error& error) {
    found.push_back({error.source().begin.line, "",
                     "is not valid TOML: " + std::string(error.description())});
  }
  if (!found.empty())
    return found;
  return settings;
}

outcome<daemon_settings, problems> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream)
    return problems{{0, "", "can't be read"}};
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str());
}

}  // namespace jasminedyke
