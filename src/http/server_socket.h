// A TCP socket on an address of this machine, before a server takes it.

#ifndef SRC_HTTP_SERVER_SOCKET_H_
#define SRC_HTTP_SERVER_SOCKET_H_

#include <optional>
#include <string>

#include "base/outcome.h"
#include "http/http_types.h"

namespace jasminedyke {

// The `errno` of a call that failed.
struct socket_error {
  int number = 0;

  // Whether the same call may succeed later, with nobody changing the settings:
  // somebody else has the port, the machine doesn't have the address yet, or
  // the kernel is out of something.
  bool passes() const;
  std::string ToString() const;

  bool operator==(const socket_error&) const = default;
};

// Bound and, after `Listen`, reachable; refuses connections until then. The
// port is kept from outgoing connections in both states. Non-blocking, closed
// with its owner.
class server_socket {
 public:
  // Port 0 takes any free port.
  static outcome<server_socket, socket_error> Bind(
      const socket_address& address);

  // Binds and listens. Throws `std::runtime_error` if the address can't be had.
  static server_socket Open(const socket_address& address);

  server_socket(server_socket&& other) noexcept;
  server_socket& operator=(server_socket&& other) noexcept;
  ~server_socket();

  // Nothing if it went well. Fails if another socket that is bound to the
  // address has begun to listen meanwhile; such a socket is of no use any more.
  std::optional<socket_error> Listen();

  // The caller closes it.
  int Release();

  // With the real port.
  const socket_address& address() const { return address_; }

 private:
  server_socket(int descriptor, const socket_address& address)
      : descriptor_(descriptor), address_(address) {}

  // -1 once it was released or moved from.
  int descriptor_;
  socket_address address_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_SERVER_SOCKET_H_
