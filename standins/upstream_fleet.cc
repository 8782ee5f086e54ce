#include "standins/upstream_fleet.h"

#include <algorithm>

namespace jasminedyke {

using nlohmann::json;

upstream_fleet::upstream_fleet(event_loop& loop,
                               const upstream_limits& limits,
                               uint64_t seed)
    : loop_(loop),
      limits_(limits),
      seed_(seed),
      control_(loop, http_server_limits(), [this](const http_exchange_ptr& e) {
        HandleControl(e);
      }) {}

socket_address upstream_fleet::Add(const socket_address& first, int number) {
  auto port = static_cast<uint16_t>(first.port ? first.port + number : 0);
  upstreams_.push_back(
      std::make_unique<upstream_standin>(loop_, limits_, seed_ + number));
  return upstreams_.back()->Listen({first.ip, port});
}

socket_address upstream_fleet::ListenForControl(const socket_address& address) {
  return control_.Listen(address);
}

void upstream_fleet::HandleControl(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  if (request.path == "/standin/counters") {
    exchange->Reply({200, {}, Counters().dump()});
    return;
  }
  json wanted = json::parse(request.body, nullptr, false);
  bool done = request.path == "/standin/faults" && wanted.is_object() &&
              SetFaults(wanted);
  exchange->Reply({done ? 200 : 400, {}, ""});
}

bool upstream_fleet::SetFaults(const json& wanted) {
  upstream_faults faults;
  faults.mode = wanted.value("mode", faults.mode);
  faults.slowness = wanted.value("slowness", faults.slowness);
  faults.straggler_chance =
      wanted.value("straggler_chance", faults.straggler_chance);
  faults.straggler_factor =
      wanted.value("straggler_factor", faults.straggler_factor);
  if (!upstream_standin::IsMode(faults.mode))
    return false;
  json chosen = wanted.value("upstreams", json::array());
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    bool is_chosen =
        chosen.empty() || std::ranges::find(chosen, json(i)) != chosen.end();
    if (is_chosen)
      upstreams_[i]->SetFaults(faults);
  }
  return true;
}

json upstream_fleet::Counters() const {
  upstream_counters sum;
  for (const auto& upstream : upstreams_) {
    const upstream_counters& one = upstream->counters();
    sum.starts += one.starts;
    sum.refused += one.refused;
    sum.answered += one.answered;
    sum.stopped += one.stopped;
    sum.doubled += one.doubled;
    sum.most_running = std::max(sum.most_running, one.most_running);
  }
  return {{"starts", sum.starts},     {"refused", sum.refused},
          {"answered", sum.answered}, {"stopped", sum.stopped},
          {"doubled", sum.doubled},   {"most_running", sum.most_running}};
}

}  // namespace jasminedyke
