// The ports at which others look how an instance is: they answer from when each
// is open until the process ends, also while the instance can't serve yet.

#ifndef SRC_DAEMON_STATUS_PORTS_H_
#define SRC_DAEMON_STATUS_PORTS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admin/admin.h"
#include "base/base.h"
#include "daemon/address_opener.h"
#include "http/http.h"

namespace jasminedyke {

// The use of the port at which a waiting instance tells what it waits for; at
// the others it tells only that it isn't ready.
inline constexpr char kMetricsUse[] = "metrics";

// What an instance waits for at its start: uses of addresses, and keys of the
// settings.
struct awaited_at_start {
  std::vector<std::string> addresses;
  std::vector<std::string> settings;
};

class status_ports {
 public:
  // `awaited` is asked as long as a port has no handler.
  status_ports(event_loop& loop, std::function<awaited_at_start()> awaited);
  status_ports(const status_ports&) = delete;
  status_ports& operator=(const status_ports&) = delete;

  void Serve(const listen_address& wanted,
             server_socket socket,
             const http_server_limits& limits);

  // Closes those that are not among `addresses`.
  void Keep(const std::vector<listen_address>& addresses);

  // Answers what comes for `use` from now on. Before, metrics are answered with
  // what is awaited, and all else with 503.
  void SetHandler(const std::string& use, http_server::handler handle);

  // Of each open port, by use.
  void WriteMetrics(prometheus_writer& out) const;

 private:
  struct port {
    listen_address wanted;
    std::unique_ptr<http_server> server;
  };

  void Handle(const std::string& use, const http_exchange_ptr& exchange) const;
  std::string MetricsText() const;

  event_loop& loop_;
  std::function<awaited_at_start()> awaited_;
  std::map<std::string, http_server::handler> handlers_;
  // By use.
  std::map<std::string, port> ports_;
};

}  // namespace jasminedyke

#endif  // SRC_DAEMON_STATUS_PORTS_H_
