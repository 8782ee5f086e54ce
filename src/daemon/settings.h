// The settings file of a daemon.

#ifndef SRC_DAEMON_SETTINGS_H_
#define SRC_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "http/http.h"

namespace jasminedyke {

struct daemon_settings {
  instance_id instance;
  failure_domain_id failure_domain;
  socket_address callers;
  socket_address operators;
  socket_address peers;
  socket_address platform;
  // Raw bytes.
  std::string peer_key;
  duration ready_delay = std::chrono::seconds(2);
  std::string log_level = "info";
};

// A wrong or missing key, and the line of the file that it concerns (0 if
// none).
struct settings_problem {
  uint32_t line = 0;
  std::string key;
  std::string what;

  std::string ToString(const std::string& file) const;
  bool operator==(const settings_problem&) const = default;
};

// All problems at once, in the order of the keys.
outcome<daemon_settings, std::vector<settings_problem>> ParseSettings(
    const std::string& text);

outcome<daemon_settings, std::vector<settings_problem>> LoadSettings(
    const std::string& file);

}  // namespace jasminedyke

#endif  // SRC_DAEMON_SETTINGS_H_
