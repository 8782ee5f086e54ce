// Several upstream stand-ins and one control interface for them.

#ifndef STANDINS_UPSTREAM_FLEET_H_
#define STANDINS_UPSTREAM_FLEET_H_

#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

#include "standins/upstream_standin.h"

namespace jasminedyke {

// Control: PUT /standin/faults {"upstreams":[0,1],"mode":"fail_all",
// "slowness":1,"straggler_chance":0,"straggler_factor":10} (all upstreams if
// none are named) and GET /standin/counters, summed over all.
class upstream_fleet {
 public:
  upstream_fleet(event_loop& loop,
                 const upstream_limits& limits,
                 uint64_t seed);

  // Listens on the port `number` above the first one's.
  socket_address Add(const socket_address& first, int number);
  socket_address ListenForControl(const socket_address& address);

 private:
  void HandleControl(const http_exchange_ptr& exchange);
  bool SetFaults(const nlohmann::json& wanted);
  nlohmann::json Counters() const;

  event_loop& loop_;
  upstream_limits limits_;
  uint64_t seed_;
  std::vector<std::unique_ptr<upstream_standin>> upstreams_;
  http_server control_;
};

}  // namespace jasminedyke

#endif  // STANDINS_UPSTREAM_FLEET_H_
