#include "fakes/left_port.h"

#include <stdexcept>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminedyke {

// The side that closes first keeps its port.
left_port::left_port() {
  int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int here = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  bool done = bind(listening, generic, length) == 0 &&
              listen(listening, 1) == 0 &&
              getsockname(listening, generic, &length) == 0 &&
              connect(here, generic, length) == 0;
  int there = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
  done = done && getsockname(here, generic, &length) == 0 &&
         shutdown(here, SHUT_WR) == 0;
  address_ = {"127.0.0.1", ntohs(address.sin_port)};
  // Each side sees the other one's end.
  char byte = 0;
  done = done && read(there, &byte, 1) == 0;
  close(there);
  done = done && read(here, &byte, 1) == 0;
  close(here);
  close(listening);
  if (!done)
    throw std::runtime_error("no connection that ended");
}

}  // namespace jasminedyke
