#include "http/http_server.h"

#include <cstdint>
#include <stdexcept>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http/evhttp_convert.h"

namespace jasminedyke {

namespace {

// What a caller may send ahead while it waits for a reply.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;

http_method ToMethod(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
    case EVHTTP_REQ_HEAD:
      return http_method::kGet;
    case EVHTTP_REQ_PUT:
      return http_method::kPut;
    case EVHTTP_REQ_POST:
      return http_method::kPost;
    case EVHTTP_REQ_DELETE:
      return http_method::kDelete;
    default:
      return http_method::kOther;
  }
}

}  // namespace

http_exchange::http_exchange(http_server& server, evhttp_request* request)
    : server_(server), evhttp_request_(request) {
  ++server_.open_exchanges_;
  request_.method = ToMethod(evhttp_request_get_command(request));
  request_.path = evhttp_request_get_uri(request);
  request_.headers = CopyHeaders(evhttp_request_get_input_headers(request));
  request_.body = CopyBody(evhttp_request_get_input_buffer(request));
  WatchForHangUp();
}

http_exchange::~http_exchange() {
  if (!replied_)
    Reply({500, {{"Content-Type", "text/plain"}}, "no reply was made\n"});
}

void http_exchange::Reply(const http_reply& reply) {
  evhttp_request* request = Finish();
  if (!request)
    return;
  bufferevent* bev =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  // Reading must be off before the watermarks go: evhttp ends the process if
  // bytes reach it between a request and the end of its reply.
  bufferevent_disable(bev, EV_READ);
  bufferevent_setwatermark(bev, EV_READ, 0, 0);
  timeval idle{server_.idle_timeout_.count(), 0};
  bufferevent_set_timeouts(bev, &idle, &idle);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const http_header& header : reply.headers)
    evhttp_add_header(headers, header.first.c_str(), header.second.c_str());
  if (server_.close_after_replies_)
    evhttp_add_header(headers, "Connection", "close");
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, reply.body.data(), reply.body.size());
  evhttp_send_reply(request, reply.status, nullptr, body);
  evbuffer_free(body);
}

void http_exchange::Cut(const std::string& raw_bytes) {
  evhttp_request* request = Finish();
  if (!request)
    return;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evutil_socket_t fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  // The bytes are few: the socket's buffer holds them all.
  if (!raw_bytes.empty())
    (void)send(fd, raw_bytes.data(), raw_bytes.size(), MSG_NOSIGNAL);
  shutdown(fd, SHUT_RDWR);
  evhttp_connection_free(connection);
}

void http_exchange::OnHangUp(std::function<void()> handler) {
  on_hang_up_ = std::move(handler);
}

// By default evhttp does not read while a reply is due, so a hang-up goes
// unnoticed and the tasks of a caller that left would run for nothing. With
// reading on, bytes sent ahead would reach evhttp in a state where it ends
// the process. A low watermark that is never reached keeps them from it, and
// the high watermark bounds them.
void http_exchange::WatchForHangUp() {
  bufferevent* bev = evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(evhttp_request_));
  bufferevent_setwatermark(bev, EV_READ, SIZE_MAX, kMaxPipelinedBytes);
  // A caller that waits sends nothing. The limit for idle callers would cut it
  // off from a long job's answer.
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  bufferevent_enable(bev, EV_READ);
}

evhttp_request* http_exchange::Finish() {
  if (replied_)
    return nullptr;
  replied_ = true;
  on_hang_up_ = nullptr;
  --server_.open_exchanges_;
  evhttp_request* request = std::exchange(evhttp_request_, nullptr);
  if (hung_up_) {
    evhttp_request_free(request);
    return nullptr;
  }
  server_.connections_[evhttp_request_get_connection(request)] = nullptr;
  return request;
}

void http_exchange::Detach() {
  replied_ = true;
  on_hang_up_ = nullptr;
  evhttp_request_ = nullptr;
  --server_.open_exchanges_;
}

void http_exchange::OnClosed() {
  hung_up_ = true;
  auto handler = std::exchange(on_hang_up_, nullptr);
  if (handler)
    handler();
}

void http_server::evhttp_deleter::operator()(evhttp* server) const {
  evhttp_free(server);
}

http_server::http_server(event_loop& loop,
                         const http_server_limits& limits,
                         handler handle)
    : handle_(std::move(handle)),
      idle_timeout_(limits.idle_timeout),
      evhttp_(evhttp_new(loop.base())) {
  if (!evhttp_)
    throw std::runtime_error("evhttp can't be started");
  evhttp_set_allowed_methods(
      evhttp_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST |
                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_max_headers_size(evhttp_.get(),
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(evhttp_.get(),
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_timeout(evhttp_.get(),
                     static_cast<int>(limits.idle_timeout.count()));
  evhttp_set_flags(evhttp_.get(), EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_default_content_type(evhttp_.get(), "application/json");
  evhttp_set_gencb(evhttp_.get(), &http_server::OnRequest, this);
}

// Ending evhttp frees the requests of its connections and then reports them
// closed. Exchanges that still wait must not free theirs once more.
http_server::~http_server() {
  for (auto& [connection, waiting] : connections_) {
    if (waiting)
      waiting->Detach();
  }
  connections_.clear();
}

socket_address http_server::Listen(const socket_address& address) {
  server_socket socket = server_socket::Open(address);
  socket_address open = socket.address();
  Serve(std::move(socket));
  return open;
}

void http_server::Serve(server_socket socket) {
  socket_ = evhttp_accept_socket_with_handle(evhttp_.get(), socket.Release());
  if (!socket_)
    throw std::runtime_error("evhttp can't accept connections");
}

void http_server::StopListening() {
  if (socket_)
    evhttp_del_accept_socket(evhttp_.get(), socket_);
  socket_ = nullptr;
}

void http_server::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<http_server*>(self);
  // Small replies must not wait for the peer's acknowledgement of earlier
  // ones.
  evhttp_connection* connection = evhttp_request_get_connection(request);
  int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto exchange = std::make_shared<http_exchange>(*server, request);
  server->connections_[connection] = exchange.get();
  evhttp_connection_set_closecb(connection, &http_server::OnClose, server);
  server->handle_(exchange);
}

void http_server::OnClose(evhttp_connection* connection, void* self) {
  auto* server = static_cast<http_server*>(self);
  auto found = server->connections_.find(connection);
  if (found == server->connections_.end())
    return;
  http_exchange* waiting = found->second;
  server->connections_.erase(found);
  if (waiting)
    waiting->OnClosed();
}

}  // namespace jasminedyke
