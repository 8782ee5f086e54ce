// One client connection by evhttp, carrying one request at a time.

#ifndef SRC_HTTP_HTTP_CONNECTION_H_
#define SRC_HTTP_HTTP_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <event2/http.h>

#include "base/base.h"
#include "http/http_types.h"

struct evbuffer;
struct evbuffer_cb_info;

namespace jasminedyke {

struct http_client_limits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 16 * 1024 * 1024;
  // A request whose reply is coming in does not time out while further bytes
  // come within this time. A large reply that a busy process reads slowly would
  // else be thrown away, asked for again when it is larger still, and never be
  // read. Zero: the request's timeout is for the whole reply.
  duration stall = duration::zero();
  // At once, of what the network has brought; 0: as libevent does, 16 KB.
  size_t max_read_bytes = 0;
};

// Connects on the first request, keeps the connection alive between requests
// and connects again after it was closed. A request is put on the wire at
// most once: evhttp's own retries stay at zero.
class http_connection {
 public:
  using callback = std::function<void(http_result)>;

  http_connection(event_loop& loop,
                  const socket_address& address,
                  const http_client_limits& limits);
  // A request in progress is dropped without its callback. Not to be
  // destroyed from within a callback.
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // `done` is called once, never from within this call. Only while not busy.
  // `timeout` is until the first byte of the reply, and until its end unless
  // the limits say more.
  void Send(const http_request& request, duration timeout, callback done);

  // Ends a request in progress without calling back and closes.
  void Abort();

  // Closes an idle connection; the next request connects again.
  void Close();

  bool busy() const { return request_ != nullptr || failing_at_once_; }
  const socket_address& address() const { return address_; }
  // On the wire, headers included, since this object was made.
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }
  // When the last request ended.
  time_point idle_since() const { return idle_since_; }

 private:
  struct evhttp_connection_deleter {
    void operator()(evhttp_connection* connection) const;
  };

  static void OnOutputChanged(evbuffer* buffer,
                              const evbuffer_cb_info* info,
                              void* self);
  static void OnInputChanged(evbuffer* buffer,
                             const evbuffer_cb_info* info,
                             void* self);
  static void OnError(evhttp_request_error error, void* self);
  void FailLater();
  static void OnReply(evhttp_request* request, void* self);

  bool Open();
  void SendAtOnce();
  bool HasUnreadInput() const;
  void OnTimeout();
  void Finish(http_result result);
  http_result TakeReply(evhttp_request* request);

  event_loop& loop_;
  socket_address address_;
  http_client_limits limits_;
  std::unique_ptr<evhttp_connection, evhttp_connection_deleter> connection_;
  // Owned by `connection_`.
  evhttp_request* request_ = nullptr;
  // True from the first byte of the current request that the kernel took.
  bool byte_sent_ = false;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  // The reply to the current request is beyond the limit.
  bool too_large_ = false;
  // The next request must not reuse this connection.
  bool must_reopen_ = false;
  bool failing_at_once_ = false;
  bool in_send_ = false;
  callback done_;
  scoped_timer timer_;
  time_point idle_since_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_HTTP_CONNECTION_H_
