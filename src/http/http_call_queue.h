// Requests to one server over a few kept connections, in the order of the
// calls.

#ifndef SRC_HTTP_HTTP_CALL_QUEUE_H_
#define SRC_HTTP_HTTP_CALL_QUEUE_H_

#include <deque>
#include <memory>
#include <vector>

#include "base/base.h"
#include "http/http_connection.h"
#include "http/http_types.h"

namespace jasminedyke {

class http_call_queue {
 public:
  struct limits {
    size_t connections = 2;
    // Beyond so many waiting calls, further ones fail at once, not sent.
    size_t waiting = 1000;
    // Of each call, from when it is put on a connection.
    duration timeout = std::chrono::seconds(1);
  };

  http_call_queue(event_loop& loop,
                  const socket_address& address,
                  const http_client_limits& client,
                  const limits& bounds);

  // `done` is called once, never from within this call.
  void Send(http_request request, http_connection::callback done);

 private:
  struct waiting_call {
    http_request request;
    http_connection::callback done;
  };

  void SendNext();

  event_loop& loop_;
  limits limits_;
  std::vector<std::unique_ptr<http_connection>> connections_;
  std::deque<waiting_call> waiting_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_HTTP_CALL_QUEUE_H_
