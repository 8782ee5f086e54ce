// The connections of this instance to all upstreams.

#ifndef SRC_UPSTREAM_UPSTREAM_LINKS_H_
#define SRC_UPSTREAM_UPSTREAM_LINKS_H_

#include <map>
#include <memory>
#include <vector>

#include "base/base.h"
#include "http/http.h"
#include "policy/policy.h"
#include "upstream/attempt.h"

namespace jasminedyke {

// Makes attempts over HTTP/1.1, one request at a time on each connection.
// Idle connections are kept for a short while only: on one that the upstream
// closes just as a request goes out, the outcome would be unknown.
class upstream_links : public attempt_port {
 public:
  // `table` tells addresses and each upstream's share of connections.
  upstream_links(event_loop& loop, const upstream_table& table);
  ~upstream_links() override;

  void Start(const attempt_request& request, callback done) override;
  void Stop(const upstream_id& upstream, const std::string& task) override;

  size_t open_connections() const;

 private:
  using connection_list = std::vector<std::unique_ptr<http_connection>>;

  http_connection* IdleConnection(const upstream_id& upstream);
  void CloseIdle();

  event_loop& loop_;
  const upstream_table& table_;
  std::map<upstream_id, connection_list> links_;
  scoped_timer idle_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_UPSTREAM_UPSTREAM_LINKS_H_
