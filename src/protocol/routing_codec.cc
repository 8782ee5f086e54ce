#include "protocol/routing_codec.h"

#include <peer_types.h>

namespace jasminedyke {

namespace {

wire::route ToWire(const route& each) {
  wire::route wire;
  wire.name = each.name;
  wire.host = each.host;
  wire.path_prefix = each.path_prefix;
  wire.upstream_service = each.service;
  wire.timeout_us = each.timeout.count();
  wire.target_latency_us = each.target_latency.count();
  wire.stretch = each.stretch;
  wire.max_attempts = each.max_attempts;
  wire.priority = each.priority;
  return wire;
}

route FromWire(const wire::route& wire) {
  route each;
  each.name = wire.name;
  each.host = wire.host;
  each.path_prefix = wire.path_prefix;
  each.service = wire.upstream_service;
  each.timeout = duration(wire.timeout_us);
  each.target_latency = duration(wire.target_latency_us);
  each.stretch = wire.stretch;
  each.max_attempts = wire.max_attempts;
  each.priority = wire.priority;
  return each;
}

}  // namespace

wire::routing_piece ToWire(const routing_piece& piece) {
  const routing_update& update = piece.update;
  wire::routing_piece wire;
  wire.base = static_cast<int64_t>(update.base.value());
  wire.version = static_cast<int64_t>(update.to.version.value());
  wire.digest = static_cast<int64_t>(update.digest);
  for (const route& each : update.to.routes)
    wire.routes.push_back(ToWire(each));
  for (const route_key& key : update.removed) {
    wire::route_key gone;
    gone.host = key.host;
    gone.path_prefix = key.path_prefix;
    wire.removed.push_back(gone);
  }
  for (const auto& [name, settings] : update.to.services) {
    wire::service_row row;
    row.name = name;
    row.guarded = settings.guarded;
    row.max_connections = settings.max_connections;
    row.health_path = settings.health_path;
    wire.services.push_back(row);
  }
  wire.max_header_bytes = static_cast<int64_t>(update.to.max_header_bytes);
  wire.max_body_bytes = static_cast<int64_t>(update.to.max_body_bytes);
  wire.number = static_cast<int32_t>(piece.number);
  wire.last = piece.last;
  if (piece.busy)
    wire.__set_busy(true);
  return wire;
}

routing_piece FromWire(const wire::routing_piece& wire) {
  routing_piece piece;
  routing_update& update = piece.update;
  update.base = config_version(static_cast<uint64_t>(wire.base));
  update.to.version = config_version(static_cast<uint64_t>(wire.version));
  update.digest = static_cast<uint64_t>(wire.digest);
  for (const wire::route& each : wire.routes)
    update.to.routes.push_back(FromWire(each));
  for (const wire::route_key& key : wire.removed)
    update.removed.push_back({key.host, key.path_prefix});
  for (const wire::service_row& row : wire.services)
    update.to.services[row.name] = {row.guarded, row.max_connections,
                                    row.health_path};
  update.to.max_header_bytes = static_cast<size_t>(wire.max_header_bytes);
  update.to.max_body_bytes = static_cast<size_t>(wire.max_body_bytes);
  piece.number = static_cast<uint32_t>(wire.number);
  piece.last = wire.last;
  piece.busy = wire.busy;
  return piece;
}

}  // namespace jasminedyke
