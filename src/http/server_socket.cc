#include "http/server_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminedyke {

namespace {

// Connections that wait to be accepted.
constexpr int kBacklog = 128;

constexpr std::array kPassing = {EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE,
                                 ENOBUFS,    ENOMEM,        EINTR,  EAGAIN};

void TurnOn(int descriptor, int option) {
  int on = 1;
  setsockopt(descriptor, SOL_SOCKET, option, &on, sizeof(on));
}

}  // namespace

bool socket_error::passes() const {
  return std::ranges::find(kPassing, number) != kPassing.end();
}

std::string socket_error::ToString() const {
  return std::strerror(number);
}

outcome<server_socket, socket_error> server_socket::Bind(
    const socket_address& address) {
  int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    return socket_error{errno};
  server_socket made(descriptor, address);
  // So that what a predecessor's connections left doesn't hold the port.
  TurnOn(descriptor, SO_REUSEADDR);
  // Connections take this on from the socket that they come to.
  TurnOn(descriptor, SO_KEEPALIVE);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
  socklen_t length = sizeof(to);
  auto* generic = reinterpret_cast<sockaddr*>(&to);
  if (bind(descriptor, generic, length) != 0)
    return socket_error{errno};
  if (getsockname(descriptor, generic, &length) != 0)
    return socket_error{errno};
  made.address_.port = ntohs(to.sin_port);
  return made;
}

server_socket server_socket::Open(const socket_address& address) {
  auto bound = Bind(address);
  std::optional<socket_error> error;
  if (!bound.ok())
    error = bound.error();
  else
    error = bound.value().Listen();
  if (error)
    throw std::runtime_error("can't listen on " + address.ToString() + ": " +
                             error->ToString());
  return std::move(bound.value());
}

server_socket::server_socket(server_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      address_(std::move(other.address_)) {}

server_socket& server_socket::operator=(server_socket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(address_, other.address_);
  return *this;
}

server_socket::~server_socket() {
  if (descriptor_ >= 0)
    close(descriptor_);
}

std::optional<socket_error> server_socket::Listen() {
  if (listen(descriptor_, kBacklog) != 0)
    return socket_error{errno};
  return std::nullopt;
}

int server_socket::Release() {
  return std::exchange(descriptor_, -1);
}

}  // namespace jasminedyke
