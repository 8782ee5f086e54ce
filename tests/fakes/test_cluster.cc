#include "fakes/test_cluster.h"

#include <utility>

namespace jasminedyke {

namespace {

using nlohmann::json;

const socket_address kAnyPort{"127.0.0.1", 0};
constexpr duration kLong = std::chrono::seconds(60);

json Digests(const char* token) {
  return {Sha256Hex(token)};
}

json Configuration() {
  return {{"classes",
           {{"stock-check", {{"target_ms", 300}, {"idempotent", true}}},
            {"reservation-hold", {{"target_ms", 500}}}}},
          {"teams",
           {{"lahore", {{"token_sha256", Digests("lahore-token")}}},
            {"karachi", {{"token_sha256", Digests("karachi-token")}}}}},
          {"administrators", {{"token_sha256", Digests("admin-token")}}}};
}

}  // namespace

json BodyOf(const http_result& result) {
  return result.ok() ? json::parse(result.value().body, nullptr, false)
                     : json();
}

test_cluster::test_cluster(int count, int upstream_count)
    : platform(loop, 1), platform_address_(platform.Listen(kAnyPort)) {
  StartLogging(std::getenv("TEST_LOG") ? "debug" : "off");
  platform.Put("configuration", "current", Configuration());
  for (int i = 0; i < upstream_count; ++i) {
    upstream_limits limits;
    limits.run_time = std::chrono::milliseconds(5);
    upstreams.push_back(std::make_unique<upstream_standin>(loop, limits, i));
    socket_address address = upstreams.back()->Listen(kAnyPort);
    upstream_rows.push_back({{"id", "u" + std::to_string(i)},
                             {"address", address.ToString()},
                             {"role", "upstream"},
                             {"failure_domain", "d"},
                             {"state", "live"},
                             {"slots", 8},
                             {"connections", 60},
                             {"memory_mb", 1000}});
  }
  entries.resize(count);
  for (int i = 0; i < count; ++i)
    StartEntry(i);
  for (int i = 0; i < count; ++i)
    WaitUntilReady(i);
}

open_sockets OpenNow(const daemon_settings& settings) {
  open_sockets sockets;
  for (const listen_address& each : instance::Addresses(settings))
    sockets.emplace(each.use, server_socket::Open(each.address));
  return sockets;
}

test_cluster::~test_cluster() {
  connections_.clear();
  entries.clear();
}

void test_cluster::StartEntry(int number) {
  daemon_settings settings;
  settings.instance = instance_id("e" + std::to_string(number));
  settings.failure_domain = failure_domain_id("d");
  settings.callers = settings.operators = settings.peers = kAnyPort;
  settings.platform = platform_address_;
  settings.peer_key = std::string(32, 'k');
  settings.ready_delay = std::chrono::milliseconds(20);
  entries[number].reset();
  entries[number] =
      std::make_unique<instance>(loop, settings, OpenNow(settings));
  PublishInstances();
}

void test_cluster::PublishInstances() {
  json rows = upstream_rows;
  for (size_t i = 0; i < entries.size(); ++i) {
    if (!entries[i])
      continue;
    rows.push_back({{"id", "e" + std::to_string(i)},
                    {"address", entries[i]->peers_address().ToString()},
                    {"role", "entry"},
                    {"failure_domain", "d"},
                    {"state", "live"}});
  }
  platform.SetInstances(rows);
}

bool test_cluster::WaitUntilReady(int number) {
  for (int i = 0; i < 1000; ++i) {
    http_result ready = Call(entries[number]->operators_address(),
                             http_method::kGet, "/readyz", "");
    if (ready.ok() && ready.value().status == 200)
      return true;
  }
  return false;
}

std::shared_ptr<std::optional<http_result>> test_cluster::Start(
    const socket_address& to,
    http_method method,
    const std::string& path,
    const std::string& token,
    const std::string& body,
    const http_headers& headers) {
  http_request request{method, path, headers, body};
  if (!token.empty())
    request.headers.emplace_back("Authorization", "Bearer " + token);
  auto answer = std::make_shared<std::optional<http_result>>();
  connections_.push_back(
      std::make_unique<http_connection>(loop, to, http_client_limits()));
  connections_.back()->Send(
      request, kLong, [answer](http_result r) { *answer = std::move(r); });
  return answer;
}

bool test_cluster::WaitFor(
    const std::shared_ptr<std::optional<http_result>>& answer) {
  return RunUntil(loop, [&] { return answer->has_value(); });
}

http_result test_cluster::Call(const socket_address& to,
                               http_method method,
                               const std::string& path,
                               const std::string& token,
                               const std::string& body,
                               const http_headers& headers) {
  auto answer = Start(to, method, path, token, body, headers);
  if (!WaitFor(answer))
    return http_failure{http_failure_kind::kTimeout, false};
  return **answer;
}

http_result test_cluster::CallAdmin(int number,
                                    http_method method,
                                    const std::string& path,
                                    const std::string& body,
                                    const http_headers& headers) {
  return Call(entries[number]->operators_address(), method, path, "admin-token",
              body, headers);
}

http_result test_cluster::SubmitJob(int number,
                                    const std::string& tasks,
                                    const http_headers& headers) {
  return Call(entries[number]->callers_address(), http_method::kPost,
              "/v1/jobs", "lahore-token",
              R"({"class":"stock-check","tasks":)" + tasks + "}", headers);
}

}  // namespace jasminedyke
