#include "jasminedykectl/fetch.h"

#include <optional>

namespace jasminedyke {

http_result Fetch(const socket_address& address,
                  const http_request& request,
                  duration timeout) {
  event_loop loop;
  http_client_limits limits;
  limits.max_body_bytes = 64 * 1024 * 1024;
  http_connection connection(loop, address, limits);
  std::optional<http_result> result;
  connection.Send(request, timeout, [&](http_result reply) {
    result = std::move(reply);
    loop.Stop();
  });
  loop.Run();
  return *result;
}

}  // namespace jasminedyke
