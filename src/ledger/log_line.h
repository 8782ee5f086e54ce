// One line of an instance's log, read back.

#ifndef SRC_LEDGER_LOG_LINE_H_
#define SRC_LEDGER_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jasminedyke {

struct log_line {
  // What whoever collected the line put before it, such as the machine.
  std::string prefix;
  // Empty if the line has none.
  std::string time;
  std::string event;
  std::map<std::string, std::string> fields;
  // From `event=` on, as it was written.
  std::string text;

  // Empty if the line has no such field.
  const std::string& Text(const std::string& key) const;
  // Nothing if the line has no such field or it is no number.
  std::optional<double> Number(const std::string& key) const;
};

// Nothing if it is no line of an event.
std::optional<log_line> ParseLogLine(std::string_view text);

}  // namespace jasminedyke

#endif  // SRC_LEDGER_LOG_LINE_H_
