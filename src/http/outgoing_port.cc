#include "http/outgoing_port.h"

#include <sys/socket.h>

namespace jasminedyke {

// The kernel lets two sockets share a port if both allow it and at most one
// listens.
void LendPort(int descriptor) {
  int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

int MakeOutgoingSocket() {
  int made = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (made >= 0)
    LendPort(made);
  return made;
}

}  // namespace jasminedyke
