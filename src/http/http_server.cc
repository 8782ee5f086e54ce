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
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http/evhttp_convert.h"

namespace jasminedyke {

namespace {

// What a caller may send ahead while it waits for a reply.
constexpr size_t kMaxPipelinedBytes = 16 * 1024;

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
  timeval idle{server_.limits_.idle_timeout.count(), 0};
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

void http_exchange::DropBody() {
  std::string().swap(request_.body);
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
  evhttp_connection* connection = evhttp_request_get_connection(request);
  http_server::open_connection& entry = server_.connections_[connection];
  entry.waiting = nullptr;
  server_.Release(entry);
  evbuffer* ahead =
      bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
  server_.Hold(entry, evbuffer_get_length(ahead));
  server_.places_.OnReply(connection);
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

void http_server::event_deleter::operator()(event* e) const {
  event_free(e);
}

void http_server::evhttp_deleter::operator()(evhttp* server) const {
  evhttp_free(server);
}

http_server::http_server(event_loop& loop,
                         const http_server_limits& limits,
                         handler handle)
    : loop_(loop),
      handle_(std::move(handle)),
      limits_(limits),
      places_(loop,
              limits.places,
              [this](connection_key lost) {
                if (refused_callers_.Close(lost))
                  return;
                evhttp_connection_free(const_cast<evhttp_connection*>(
                    static_cast<const evhttp_connection*>(lost)));
              }),
      refused_callers_(loop,
                       [this](connection_key gone) { places_.OnClosed(gone); }),
      newcomers_event_(event_new(
          loop.base(),
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<http_server*>(self)->TakeNewcomers();
          },
          this)),
      refuse_timer_(loop),
      trimmer_(loop),
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
  evhttp_set_bevcb(evhttp_.get(), &http_server::MakeBufferevent, this);
}

// Ending evhttp frees the requests of its connections and then reports them
// closed. Exchanges that still wait must not free theirs once more.
http_server::~http_server() {
  accept_pause_.reset();
  for (auto& [connection, entry] : connections_) {
    if (entry.waiting)
      entry.waiting->Detach();
  }
  connections_.clear();
  for (bufferevent* newcomer : newcomers_)
    bufferevent_decref(newcomer);
}

socket_address http_server::Listen(const socket_address& address) {
  server_socket socket = server_socket::Open(address);
  socket_address open = socket.address();
  Serve(std::move(socket));
  return open;
}

void http_server::Serve(server_socket socket) {
  std::string address = socket.address().ToString();
  socket_ = evhttp_accept_socket_with_handle(evhttp_.get(), socket.Release());
  if (!socket_)
    throw std::runtime_error("evhttp can't accept connections");
  accept_pause_ = std::make_unique<accept_pause>(
      loop_, evhttp_bound_socket_get_listener(socket_), address);
}

void http_server::StopListening() {
  accept_pause_.reset();
  if (socket_)
    evhttp_del_accept_socket(evhttp_.get(), socket_);
  socket_ = nullptr;
}

http_server_metrics http_server::metrics() const {
  return {places_.open(),    places_.limits().most,
          places_.metrics(), accept_pause_ ? accept_pause_->failures() : 0,
          held_bytes_,       refused_};
}

// evhttp tells of a connection only with its first whole request. Until then
// it is known by the bufferevent, whose callbacks have the connection as their
// argument once evhttp has taken it, right after this call. The event comes
// before any of the connection's own; the reference is for a connection that
// evhttp gives up meanwhile.
bufferevent* http_server::MakeBufferevent(event_base* base, void* self) {
  auto* server = static_cast<http_server*>(self);
  // Many may be accepted in one go; those before this one make room first.
  server->TakeNewcomers();
  bufferevent* made = bufferevent_socket_new(base, -1, 0);
  if (!made)
    return nullptr;
  bufferevent_incref(made);
  server->newcomers_.push_back(made);
  event_active(server->newcomers_event_.get(), EV_TIMEOUT, 1);
  return made;
}

void http_server::TakeNewcomers() {
  for (bufferevent* newcomer : std::exchange(newcomers_, {})) {
    void* connection = nullptr;
    bufferevent_getcb(newcomer, nullptr, nullptr, nullptr, &connection);
    if (connection)
      Take(static_cast<evhttp_connection*>(connection));
    bufferevent_decref(newcomer);
  }
}

void http_server::Take(evhttp_connection* connection) {
  if (!places_.Admit(connection)) {
    evhttp_connection_free(connection);
    return;
  }
  open_connection& entry = connections_[connection];
  entry.server = this;
  entry.connection = connection;
  evhttp_connection_set_closecb(connection, &http_server::OnClose, this);
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  evbuffer_add_cb(bufferevent_get_input(bev), &http_server::OnInputChanged,
                  &entry);
  evbuffer_add_cb(bufferevent_get_output(bev), &http_server::OnOutputChanged,
                  &entry);
}

void http_server::OnInputChanged(evbuffer*,
                                 const evbuffer_cb_info* info,
                                 void* entry) {
  auto* open = static_cast<open_connection*>(entry);
  if (info->n_added == 0)
    return;
  http_server* server = open->server;
  server->places_.OnBytes(open->connection);
  server->Hold(*open, info->n_added);
  // What comes ahead of a reply has a bound of its own.
  if (open->waiting || open->refuse_with != 0)
    return;
  open->refuse_with = server->RefusalOf(*open);
  // Later, as evhttp has yet to see these bytes.
  if (open->refuse_with != 0)
    server->refuse_timer_.StartAfter(duration::zero(),
                                     [server] { server->RefuseAll(); });
}

void http_server::OnOutputChanged(evbuffer* buffer,
                                  const evbuffer_cb_info* info,
                                  void* entry) {
  auto* open = static_cast<open_connection*>(entry);
  if (info->n_deleted == 0 || evbuffer_get_length(buffer) > 0)
    return;
  bufferevent* bev = evhttp_connection_get_bufferevent(open->connection);
  bool bytes_ahead = evbuffer_get_length(bufferevent_get_input(bev)) > 0;
  open->server->places_.OnReplySent(open->connection, bytes_ahead);
}

void http_server::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<http_server*>(self);
  // Small replies must not wait for the peer's acknowledgement of earlier
  // ones.
  evhttp_connection* connection = evhttp_request_get_connection(request);
  int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  server->places_.OnRequest(connection);
  auto exchange = std::make_shared<http_exchange>(*server, request);
  open_connection& entry = server->connections_[connection];
  entry.waiting = exchange.get();
  if (entry.refuse_with == 0) {
    server->handle_(exchange);
    return;
  }
  int status = std::exchange(entry.refuse_with, 0);
  ++server->refused_[status];
  http_reply refusal{status, {{"Connection", "close"}}, {}};
  if (status == 503)
    refusal.headers.emplace_back("Retry-After", "1");
  exchange->Reply(refusal);
}

void http_server::OnClose(evhttp_connection* connection, void* self) {
  auto* server = static_cast<http_server*>(self);
  server->places_.OnClosed(connection);
  auto found = server->connections_.find(connection);
  if (found == server->connections_.end())
    return;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  evbuffer_remove_cb(bufferevent_get_input(bev), &http_server::OnInputChanged,
                     &found->second);
  evbuffer_remove_cb(bufferevent_get_output(bev), &http_server::OnOutputChanged,
                     &found->second);
  server->Release(found->second);
  http_exchange* waiting = found->second.waiting;
  server->connections_.erase(found);
  if (waiting)
    waiting->OnClosed();
}

}  // namespace jasminedyke
