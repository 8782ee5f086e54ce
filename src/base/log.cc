#include "base/log.h"

#include <memory>

#include <spdlog/spdlog.h>
#include <unistd.h>

#include "base/bounded_sink.h"

namespace jasminedyke {

namespace {

spdlog::level::level_enum ToSpdlog(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return spdlog::level::debug;
    case log_level::kInfo:
      return spdlog::level::info;
    case log_level::kWarning:
      return spdlog::level::warn;
    case log_level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

// Null until logging has been started.
std::shared_ptr<bounded_sink> g_sink;

}  // namespace

uint64_t DroppedLogLines() {
  return g_sink ? g_sink->dropped() : 0;
}

void StartLogging(const std::string& level) {
  g_sink = std::make_shared<bounded_sink>(STDOUT_FILENO);
  auto logger = std::make_shared<spdlog::logger>("jasminedyke", g_sink);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  auto parsed = spdlog::level::from_str(level);
  bool unknown = parsed == spdlog::level::off && level != "off";
  logger->set_level(unknown ? spdlog::level::info : parsed);
  spdlog::set_default_logger(logger);
}

bool LogEnabled(log_level level) {
  return spdlog::should_log(ToSpdlog(level));
}

void LogEvent(log_level level,
              std::string_view event,
              std::initializer_list<log_field> fields) {
  if (!LogEnabled(level))
    return;
  std::string line = "event=" + QuoteLogValue(std::string(event));
  for (const log_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    line += QuoteLogValue(field.value);
  }
  spdlog::log(ToSpdlog(level), "{}", line);
}

std::string QuoteLogValue(const std::string& value) {
  bool plain = !value.empty();
  for (unsigned char c : value)
    plain = plain && c > ' ' && c != '"' && c != '=' && c < 0x7f;
  if (plain)
    return value;
  std::string quoted = "\"";
  for (unsigned char c : value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += c < ' ' ? ' ' : static_cast<char>(c);
  }
  return quoted + '"';
}

}  // namespace jasminedyke
