#include "store/membership_json.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "http/http.h"
#include "store/json_bounds.h"
#include "store/json_reader.h"

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr int64_t kMaxCount = 1'000'000;

std::optional<instance_info> ParseInstance(const json& row) {
  json_reader reader(row, "");
  instance_info info;
  info.id = instance_id(reader.Text("id", std::nullopt));
  info.address = reader.Text("address", std::nullopt);
  std::string role = reader.Text("role", std::nullopt);
  info.failure_domain =
      failure_domain_id(reader.Text("failure_domain", std::nullopt));
  info.rack = reader.Text("rack", "");
  std::string state = reader.Text("state", "live");
  info.slots = static_cast<int>(reader.Integer("slots", 0, kMaxCount, 0));
  info.connections =
      static_cast<int>(reader.Integer("connections", 0, kMaxCount, 60));
  info.memory_mb =
      static_cast<int>(reader.Integer("memory_mb", 0, INT32_MAX, 0));
  info.cores = static_cast<int>(reader.Integer("cores", 0, kMaxCount, 0));
  info.role =
      role == "entry" ? instance_role::kEntry : instance_role::kUpstream;
  // An unknown state is taken for leaving: no new work goes there.
  info.state =
      state == "live" ? instance_state::kLive : instance_state::kLeaving;
  bool known_role = role == "entry" || role == "upstream";
  if (!reader.ok() || !known_role || info.id.empty() ||
      !socket_address::Parse(info.address)) {
    return std::nullopt;
  }
  return info;
}

json WriteInstance(const instance_info& info) {
  bool is_entry = info.role == instance_role::kEntry;
  json row = {
      {"id", info.id.str()},
      {"address", info.address},
      {"role", is_entry ? "entry" : "upstream"},
      {"failure_domain", info.failure_domain.str()},
      {"rack", info.rack},
      {"state", info.state == instance_state::kLive ? "live" : "leaving"}};
  if (is_entry)
    return row;
  row["slots"] = info.slots;
  row["connections"] = info.connections;
  row["memory_mb"] = info.memory_mb;
  row["cores"] = info.cores;
  return row;
}

}  // namespace

outcome<membership_list> ParseMembership(const std::string& text) {
  json body = ParseJson(text);
  json_reader reader(body, "");
  membership_list list;
  list.version = membership_version(static_cast<uint64_t>(
      reader.Integer("version", 0, INT64_MAX, std::nullopt)));
  const json* rows = reader.Array("instances");
  if (!reader.ok())
    return *reader.error();
  if (!rows)
    return problem{"instances", "is missing"};
  for (const json& row : *rows) {
    if (auto info = ParseInstance(row))
      list.instances.push_back(*info);
  }
  return list;
}

std::string WriteMembership(const membership_list& list) {
  json body = {{"version", list.version.value()}, {"instances", json::array()}};
  for (const instance_info& info : list.instances)
    body["instances"].push_back(WriteInstance(info));
  return body.dump();
}

}  // namespace jasminedyke
