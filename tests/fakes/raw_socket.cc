#include "fakes/raw_socket.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminedyke {

namespace {

constexpr duration kPatience = std::chrono::seconds(60);
constexpr duration kTick = std::chrono::milliseconds(1);

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetNonBlocking(int socket) {
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
}

// Appends what has arrived; true if the other side has closed.
bool ReadAvailable(int socket, std::string* received) {
  char buffer[65536];
  while (socket >= 0) {
    ssize_t count = recv(socket, buffer, sizeof(buffer), 0);
    if (count == 0)
      return true;
    if (count < 0)
      return errno != EAGAIN && errno != EWOULDBLOCK;
    received->append(buffer, static_cast<size_t>(count));
  }
  return false;
}

void WriteAll(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN)
      return;
    sent += count > 0 ? static_cast<size_t>(count) : 0;
  }
}

}  // namespace

bool RunUntil(event_loop& loop, const std::function<bool()>& done) {
  time_point give_up = loop.now() + kPatience;
  while (!done()) {
    if (loop.now() > give_up)
      return false;
    // The loop must wake although nothing of its own is due.
    loop.CallAfter(kTick, [] {});
    loop.RunOnce();
  }
  return true;
}

raw_server::raw_server() {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  bool listening =
      bind(listener_, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
      listen(listener_, 16) == 0 &&
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) ==
          0;
  if (!listening)
    throw std::runtime_error("no loopback port");
  SetNonBlocking(listener_);
  address_ = {"127.0.0.1", ntohs(address.sin_port)};
}

raw_server::~raw_server() {
  Close();
  close(listener_);
}

bool raw_server::Accept() {
  int connection = accept(listener_, nullptr, nullptr);
  if (connection < 0)
    return false;
  Close();
  SetNonBlocking(connection);
  connection_ = connection;
  ++accepted;
  return true;
}

void raw_server::Read() {
  ReadAvailable(connection_, &received);
}

void raw_server::Write(const std::string& bytes) const {
  WriteAll(connection_, bytes);
}

void raw_server::Close() {
  if (connection_ >= 0)
    close(connection_);
  connection_ = -1;
}

void raw_server::Reset() {
  linger at_once{1, 0};
  setsockopt(connection_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  Close();
}

raw_client::raw_client(const socket_address& address) {
  socket_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to = Loopback(address.port);
  if (connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    Close();
    throw std::runtime_error("can't connect");
  }
  SetNonBlocking(socket_);
}

raw_client::~raw_client() {
  Close();
}

void raw_client::Write(const std::string& bytes) const {
  WriteAll(socket_, bytes);
}

void raw_client::Read() {
  ended = ReadAvailable(socket_, &received) || ended;
}

void raw_client::Close() {
  if (socket_ >= 0)
    close(socket_);
  socket_ = -1;
}

}  // namespace jasminedyke
