// Requests and replies as plain values, apart from libevent.

#ifndef SRC_HTTP_HTTP_TYPES_H_
#define SRC_HTTP_HTTP_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/outcome.h"

namespace jasminedyke {

// An IP number and a port.
struct socket_address {
  std::string ip;
  uint16_t port = 0;

  // Accepts "IP:PORT", IPv4 only; names are refused.
  static std::optional<socket_address> Parse(const std::string& text);
  std::string ToString() const;

  bool operator==(const socket_address&) const = default;
  auto operator<=>(const socket_address&) const = default;
};

enum class http_method { kGet, kPut, kPost, kDelete, kOther };

using http_header = std::pair<std::string, std::string>;
using http_headers = std::vector<http_header>;

// The value of the first header of that name (names are case-insensitive), or
// nothing.
const std::string* FindHeader(const http_headers& headers, const char* name);

struct http_request {
  http_method method = http_method::kGet;
  std::string path;
  http_headers headers;
  std::string body;
};

struct http_reply {
  int status = 0;
  http_headers headers;
  std::string body;
};

// Why there is no whole reply.
enum class http_failure_kind {
  kConnect,    // no connection came about
  kReset,      // the connection ended before the whole reply
  kTimeout,    // the time allowed ran out
  kTruncated,  // the reply does not say how long it is, or is malformed
  kTooLarge,   // the reply's body is beyond the limit
};

struct http_failure {
  http_failure_kind kind = http_failure_kind::kReset;
  // True only if it is certain that no byte of the request left this process.
  bool nothing_sent = false;
};

using http_result = outcome<http_reply, http_failure>;

}  // namespace jasminedyke

#endif  // SRC_HTTP_HTTP_TYPES_H_
