#include "upstream/upstream_links.h"

#include <string>
#include <utility>

namespace jasminedyke {

namespace {

constexpr duration kIdleLimit = std::chrono::seconds(2);
constexpr duration kIdleCheck = std::chrono::milliseconds(500);
// After its lease a task is stopped; the reply that says so may take a while.
constexpr duration kReplyMargin = std::chrono::seconds(1);
constexpr duration kStopTimeout = std::chrono::seconds(2);

http_request MakeTaskRequest(const attempt_request& request) {
  http_request http;
  http.method = http_method::kPost;
  http.path = "/v1/tasks";
  http.headers = {
      {"Jasminedyke-Task", request.task},
      {"Jasminedyke-Attempt", std::to_string(request.attempt)},
      {"Jasminedyke-Class", request.work_class.str()},
      {"Jasminedyke-Team", request.team.str()},
      {"Jasminedyke-Lease-Ms",
       std::to_string(static_cast<int64_t>(ToMilliseconds(request.lease)))},
      {"Content-Type", "application/octet-stream"},
  };
  http.body = request.payload;
  return http;
}

}  // namespace

upstream_links::upstream_links(event_loop& loop, const upstream_table& table)
    : loop_(loop), table_(table), idle_timer_(loop) {
  idle_timer_.StartAfter(kIdleCheck, [this] { CloseIdle(); });
}

upstream_links::~upstream_links() = default;

void upstream_links::Start(const attempt_request& request, callback done) {
  http_connection* connection = IdleConnection(request.upstream);
  if (!connection) {
    // The upstream left the list, or its address is unusable.
    loop_.CallAfter(duration::zero(), [request, done = std::move(done)] {
      http_failure failure{http_failure_kind::kConnect, true};
      done(ClassifyResult(request, failure));
    });
    return;
  }
  attempt_request sent = request;
  sent.payload.clear();
  connection->Send(
      MakeTaskRequest(request), request.lease + kReplyMargin,
      [sent = std::move(sent), done = std::move(done)](
          const http_result& result) { done(ClassifyResult(sent, result)); });
}

void upstream_links::Stop(const upstream_id& upstream,
                          const std::string& task) {
  http_connection* connection = IdleConnection(upstream);
  if (!connection)
    return;
  http_request stop;
  stop.method = http_method::kDelete;
  stop.path = "/v1/tasks/" + task;
  // Only a wish: the lease ends the task if this is lost.
  connection->Send(stop, kStopTimeout, [](const http_result&) {});
}

size_t upstream_links::open_connections() const {
  size_t open = 0;
  for (const auto& [id, connections] : links_)
    open += connections.size();
  return open;
}

http_connection* upstream_links::IdleConnection(const upstream_id& upstream) {
  const upstream_state* state = table_.Find(upstream);
  if (!state)
    return nullptr;
  auto address = socket_address::Parse(state->info.address);
  if (!address)
    return nullptr;
  connection_list& connections = links_[upstream];
  for (auto& connection : connections) {
    // An instance that was replaced under its old id has another address.
    if (!connection->busy() && connection->address() == *address)
      return connection.get();
  }
  connections.push_back(
      std::make_unique<http_connection>(loop_, *address, http_client_limits{}));
  return connections.back().get();
}

void upstream_links::CloseIdle() {
  time_point now = loop_.now();
  for (auto& [id, connections] : links_) {
    std::erase_if(connections, [&](const auto& connection) {
      return !connection->busy() && now - connection->idle_since() > kIdleLimit;
    });
  }
  std::erase_if(links_, [](const auto& entry) { return entry.second.empty(); });
  idle_timer_.StartAfter(kIdleCheck, [this] { CloseIdle(); });
}

}  // namespace jasminedyke
