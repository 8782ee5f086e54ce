#include "daemon/status_ports.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

status_ports::status_ports(event_loop& loop,
                           std::function<awaited_at_start()> awaited)
    : loop_(loop), awaited_(std::move(awaited)) {}

void status_ports::Serve(const listen_address& wanted,
                         server_socket socket,
                         const http_server_limits& limits) {
  const std::string& use = wanted.use;
  auto server = std::make_unique<http_server>(
      loop_, limits,
      [this, use](const http_exchange_ptr& e) { Handle(use, e); });
  server->Serve(std::move(socket));
  ports_[use] = {wanted, std::move(server)};
}

void status_ports::Keep(const std::vector<listen_address>& addresses) {
  std::erase_if(ports_, [&](const auto& each) {
    return std::ranges::find(addresses, each.second.wanted) == addresses.end();
  });
}

void status_ports::SetHandler(const std::string& use,
                              http_server::handler handle) {
  handlers_[use] = std::move(handle);
}

void status_ports::WriteMetrics(prometheus_writer& out) const {
  for (const auto& [use, port] : ports_)
    WriteServer(out, use.c_str(), port.server->metrics());
}

void status_ports::Handle(const std::string& use,
                          const http_exchange_ptr& exchange) const {
  auto found = handlers_.find(use);
  if (found != handlers_.end())
    found->second(exchange);
  else if (use == kMetricsUse)
    exchange->Reply({200, {{"Content-Type", "text/plain"}}, MetricsText()});
  else
    exchange->Reply({503, {}, "not ready\n"});
}

std::string status_ports::MetricsText() const {
  prometheus_writer out;
  out.Gauge("ready", 0);
  awaited_at_start awaited = awaited_();
  for (const std::string& use : awaited.addresses)
    out.Gauge("address_awaited", 1, {{"address", use}});
  for (const std::string& key : awaited.settings)
    out.Gauge("setting_awaited", 1, {{"setting", key}});
  WriteProcessMetrics(out);
  WriteMetrics(out);
  return out.Text();
}

}  // namespace jasminedyke
