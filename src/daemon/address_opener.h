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

enum class listen_when {
  // Once all addresses that the daemon can't be without can be had.
  kWithOthers,
  // As soon as it can be had; the daemon can't be without it.
  kAtOnce,
  // As soon as it can be had; the daemon serves without it.
  kOptional,
};

// An address and what it is for, as in the settings.
struct listen_address {
  std::string use;
  socket_address address;
  listen_when when = listen_when::kWithOthers;

  bool operator==(const listen_address&) const = default;
};

// By use; all listen.
using open_sockets = std::map<std::string, server_socket>;

// Binds all addresses. It listens on those of callers and peers only once it
// has all that are needed, so that they don't reach a daemon that can't serve
// yet. What can pass (`socket_error::passes`) is logged and tried again;
// anything else is final, unless the address is optional.
class address_opener {
 public:
  using bind_call = std::function<outcome<server_socket, socket_error>(
      const socket_address&)>;

  // Each is called from within `Open` or a timer; one of the first two, once.
  struct handlers {
    // With the sockets of all addresses that are `kWithOthers`.
    std::function<void(open_sockets)> on_open;
    // With the reason, for a person.
    std::function<void(const std::string&)> on_failed;
    // Of the others, as soon as each listens; of all that are needed before
    // `on_open`.
    std::function<void(const listen_address&, server_socket)> on_early = {};
  };

  address_opener(scheduler& clock,
                 handlers then,
                 bind_call bind = &server_socket::Bind);

  // Tries at once. Called again before the end, it goes on with these
  // addresses and keeps what it has of them. Without `may_end` it doesn't call
  // `on_open` until it is called again.
  void Open(const std::vector<listen_address>& addresses, bool may_end = true);

  // The uses of the addresses that keep the daemon from serving.
  std::vector<std::string> awaited() const;

 private:
  struct entry {
    listen_address wanted;
    std::optional<server_socket> socket;
    // Since when, with what error and with which line in the log it waits.
    std::optional<time_point> waits_since;
    std::optional<socket_error> error;
    time_point logged_at;
    // It was handed over, or is optional and can never be had.
    bool done = false;

    bool lacking() const { return !socket && !done; }
    bool awaited() const {
      return lacking() && wanted.when != listen_when::kOptional;
    }
  };

  void Try();
  // These return false if it is over.
  bool BindAll();
  bool ListenEarly();
  bool OnError(entry& failed, const socket_error& error);
  // The daemon serves without it.
  static void GiveUp(entry& optional, const std::string& reason);
  // Returns false if it failed.
  bool ListenOnOthers();
  void LogWaiting(entry& waiting, const socket_error& error);
  server_socket Take(entry& open);
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
