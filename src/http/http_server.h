// The HTTP server side by evhttp, with replies that may come later and
// callers that may hang up meanwhile.

#ifndef SRC_HTTP_HTTP_SERVER_H_
#define SRC_HTTP_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "http/accept_pause.h"
#include "http/connection_places.h"
#include "http/heap_trimmer.h"
#include "http/http_types.h"
#include "http/refused_callers.h"
#include "http/server_socket.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace jasminedyke {

class http_server;

// One request and its one reply. Whoever holds it may reply at any time later;
// if it is destroyed before, the caller gets status 500.
class http_exchange {
 public:
  // Made by `http_server` only.
  http_exchange(http_server& server, evhttp_request* request);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  const http_request& request() const { return request_; }
  // Nothing if the request has no such header.
  const std::string* header(const char* name) const {
    return FindHeader(request_.headers, name);
  }

  // Frees the body of a request that has been read. It goes on counting as
  // held, for what was made of it.
  void DropBody();

  // Only the first reply counts; after a hang-up it goes nowhere.
  void Reply(const http_reply& reply);

  // Ends the connection without (`sent_bytes` = 0) or amid a reply. For
  // stand-ins that act out faults.
  void Cut(const std::string& raw_bytes);

  // Calls `handler` once if the caller closes before the reply. A caller that
  // closes only its sending side counts as having hung up.
  void OnHangUp(std::function<void()> handler);

  bool hung_up() const { return hung_up_; }
  bool replied() const { return replied_; }

 private:
  friend class http_server;

  void WatchForHangUp();
  // Detaches from the connection. Null if the caller is gone already.
  evhttp_request* Finish();
  // The server ends and frees the request itself.
  void Detach();
  void OnClosed();

  http_server& server_;
  // Null after the reply.
  evhttp_request* evhttp_request_;
  http_request request_;
  std::function<void()> on_hang_up_;
  bool hung_up_ = false;
  bool replied_ = false;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

struct http_server_limits {
  size_t max_header_bytes = 16 * 1024;
  // What is larger is refused with 413.
  size_t max_body_bytes = 64 * 1024 * 1024;
  // What all requests may take together, from their first byte to their reply;
  // beyond it they are refused with 503. Those above 64 KB may take three
  // quarters, so that small ones get through beside them. 0: no bound.
  size_t max_held_bytes = 0;
  // A caller that sends nothing for so long is cut off.
  std::chrono::seconds idle_timeout{60};
  place_limits places;
};

struct http_server_metrics {
  size_t open = 0;
  // 0: no bound.
  size_t most = 0;
  place_metrics places;
  uint64_t accept_failures = 0;
  size_t held_bytes = 0;
  // Requests that were refused for their size, by status.
  std::map<int, uint64_t> refused;
};

class http_server {
 public:
  using handler = std::function<void(http_exchange_ptr)>;

  http_server(event_loop& loop,
              const http_server_limits& limits,
              handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Port 0 takes any free port. Throws `std::runtime_error` if the address
  // can't be had. Returns the address with the real port.
  socket_address Listen(const socket_address& address);

  // Serves what comes to `socket`, which listens.
  void Serve(server_socket socket);

  // Accepts no further connections; those that exist go on.
  void StopListening();

  // From now on each reply closes its connection, so that callers with
  // kept-alive connections move to another instance.
  void CloseAfterReplies() { close_after_replies_ = true; }

  // Requests that wait for their reply.
  size_t open_exchanges() const { return open_exchanges_; }

  size_t connections() const { return places_.open(); }
  http_server_metrics metrics() const;

 private:
  friend class http_exchange;
  struct evhttp_deleter {
    void operator()(evhttp* server) const;
  };
  struct event_deleter {
    void operator()(event* e) const;
  };

  // At a fixed place while it is open.
  struct open_connection {
    http_server* server = nullptr;
    evhttp_connection* connection = nullptr;
    // Null between requests.
    http_exchange* waiting = nullptr;
    // Of the request that arrives or is served, and of what came after it.
    size_t bytes = 0;
    // With this status, as it is too much; 0: it is not.
    int refuse_with = 0;
  };

  static bufferevent* MakeBufferevent(event_base* base, void* self);
  static void OnInputChanged(evbuffer* buffer,
                             const evbuffer_cb_info* info,
                             void* entry);
  static void OnOutputChanged(evbuffer* buffer,
                              const evbuffer_cb_info* info,
                              void* entry);
  static void OnRequest(evhttp_request* request, void* self);
  static void OnClose(evhttp_connection* connection, void* self);

  void Hold(open_connection& entry, size_t bytes);
  void Release(open_connection& entry);
  int RefusalOf(const open_connection& entry) const;
  void RefuseAll();
  void Refuse(const open_connection& entry);
  void TakeNewcomers();
  void Take(evhttp_connection* connection);

  event_loop& loop_;
  handler handle_;
  http_server_limits limits_;
  evhttp_bound_socket* socket_ = nullptr;
  std::unique_ptr<accept_pause> accept_pause_;
  bool close_after_replies_ = false;
  size_t open_exchanges_ = 0;
  std::unordered_map<evhttp_connection*, open_connection> connections_;
  connection_places places_;
  refused_callers refused_callers_;
  // Made for connections that were just accepted, each with a reference.
  std::vector<bufferevent*> newcomers_;
  std::unique_ptr<event, event_deleter> newcomers_event_;
  // Of all connections.
  size_t held_bytes_ = 0;
  std::map<int, uint64_t> refused_;
  scoped_timer refuse_timer_;
  heap_trimmer trimmer_;
  // Last, so that it goes first: closing its connections calls back.
  std::unique_ptr<evhttp, evhttp_deleter> evhttp_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_HTTP_SERVER_H_
