#include "daemon/settings.h"

namespace jasminedyke {

namespace {

constexpr int64_t kLongestReadyDelayMs = 600'000;

const settings_file<daemon_settings>::rules& Rules() {
  using node = toml::node;
  using out = daemon_settings;
  static const settings_file<daemon_settings>::rules kRules = {
      {"instance", "id", if_missing::kProblem,
       [](const node& n, out& s) { return TakeId(n, &s.instance); }},
      {"instance", "failure_domain", if_missing::kProblem,
       [](const node& n, out& s) { return TakeId(n, &s.failure_domain); }},
      {"instance", "memory_mb", if_missing::kNothing,
       [](const node& n, out& s) { return TakePositive(n, &s.memory_mb); }},
      {"listen", "callers", if_missing::kProblem,
       [](const node& n, out& s) { return TakeAddress(n, &s.callers); }},
      {"listen", "operators", if_missing::kProblem,
       [](const node& n, out& s) { return TakeAddress(n, &s.operators); }},
      {"listen", "peers", if_missing::kProblem,
       [](const node& n, out& s) { return TakeAddress(n, &s.peers); }},
      {"platform", "address", if_missing::kProblem,
       [](const node& n, out& s) { return TakeAddress(n, &s.platform); }},
      {"peers", "key", if_missing::kProblem,
       [](const node& n, out& s) { return TakeKey(n, &s.peer_key); }},
      {"stop", "ready_delay_ms", if_missing::kNothing,
       [](const node& n, out& s) {
         return TakeMilliseconds(n, kLongestReadyDelayMs, &s.ready_delay);
       }},
      {"log", "level", if_missing::kNothing,
       [](const node& n, out& s) { return TakeLogLevel(n, &s.log_level); }},
  };
  return kRules;
}

}  // namespace

outcome<daemon_settings, settings_problems> ParseSettings(
    const std::string& text) {
  return settings_file<daemon_settings>(Rules()).Parse(text);
}

outcome<daemon_settings, settings_problems> LoadSettings(
    const std::string& file) {
  auto text = ReadSettingsFile(file);
  if (!text.ok())
    return text.error();
  return ParseSettings(text.value());
}

}  // namespace jasminedyke
