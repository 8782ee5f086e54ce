#include "http/http_connection.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http/evhttp_convert.h"
#include "http/outgoing_port.h"

namespace jasminedyke {

namespace {

constexpr int kNoTimeoutSeconds = 7 * 24 * 3600;

evhttp_cmd_type ToCommand(http_method method) {
  switch (method) {
    case http_method::kPut:
      return EVHTTP_REQ_PUT;
    case http_method::kPost:
      return EVHTTP_REQ_POST;
    case http_method::kDelete:
      return EVHTTP_REQ_DELETE;
    case http_method::kGet:
    case http_method::kOther:
      break;
  }
  return EVHTTP_REQ_GET;
}

// A reply without either header ends where the connection ends. If the
// upstream dies in the middle, evhttp takes the part for the whole. Such
// replies are refused, so a caller can't get a cut answer as whole.
bool SaysItsLength(const http_reply& reply) {
  return FindHeader(reply.headers, "Content-Length") != nullptr ||
         FindHeader(reply.headers, "Transfer-Encoding") != nullptr;
}

}  // namespace

void http_connection::evhttp_connection_deleter::operator()(
    evhttp_connection* connection) const {
  evhttp_connection_free(connection);
}

http_connection::http_connection(event_loop& loop,
                                 const socket_address& address,
                                 const http_client_limits& limits)
    : loop_(loop), address_(address), limits_(limits), timer_(loop) {}

http_connection::~http_connection() {
  Abort();
}

void http_connection::Send(const http_request& request,
                           duration timeout,
                           callback done) {
  done_ = std::move(done);
  byte_sent_ = false;
  too_large_ = false;
  // Bytes that nobody asked for, after the end of the last reply, would be
  // taken for the reply to this request: an answer to the wrong caller. A new
  // connection can't have any.
  if (connection_ && (must_reopen_ || HasUnreadInput()))
    connection_.reset();
  if (!connection_ && !Open()) {
    FailLater();
    return;
  }
  request_ = evhttp_request_new(&http_connection::OnReply, this);
  evhttp_request_set_error_cb(request_, &http_connection::OnError);
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "Host", address_.ip.c_str());
  for (const http_header& header : request.headers)
    evhttp_add_header(headers, header.first.c_str(), header.second.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request_), request.body.data(),
               request.body.size());
  timer_.StartAfter(timeout, [this] { OnTimeout(); });
  // evhttp connects within the call, also again after the other side has
  // closed.
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_.get());
  bool connects = bufferevent_getfd(bev) < 0;
  in_send_ = true;
  evhttp_make_request(connection_.get(), request_, ToCommand(request.method),
                      request.path.c_str());
  in_send_ = false;
  if (connects)
    LendPort(bufferevent_getfd(bev));
  SendAtOnce();
}

void http_connection::FailLater() {
  failing_at_once_ = true;
  timer_.StartAfter(duration::zero(), [this] {
    failing_at_once_ = false;
    Finish(http_failure{http_failure_kind::kConnect, true});
  });
}

// A small request must not wait for the acknowledgement of earlier bytes.
void http_connection::SendAtOnce() {
  if (!connection_)
    return;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_.get());
  int on = 1;
  setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void http_connection::Abort() {
  timer_.Stop();
  failing_at_once_ = false;
  done_ = nullptr;
  evhttp_request* request = std::exchange(request_, nullptr);
  if (request) {
    evhttp_cancel_request(request);
    must_reopen_ = true;
  }
}

void http_connection::Close() {
  if (!busy())
    connection_.reset();
}

