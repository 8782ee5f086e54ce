#include "http/http_types.h"

#include <charconv>

#include <arpa/inet.h>
#include <strings.h>

namespace jasminedyke {

std::optional<socket_address> socket_address::Parse(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  socket_address address;
  address.ip = text.substr(0, colon);
  in_addr parsed;
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1)
    return std::nullopt;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(first, last, address.port);
  if (error != std::errc() || end != last)
    return std::nullopt;
  return address;
}

std::string socket_address::ToString() const {
  return ip + ":" + std::to_string(port);
}

const std::string* FindHeader(const http_headers& headers, const char* name) {
  for (const http_header& header : headers) {
    if (strcasecmp(header.first.c_str(), name) == 0)
      return &header.second;
  }
  return nullptr;
}

}  // namespace jasminedyke
