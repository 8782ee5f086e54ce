// A small stand-in for the platform: tables, transactions and the list of
// instances, with faults on demand.

#ifndef STANDINS_PLATFORM_STANDIN_H_
#define STANDINS_PLATFORM_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "http/http.h"

namespace jasminedyke {

struct platform_faults {
  // Nothing is answered; connections are closed without a reply.
  bool outage = false;
  // The chance that a write takes effect and its reply is lost.
  double lose_reply = 0;
  // Each answer is delayed by this.
  duration delay{};
  // Changes of the instance list show only after this.
  duration list_lag{};
};

// Serves the platform's interface, and under /standin what tests and the load
// tool need: PUT faults, PUT instances, GET counters.
class platform_standin {
 public:
  platform_standin(event_loop& loop, uint64_t seed);

  socket_address Listen(const socket_address& address);

  void SetFaults(const platform_faults& faults) { faults_ = faults; }
  // `instances` is an array as in `GET /v1/instances`.
  void SetInstances(const nlohmann::json& instances);
  // Writes a row whatever its version.
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& value);
  // Null if absent.
  nlohmann::json Get(const std::string& table, const std::string& key) const;

  uint64_t reads() const { return reads_; }
  uint64_t writes() const { return writes_; }

 private:
  struct row {
    uint64_t version = 0;
    nlohmann::json value;
  };
  struct instance_list {
    time_point visible_from;
    uint64_t version = 0;
    nlohmann::json instances = nlohmann::json::array();
  };
  using row_key = std::pair<std::string, std::string>;

  void Handle(const http_exchange_ptr& exchange);
  void HandleControl(const http_exchange_ptr& exchange);
  http_reply Serve(const http_request& request);
  http_reply ServeRow(const http_request& request);
  http_reply ServeTransaction(const http_request& request);
  http_reply ServeInstances(const http_request& request);
  uint64_t Version(const row_key& key) const;
  uint64_t Store(const row_key& key, const nlohmann::json& value);

  event_loop& loop_;
  http_server server_;
  std::mt19937_64 random_;
  platform_faults faults_;
  std::map<row_key, row> rows_;
  // Oldest first; the last visible one is served.
  std::deque<instance_list> lists_;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace jasminedyke

#endif  // STANDINS_PLATFORM_STANDIN_H_
