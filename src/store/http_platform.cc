#include "store/http_platform.h"

#include <utility>

#include "store/json_bounds.h"
#include "store/membership_json.h"

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr size_t kConnections = 2;
constexpr duration kTimeout = std::chrono::seconds(2);
constexpr size_t kMaxPending = 1000;
// Room for the list of all instances at the design size.
constexpr size_t kMaxBody = 4 * 1024 * 1024;

store_error ReadError(const http_result& result) {
  if (!result.ok())
    return store_error::kUnavailable;
  int status = result.value().status;
  if (status == 404)
    return store_error::kNotFound;
  return status >= 500 ? store_error::kUnavailable : store_error::kMalformed;
}

// The store's answers can be lost after they took effect, so only a request
// that never left is known to have changed nothing.
store_error WriteError(const http_result& result) {
  if (!result.ok())
    return result.error().nothing_sent ? store_error::kUnavailable
                                       : store_error::kUnknown;
  int status = result.value().status;
  if (status == 409 || status == 412)
    return store_error::kConflict;
  return status >= 500 ? store_error::kUnknown : store_error::kMalformed;
}

bool IsOk(const http_result& result) {
  return result.ok() && result.value().status == 200;
}

outcome<table_row, store_error> ParseRow(const http_result& result) {
  if (!IsOk(result))
    return ReadError(result);
  json body = ParseJson(result.value().body);
  bool valid = body.is_object() && body.contains("value") &&
               body.contains("version") && body["version"].is_number_unsigned();
  if (!valid)
    return store_error::kMalformed;
  return table_row{body["version"].get<uint64_t>(), std::move(body["value"])};
}

outcome<std::vector<uint64_t>, store_error> ParseVersions(
    const http_result& result,
    size_t writes) {
  if (!IsOk(result))
    return WriteError(result);
  json body = ParseJson(result.value().body);
  std::vector<uint64_t> versions;
  if (body.is_object() && body.contains("versions") &&
      body["versions"].is_array()) {
    for (const json& version : body["versions"]) {
      if (version.is_number_unsigned())
        versions.push_back(version.get<uint64_t>());
    }
  }
  // It was done, but what exactly has to be read back.
  if (versions.size() != writes)
    return store_error::kUnknown;
  return versions;
}

outcome<std::optional<membership_list>, store_error> ParseList(
    const http_result& result) {
  if (result.ok() && result.value().status == 304)
    return std::optional<membership_list>();
  if (!IsOk(result))
    return ReadError(result);
  auto list = ParseMembership(result.value().body);
  if (!list.ok())
    return store_error::kMalformed;
  return std::optional<membership_list>(list.value());
}

outcome<std::vector<uint64_t>, store_error> ParseVersion(
    const http_result& result) {
  if (!IsOk(result))
    return WriteError(result);
  json body = ParseJson(result.value().body);
  if (!body.is_object() || !body.contains("version") ||
      !body["version"].is_number_unsigned()) {
    return store_error::kUnknown;
  }
  return std::vector<uint64_t>{body["version"].get<uint64_t>()};
}

json ToJson(const table_write& write) {
  return {{"table", write.table},
          {"key", write.key},
          {"if_match", write.expected_version},
          {"value", write.value}};
}

}  // namespace

http_platform::http_platform(event_loop& loop, const socket_address& address)
    : calls_(loop,
             address,
             {.max_body_bytes = kMaxBody},
             {kConnections, kMaxPending, kTimeout}) {}

http_platform::~http_platform() = default;

void http_platform::Read(const std::string& table,
                         const std::string& key,
                         read_callback done) {
  http_request request;
  request.path = "/v1/tables/" + table + "/" + key;
  calls_.Send(std::move(request),
              [done = std::move(done)](const http_result& result) {
                done(ParseRow(result));
              });
}

void http_platform::Write(const std::vector<table_write>& writes,
                          write_callback done) {
  if (writes.size() == 1)
    WriteOne(writes.front(), std::move(done));
  else
    WriteAll(writes, std::move(done));
}

void http_platform::WriteOne(const table_write& write, write_callback done) {
  http_request request;
  request.method = http_method::kPut;
  request.path = "/v1/tables/" + write.table + "/" + write.key;
  request.headers = {{"Content-Type", "application/json"},
                     {"If-Match", std::to_string(write.expected_version)}};
  request.body = json{{"value", write.value}}.dump();
  calls_.Send(std::move(request),
              [done = std::move(done)](const http_result& result) {
                done(ParseVersion(result));
              });
}

void http_platform::WriteAll(const std::vector<table_write>& writes,
                             write_callback done) {
  http_request request;
  request.method = http_method::kPost;
  request.path = "/v1/transactions";
  request.headers = {{"Content-Type", "application/json"}};
  json body = {{"writes", json::array()}};
  for (const table_write& write : writes)
    body["writes"].push_back(ToJson(write));
  request.body = body.dump();
  calls_.Send(
      std::move(request),
      [count = writes.size(), done = std::move(done)](
          const http_result& result) { done(ParseVersions(result, count)); });
}

void http_platform::List(membership_version known, list_callback done) {
  http_request request;
  request.path = "/v1/instances";
  // A list of hundreds of instances is sent only when it has changed.
  if (known.value() > 0) {
    request.headers = {
        {"If-None-Match", "\"" + std::to_string(known.value()) + "\""}};
  }
  calls_.Send(std::move(request),
              [done = std::move(done)](const http_result& result) {
                done(ParseList(result));
              });
}

}  // namespace jasminedyke
