// Structured logs: one line of key=value pairs for each event.

#ifndef SRC_BASE_LOG_H_
#define SRC_BASE_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jasminedyke {

enum class log_level { kDebug, kInfo, kWarning, kError };

// One pair of a log line.
struct log_field {
  std::string_view key;
  std::string value;

  log_field(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
  log_field(std::string_view k, const char* v) : key(k), value(v) {}
  log_field(std::string_view k, std::integral auto v)
      : key(k), value(std::to_string(v)) {}
  log_field(std::string_view k, std::floating_point auto v)
      : key(k), value(std::to_string(v)) {}
};

// Sends the lines to standard output, at most some hundreds a second and none
// that would have to wait for the reader; what is dropped is counted. `level`
// is debug, info, warning, error or off; anything else is taken as info.
void StartLogging(const std::string& level);

uint64_t DroppedLogLines();

bool LogEnabled(log_level level);

void LogEvent(log_level level,
              std::string_view event,
              std::initializer_list<log_field> fields);

// Quotes a value that has spaces, quotes or control characters, so that one
// event is always one line.
std::string QuoteLogValue(const std::string& value);

}  // namespace jasminedyke

#endif  // SRC_BASE_LOG_H_
