// From the process's begin until its daemon is made.

#ifndef SRC_DAEMON_DAEMON_START_H_
#define SRC_DAEMON_DAEMON_START_H_

#include <functional>
#include <string>
#include <vector>

#include "base/base.h"
#include "daemon/address_opener.h"
#include "daemon/settings_rules.h"

namespace jasminedyke {

// What differs between kinds of daemons.
struct start_steps {
  // Reads the settings; the addresses that the daemon is to listen on.
  std::function<outcome<std::vector<listen_address>, settings_problems>()> load;
  // What the settings lack that `load` took last; the daemon isn't made before
  // it is there. Not called if empty.
  std::function<settings_problems()> awaited;
  // Makes the daemon by the settings that `load` took last. May throw.
  std::function<void(open_sockets)> make;
  // An address can be had that isn't `listen_when::kWithOthers`. May throw.
  std::function<void(const listen_address&, server_socket)> on_early;
  // The settings can't be used.
  std::function<void(const settings_problems&)> on_bad_settings;
  // Anything else keeps the daemon from being made; with the reason.
  std::function<void(const std::string&)> on_failed;
};

// Reads the settings, opens the addresses and makes the daemon, in this order.
// Settings that can't be used are read again for `kSettingsWait`, as the file
// may be in the middle of being written; addresses, and what `awaited` tells,
// are waited for without an end. One of `make`, `on_bad_settings` and
// `on_failed` is called, once.
class daemon_start {
 public:
  static constexpr duration kSettingsWait = std::chrono::seconds(2);

  daemon_start(scheduler& clock,
               start_steps steps,
               address_opener::bind_call bind = &server_socket::Bind);

  // The first step comes by a timer.
  void Begin();

  // Reads the settings again, and before the daemon is made uses addresses that
  // have changed. Returns false if the settings can't be used; this changes
  // nothing.
  bool Reload();

  // The uses of the addresses that keep the daemon from being made.
  std::vector<std::string> awaited_addresses() const {
    return opener_.awaited();
  }

 private:
  void Load();
  // By the settings that were loaded.
  void GoOn(const std::vector<listen_address>& addresses);
  void WaitForSettings(const settings_problems& problems);
  // Called from the loop, which no exception may pass.
  void Guard(const std::function<void()>& step);

  scheduler& clock_;
  start_steps steps_;
  address_opener opener_;
  time_point began_;
  // When the settings were last in a form that can be used; the start before.
  time_point usable_at_;
  settings_problems logged_;
  time_point logged_at_;
  scoped_timer timer_;
};

}  // namespace jasminedyke

#endif  // SRC_DAEMON_DAEMON_START_H_
