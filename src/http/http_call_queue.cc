#include "http/http_call_queue.h"

#include <utility>

namespace jasminedyke {

http_call_queue::http_call_queue(event_loop& loop,
                                 const socket_address& address,
                                 const http_client_limits& client,
                                 const limits& bounds)
    : loop_(loop), limits_(bounds) {
  for (size_t i = 0; i < limits_.connections; ++i)
    connections_.push_back(
        std::make_unique<http_connection>(loop, address, client));
}

void http_call_queue::Send(http_request request,
                           http_connection::callback done) {
  if (waiting_.size() >= limits_.waiting) {
    loop_.CallAfter(duration::zero(), [done = std::move(done)] {
      done(http_failure{http_failure_kind::kTimeout, true});
    });
    return;
  }
  waiting_.push_back({std::move(request), std::move(done)});
  SendNext();
}

void http_call_queue::SendNext() {
  for (auto& connection : connections_) {
    if (waiting_.empty())
      return;
    if (connection->busy())
      continue;
    waiting_call next = std::move(waiting_.front());
    waiting_.pop_front();
    connection->Send(
        next.request, limits_.timeout,
        [this, done = std::move(next.done)](const http_result& result) {
          done(result);
          SendNext();
        });
  }
}

}  // namespace jasminedyke
