// A blocking TCP endpoint for tests that need bytes as they are.

#ifndef TESTS_FAKES_RAW_SOCKET_H_
#define TESTS_FAKES_RAW_SOCKET_H_

#include <functional>
#include <string>

#include "base/base.h"
#include "http/http.h"

namespace jasminedyke {

// Runs the loop until `done` holds. Fails the test if nothing happens for
// many seconds; no test's verdict depends on how long things take.
bool RunUntil(event_loop& loop, const std::function<bool()>& done);

// A server that hands each accepted connection's bytes to the test.
class raw_server {
 public:
  raw_server();
  ~raw_server();
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  socket_address address() const { return address_; }

  // False if nobody has connected.
  bool Accept();
  // Adds what has arrived to `received`.
  void Read();
  void Write(const std::string& bytes) const;
  void Close();
  // Ends with a reset instead of a close.
  void Reset();

  std::string received;
  // Connections taken so far.
  int accepted = 0;

 private:
  int listener_ = -1;
  int connection_ = -1;
  socket_address address_;
};

// A client that writes raw bytes.
class raw_client {
 public:
  explicit raw_client(const socket_address& address);
  ~raw_client();
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;

  void Write(const std::string& bytes) const;
  // Adds what has arrived to `received`.
  void Read();
  void Close();
  // The server has closed.
  bool ended = false;

  std::string received;

 private:
  int socket_ = -1;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_RAW_SOCKET_H_
