// Opens the addresses on which a daemon listens, for as long as it takes.

#ifndef SRC_DAEMON_ADDRESS_OPENER_H_
#define SRC_DAEMON_ADDRESS_OPENER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "http/http.h"

namespace jasminedyke {

// An address and what it is for, as in the settings.
struct listen_address {
  std::string use;
  socket_address address;

  bool operator==(const listen_address&) const = default;
};

// By use; all listen.
using open_sockets = std::map<std::string, server_socket>;

// Binds all addresses and listens on none before it has all, so that nobody
// reaches a daemon that can't serve yet. What can pass (`socket_error::passes`)
// is logged and tried again; anything else is final.
class address_opener {
 public:
  using bind_call = std::function<outcome<server_socket, socket_error>(
      const socket_address&)>;

  // Each is called from within `Open` or a timer; one of them, once.
  struct handlers {
    std::function<void(open_sockets)> on_open;
    // With the reason, for a person.
    std::function<void(const std::string&)> on_failed;
  };

  address_opener(scheduler& clock,
                 handlers then,
                 bind_call bind = &server_socket::Bind);

  // Tries at once. Called again before the end, it goes on with these
  // addresses and keeps what it has of them. Without `may_end` it listens on
  // none and calls nobody until it is called again.
  void Open(const std::vector<listen_address>& addresses, bool may_end = true);

 private:
  struct entry {
    listen_address wanted;
    std::optional<server_socket> socket;
    // Since when, with what error and with which line in the log it waits.
    std::optional<time_point> waits_since;
    std::optional<socket_error> error;
    time_point logged_at;
  };

  void Try();
  bool BindAll();
  bool ListenOnAll();
  // Returns false if it is final.
  bool OnError(entry& failed, const socket_error& error);
  void LogWaiting(entry& waiting, const socket_error& error);
  void HandOver();

  scheduler& clock_;
  handlers then_;
  bind_call bind_;
  std::vector<entry> entries_;
  bool may_end_ = true;
  bool over_ = false;
  duration pause_;
  scoped_timer timer_;
};

}  // namespace jasminedyke

#endif  // SRC_DAEMON_ADDRESS_OPENER_H_