bool http_connection::Open() {
  must_reopen_ = false;
  connection_.reset(evhttp_connection_base_new(
      loop_.base(), nullptr, address_.ip.c_str(), address_.port));
  if (!connection_)
    return false;
  evhttp_connection_set_max_headers_size(
      connection_.get(), static_cast<ev_ssize_t>(limits_.max_header_bytes));
  evhttp_connection_set_max_body_size(
      connection_.get(), static_cast<ev_ssize_t>(limits_.max_body_bytes));
  // evhttp's own limit of 50 s would end longer tasks before their lease; the
  // timer of each request is the only one.
  evhttp_connection_set_timeout(connection_.get(), kNoTimeoutSeconds);
  evhttp_connection_set_retries(connection_.get(), 0);
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_.get());
  evbuffer_add_cb(bufferevent_get_output(bev),
                  &http_connection::OnOutputChanged, this);
  if (limits_.max_read_bytes > 0)
    bufferevent_set_max_single_read(bev, limits_.max_read_bytes);
  evbuffer_add_cb(bufferevent_get_input(bev), &http_connection::OnInputChanged,
                  this);
  return true;
}

// evhttp does not say whether a failed request had left. Bytes leave the
// output buffer when the kernel takes them, and also when evhttp throws the
// buffer away; it does the latter only after it has disabled writing.
void http_connection::OnOutputChanged(evbuffer*,
                                      const evbuffer_cb_info* info,
                                      void* self) {
  auto* connection = static_cast<http_connection*>(self);
  if (info->n_deleted == 0 || !connection->connection_)
    return;
  bufferevent* bev =
      evhttp_connection_get_bufferevent(connection->connection_.get());
  if ((bufferevent_get_enabled(bev) & EV_WRITE) == 0)
    return;
  connection->byte_sent_ = true;
  connection->bytes_sent_ += info->n_deleted;
}

void http_connection::OnInputChanged(evbuffer*,
                                     const evbuffer_cb_info* info,
                                     void* self) {
  auto* connection = static_cast<http_connection*>(self);
  connection->bytes_received_ += info->n_added;
  bool comes_in = info->n_added > 0 && connection->request_ != nullptr;
  if (comes_in && connection->limits_.stall > duration::zero())
    connection->timer_.StartAfter(connection->limits_.stall,
                                  [connection] { connection->OnTimeout(); });
}

// Comes before `OnReply`, which does not tell why.
void http_connection::OnError(evhttp_request_error error, void* self) {
  if (error == EVREQ_HTTP_DATA_TOO_LONG)
    static_cast<http_connection*>(self)->too_large_ = true;
}

void http_connection::OnReply(evhttp_request* request, void* self) {
  auto* connection = static_cast<http_connection*>(self);
  connection->request_ = nullptr;
  // evhttp fails within the call where no socket can be had.
  if (connection->in_send_) {
    connection->FailLater();
    return;
  }
  if (!request) {
    http_failure_kind kind = connection->too_large_
                                 ? http_failure_kind::kTooLarge
                                 : http_failure_kind::kReset;
    connection->Finish(http_failure{kind, !connection->byte_sent_});
    return;
  }
  if (evhttp_request_get_response_code(request) == 0) {
    connection->Finish(
        http_failure{http_failure_kind::kConnect, !connection->byte_sent_});
    return;
  }
  connection->Finish(connection->TakeReply(request));
}

bool http_connection::HasUnreadInput() const {
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_.get());
  return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

void http_connection::OnTimeout() {
  bool nothing_sent = !byte_sent_;
  callback done = std::move(done_);
  Abort();
  done_ = std::move(done);
  Finish(http_failure{http_failure_kind::kTimeout, nothing_sent});
}

void http_connection::Finish(http_result result) {
  timer_.Stop();
  idle_since_ = loop_.now();
  callback done = std::exchange(done_, nullptr);
  if (done)
    done(std::move(result));
}

http_result http_connection::TakeReply(evhttp_request* request) {
  http_reply reply;
  reply.status = evhttp_request_get_response_code(request);
  reply.headers = CopyHeaders(evhttp_request_get_input_headers(request));
  reply.body = CopyBody(evhttp_request_get_input_buffer(request));
  if (!SaysItsLength(reply)) {
    must_reopen_ = true;
    return http_failure{http_failure_kind::kTruncated, false};
  }
  return reply;
}

}  // namespace jasminedyke
