// The settings file of a daemon.

#ifndef SRC_DAEMON_SETTINGS_H_
#define SRC_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "daemon/settings_rules.h"
#include "http/http.h"

namespace jasminedyke {

struct daemon_settings : settings_remarks {
  instance_id instance;
  failure_domain_id failure_domain;
  // Memory that the process may take; 0 if not given.
  double memory_mb = 0;
  socket_address callers;
  socket_address operators;
  socket_address peers;
  socket_address platform;
  // Raw bytes.
  std::string peer_key;
  duration ready_delay = std::chrono::seconds(2);
  std::string log_level = "info";
};

// All problems at once, in the order of the keys.
outcome<daemon_settings, settings_problems> ParseSettings(
    const std::string& text);

outcome<daemon_settings, settings_problems> LoadSettings(
    const std::string& file);

}  // namespace jasminedyke

#endif  // SRC_DAEMON_SETTINGS_H_
