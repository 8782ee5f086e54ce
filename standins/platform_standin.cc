#include "standins/platform_standin.h"

#include <cstdlib>

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr char kTables[] = "/v1/tables/";

http_reply JsonReply(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http_reply ErrorReply(int status, const char* what) {
  return JsonReply(status, {{"error", what}});
}

// Accepts 3 and "3".
uint64_t HeaderNumber(const http_request& request, const char* name) {
  const std::string* text = FindHeader(request.headers, name);
  if (!text)
    return 0;
  size_t start = text->find_first_of("0123456789");
  return start == std::string::npos
             ? 0
             : std::strtoull(text->c_str() + start, nullptr, 10);
}

}  // namespace

platform_standin::platform_standin(event_loop& loop, uint64_t seed)
    : loop_(loop),
      server_(loop,
              http_server_limits(),
              [this](const http_exchange_ptr& e) { Handle(e); }),
      random_(seed) {}

socket_address platform_standin::Listen(const socket_address& address) {
  return server_.Listen(address);
}

void platform_standin::SetInstances(const json& instances) {
  uint64_t version = lists_.empty() ? 1 : lists_.back().version + 1;
  duration lag = lists_.empty() ? duration::zero() : faults_.list_lag;
  lists_.push_back({loop_.now() + lag, version, instances});
}

void platform_standin::Put(const std::string& table,
                           const std::string& key,
                           const json& value) {
  Store({table, key}, value);
}

json platform_standin::Get(const std::string& table,
                           const std::string& key) const {
  auto found = rows_.find({table, key});
  return found == rows_.end() ? json() : found->second.value;
}

void platform_standin::Handle(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  if (request.path.starts_with("/standin/")) {
    HandleControl(exchange);
    return;
  }
  if (faults_.outage) {
    exchange->Cut("");
    return;
  }
  bool is_write = request.method != http_method::kGet;
  ++(is_write ? writes_ : reads_);
  http_reply reply = Serve(request);
  bool lose =
      is_write && std::bernoulli_distribution(faults_.lose_reply)(random_);
  if (lose) {
    exchange->Cut("");
    return;
  }
  if (faults_.delay == duration::zero()) {
    exchange->Reply(reply);
    return;
  }
  loop_.CallAfter(faults_.delay, [exchange, reply] { exchange->Reply(reply); });
}

void platform_standin::HandleControl(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  json body = json::parse(request.body, nullptr, false);
  if (request.path == "/standin/counters") {
    exchange->Reply(JsonReply(200, {{"reads", reads_}, {"writes", writes_}}));
  } else if (request.path == "/standin/instances" && body.is_array()) {
    SetInstances(body);
    exchange->Reply(JsonReply(200, json::object()));
  } else if (request.path == "/standin/faults" && body.is_object()) {
    faults_.outage = body.value("outage", false);
    faults_.lose_reply = body.value("lose_reply", 0.0);
    faults_.delay = FromMilliseconds(body.value("delay_ms", 0.0));
    faults_.list_lag = FromMilliseconds(body.value("list_lag_ms", 0.0));
    exchange->Reply(JsonReply(200, json::object()));
  } else {
    exchange->Reply(ErrorReply(400, "unknown control"));
  }
}

http_reply platform_standin::Serve(const http_request& request) {
  if (request.path.starts_with(kTables))
    return ServeRow(request);
  if (request.path == "/v1/transactions")
    return ServeTransaction(request);
  if (request.path == "/v1/instances")
    return ServeInstances(request);
  return ErrorReply(404, "unknown path");
}

http_reply platform_standin::ServeRow(const http_request& request) {
  std::string rest = request.path.substr(sizeof(kTables) - 1);
  size_t slash = rest.find('/');
  if (slash == std::string::npos)
    return ErrorReply(404, "unknown path");
  row_key key(rest.substr(0, slash), rest.substr(slash + 1));
  if (request.method == http_method::kGet) {
    uint64_t version = Version(key);
    if (version == 0)
      return ErrorReply(404, "no such row");
    if (HeaderNumber(request, "If-None-Match") == version)
      return {304, {}, ""};
    return JsonReply(200, {{"version", version}, {"value", rows_[key].value}});
  }
  if (request.method != http_method::kPut ||
      !FindHeader(request.headers, "If-Match")) {
    return ErrorReply(400, "a row takes GET, and PUT with If-Match");
  }
  json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("value"))
    return ErrorReply(400, "no value");
  if (HeaderNumber(request, "If-Match") != Version(key))
    return ErrorReply(409, "another version is there");
  return JsonReply(200, {{"version", Store(key, body["value"])}});
}

http_reply platform_standin::ServeTransaction(const http_request& request) {
  json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("writes"))
    return ErrorReply(400, "no writes");
  for (const json& write : body["writes"]) {
    row_key key(write.value("table", ""), write.value("key", ""));
    if (write.value("if_match", uint64_t{0}) != Version(key))
      return ErrorReply(409, "another version is there");
  }
  json versions = json::array();
  for (const json& write : body["writes"])
    versions.push_back(Store({write.value("table", ""), write.value("key", "")},
                             write["value"]));
  return JsonReply(200, {{"versions", versions}});
}

http_reply platform_standin::ServeInstances(const http_request& request) {
  while (lists_.size() > 1 && lists_[1].visible_from <= loop_.now())
    lists_.pop_front();
  if (lists_.empty())
    return ErrorReply(404, "no list yet");
  const instance_list& list = lists_.front();
  if (HeaderNumber(request, "If-None-Match") == list.version)
    return {304, {}, ""};
  return JsonReply(200,
                   {{"version", list.version}, {"instances", list.instances}});
}

uint64_t platform_standin::Version(const row_key& key) const {
  auto found = rows_.find(key);
  return found == rows_.end() ? 0 : found->second.version;
}

uint64_t platform_standin::Store(const row_key& key, const json& value) {
  row& stored = rows_[key];
  stored.value = value;
  return ++stored.version;
}

}  // namespace jasminedyke
