// What a connection leaves behind that has ended.

#ifndef TESTS_FAKES_LEFT_PORT_H_
#define TESTS_FAKES_LEFT_PORT_H_

#include "http/http.h"

namespace jasminedyke {

// A port of 127.0.0.1 that the kernel keeps for an outgoing connection that is
// over (TIME_WAIT), for a minute from its construction on.
class left_port {
 public:
  left_port();

  const socket_address& address() const { return address_; }

 private:
  socket_address address_;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_LEFT_PORT_H_
