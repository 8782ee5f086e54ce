// Checks a TOML file against a list of known keys and says all that is wrong,
// with its line.

#ifndef SRC_DAEMON_SETTINGS_RULES_H_
#define SRC_DAEMON_SETTINGS_RULES_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "base/base.h"
#include "http/http.h"

namespace jasminedyke {

// A wrong or missing key, and the line of the file that it concerns (0 if
// none).
struct settings_problem {
  uint32_t line = 0;
  std::string key;
  std::string what;

  std::string ToString(const std::string& file) const;
  bool operator==(const settings_problem&) const = default;
};

using settings_problems = std::vector<settings_problem>;

// What a file that can be used lacks nevertheless.
struct settings_remarks {
  // Keys that are not as they should be and have a safe value instead.
  settings_problems defaulted;
  // Keys that have no value yet and no safe one: the daemon can tell what it
  // waits for, but not serve.
  settings_problems awaited;
};

// What is done about a key that is missing or empty.
enum class if_missing {
  kNothing,
  // The file can't be used.
  kProblem,
  // The value that `Settings` begins with is used, also for one that is wrong.
  kDefault,
  kAwait,
};

// Each takes a value and returns what is wrong with it; empty if nothing is.
std::string TakeName(const toml::node& node, std::string* to);
std::string TakeAddress(const toml::node& node, socket_address* to);
// Hex digits, to raw bytes.
std::string TakeKey(const toml::node& node, std::string* to);
std::string TakeLogLevel(const toml::node& node, std::string* to);
// Fractions are rounded to whole milliseconds.
std::string TakeMilliseconds(const toml::node& node,
                             int64_t longest,
                             duration* to);
// A number above 0, whole or not.
std::string TakePositive(const toml::node& node, double* to);

template <class Id>
std::string TakeId(const toml::node& node, Id* to) {
  std::string text;
  std::string wrong = TakeName(node, &text);
  *to = Id(text);
  return wrong;
}

template <class Id>
std::string TakeIds(const toml::node& node, std::set<Id>* to) {
  const toml::array* list = node.as_array();
  if (!list)
    return "must be an array of names";
  for (const toml::node& entry : *list) {
    Id id;
    std::string wrong = TakeId(entry, &id);
    if (!wrong.empty())
      return wrong;
    to->insert(id);
  }
  return "";
}

// One key of a file: how it is checked and where it goes.
template <class Settings>
struct settings_rule {
  const char* table;
  const char* key;
  if_missing missing;
  std::function<std::string(const toml::node&, Settings&)> take;
};

// All problems at once, in the order of the keys. A key without a rule is one.
// Of a file that can be used they are remarks in `Settings`.
template <class Settings>
class settings_file {
 public:
  using rules = std::vector<settings_rule<Settings>>;

  explicit settings_file(const rules& known) : rules_(known) {}

  outcome<Settings, settings_problems> Parse(const std::string& text) {
    try {
      toml::table file = toml::parse(text);
      TakeKnownKeys(file);
      FindUnknownKeys(file);
    } catch (const toml::parse_error& error) {
      Find({error.source().begin.line, "",
            "is not valid TOML: " + std::string(error.description())});
    }
    if (unusable_)
      return found_;
    return settings_;
  }

 private:
  void Find(const settings_problem& problem,
            if_missing what = if_missing::kProblem) {
    found_.push_back(problem);
    if (what == if_missing::kDefault)
      settings_.defaulted.push_back(problem);
    else if (what == if_missing::kAwait)
      settings_.awaited.push_back(problem);
    else
      unusable_ = true;
  }

  void TakeKnownKeys(const toml::table& file) {
    for (const auto& rule : rules_) {
      const toml::node* table = file.get(rule.table);
      const toml::node* value = nullptr;
      if (table && table->is_table())
        value = table->as_table()->get(rule.key);
      uint32_t line = table ? table->source().begin.line : 0;
      if (value)
        TakeValue(rule, *value);
      else if (rule.missing != if_missing::kNothing)
        Find({line, NameOf(rule), "is missing"}, rule.missing);
    }
  }

  void TakeValue(const settings_rule<Settings>& rule, const toml::node& value) {
    Settings before = settings_;
    std::string wrong = rule.take(value, settings_);
    if (wrong.empty())
      return;
    settings_ = before;
    const auto* text = value.as_string();
    bool empty = text && text->get().empty();
    bool stands_in = rule.missing == if_missing::kDefault ||
                     (rule.missing == if_missing::kAwait && empty);
    Find({value.source().begin.line, NameOf(rule), wrong},
         stands_in ? rule.missing : if_missing::kProblem);
  }

  static std::string NameOf(const settings_rule<Settings>& rule) {
    return std::string(rule.table) + "." + rule.key;
  }

  void FindUnknownKeys(const toml::table& file) {
    auto in_table = [](std::string_view table) {
      return [table](const auto& rule) { return table == rule.table; };
    };
    for (const auto& [table_key, table] : file) {
      std::string_view table_name = table_key.str();
      uint32_t line = table_key.source().begin.line;
      if (std::ranges::none_of(rules_, in_table(table_name))) {
        Find({line, std::string(table_name), "is not a known table"});
        continue;
      }
      if (!table.is_table()) {
        Find({line, std::string(table_name), "must be a table"});
        continue;
      }
      for (const auto& entry : *table.as_table())
        CheckKnown(table_name, entry.first);
    }
  }

  void CheckKnown(std::string_view table, const toml::key& key) {
    bool known = std::ranges::any_of(rules_, [&](const auto& rule) {
      return table == rule.table && key.str() == rule.key;
    });
    if (!known)
      Find({key.source().begin.line,
            std::string(table) + "." + std::string(key.str()),
            "is not a known key"});
  }

  const rules& rules_;
  Settings settings_;
  // In the order of the keys, with what `settings_` has a stand-in for.
  settings_problems found_;
  bool unusable_ = false;
};

// The file's text; a problem if it can't be read.
outcome<std::string, settings_problems> ReadSettingsFile(
    const std::string& file);

}  // namespace jasminedyke

#endif  // SRC_DAEMON_SETTINGS_RULES_H_
