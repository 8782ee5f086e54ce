// What the requests of a server hold, and how those that are too much are
// refused.

#include "http/http_server.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <fcntl.h>
#include <sys/socket.h>

namespace jasminedyke {

namespace {

// Above, a request is large.
constexpr size_t kSmallBytes = 64 * 1024;

std::string RefusalText(int status) {
  bool too_large = status == 413;
  std::string body =
      too_large ? "{\"reason\":\"body_too_large\"}" : "{\"reason\":\"memory\"}";
  return "HTTP/1.1 " + std::to_string(status) +
         (too_large ? " Content Too Large\r\n"
                    : " Service Unavailable\r\nRetry-After: 1\r\n") +
         "Content-Type: application/json\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

void http_server::Hold(open_connection& entry, size_t bytes) {
  entry.bytes += bytes;
  held_bytes_ += bytes;
}

void http_server::Release(open_connection& entry) {
  trimmer_.NoteFreed(entry.bytes);
  held_bytes_ -= std::exchange(entry.bytes, 0);
}

int http_server::RefusalOf(const open_connection& entry) const {
  if (entry.bytes > limits_.max_header_bytes + limits_.max_body_bytes)
    return 413;
  size_t bound = limits_.max_held_bytes;
  if (entry.bytes > kSmallBytes)
    bound -= bound / 4;
  return bound > 0 && held_bytes_ > bound ? 503 : 0;
}

void http_server::RefuseAll() {
  std::vector<const open_connection*> refused;
  for (const auto& [connection, entry] : connections_) {
    if (entry.refuse_with != 0 && !entry.waiting)
      refused.push_back(&entry);
  }
  for (const open_connection* entry : refused)
    Refuse(*entry);
}

// evhttp replies to whole requests only, and keeps what it has read of one
// until the connection ends. So the connection ends for it, and the socket
// lives on until the caller has read why, or as one that is too slow.
void http_server::Refuse(const open_connection& entry) {
  ++refused_[entry.refuse_with];
  evhttp_connection* connection = entry.connection;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  bool amid_reply = evbuffer_get_length(bufferevent_get_output(bev)) > 0;
  int socket =
      amid_reply ? -1 : fcntl(bufferevent_getfd(bev), F_DUPFD_CLOEXEC, 0);
  if (socket >= 0) {
    std::string text = RefusalText(entry.refuse_with);
    // Nothing else is on its way: the socket's buffer holds it.
    (void)send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(socket, SHUT_WR);
    places_.Rename(connection, refused_callers_.Take(socket));
  }
  evhttp_connection_free(connection);
}

}  // namespace jasminedyke
