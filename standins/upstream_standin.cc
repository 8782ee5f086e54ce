#include "standins/upstream_standin.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr char kTasksPath[] = "/v1/tasks";
constexpr char kTaskPrefix[] = "/v1/tasks/";
constexpr size_t kHugeHeaderBytes = 64 * 1024;

json ParsePayload(const std::string& payload) {
  if (payload.empty() || payload.front() != '{')
    return json::object();
  json parsed = json::parse(payload, nullptr, false);
  return parsed.is_object() ? parsed : json::object();
}

http_reply TaskReply(int status, const std::string& task, std::string body) {
  return {status,
          {{"Content-Type", "text/plain"}, {"Jasminedyke-Task", task}},
          std::move(body)};
}

}  // namespace

upstream_standin::upstream_standin(event_loop& loop,
                                   const upstream_limits& limits,
                                   uint64_t seed)
    : loop_(loop),
      limits_(limits),
      server_(loop,
              http_server_limits(),
              [this](const http_exchange_ptr& e) { Handle(e); }),
      random_(seed),
      mode_(&upstream_standin::Run) {}

upstream_standin::~upstream_standin() = default;

socket_address upstream_standin::Listen(const socket_address& address) {
  return server_.Listen(address);
}

void upstream_standin::SetFaults(const upstream_faults& faults) {
  faults_ = faults;
  mode_ = Modes().at(faults.mode);
}

bool upstream_standin::IsMode(const std::string& mode) {
  return Modes().contains(mode);
}

const std::map<std::string, upstream_standin::mode_handler>&
upstream_standin::Modes() {
  static const std::map<std::string, mode_handler> kModes = {
      {"ok", &upstream_standin::Run},
      {"fail_all", &upstream_standin::Fail},
      {"refuse_slots", &upstream_standin::RefuseSlots},
      {"leaving", &upstream_standin::RefuseLeaving},
      {"refuse_plain", &upstream_standin::RefusePlain},
      {"hang", &upstream_standin::Hang},
      {"cut_before_reply", &upstream_standin::CutBeforeReply},
      {"cut_in_reply", &upstream_standin::CutInReply},
      {"no_length", &upstream_standin::ReplyWithoutLength},
      {"reply_twice", &upstream_standin::ReplyTwice},
      {"other_task", &upstream_standin::ReplyForOtherTask},
      {"huge_header", &upstream_standin::ReplyHugeHeader},
  };
  return kModes;
}

void upstream_standin::Handle(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  bool too_many =
      server_.connections() > static_cast<size_t>(limits_.connections);
  if (too_many) {
    ++counters_.refused;
    http_reply reply{503,
                     {{"Jasminedyke-Run", "not-run"},
                      {"Jasminedyke-Reason", "connections"},
                      {"Connection", "close"}},
                     ""};
    exchange->Reply(reply);
    return;
  }
  if (request.method == http_method::kPost && request.path == kTasksPath)
    HandleTask(exchange);
  else if (request.method == http_method::kDelete &&
           request.path.starts_with(kTaskPrefix))
    HandleStop(exchange);
  else
    exchange->Reply({404, {}, "unknown path\n"});
}

void upstream_standin::HandleTask(const http_exchange_ptr& exchange) {
  const std::string* task = exchange->header("Jasminedyke-Task");
  if (!task) {
    exchange->Reply({400, {}, "no Jasminedyke-Task\n"});
    return;
  }
  loop_.CallAfter(limits_.network_delay, [this, exchange, task = *task] {
    (this->*mode_)(exchange, task);
  });
}

void upstream_standin::HandleStop(const http_exchange_ptr& exchange) {
  std::string task = exchange->request().path.substr(sizeof(kTaskPrefix) - 1);
  bool found = running_.contains(task);
  if (found) {
    ++counters_.stopped;
    End(task, 409, "stopped\n");
  }
  exchange->Reply({found ? 200 : 404, {}, ""});
}

void upstream_standin::Run(const http_exchange_ptr& exchange,
                           const std::string& task) {
  if (running() >= limits_.slots) {
    RefuseSlots(exchange, task);
    return;
  }
  CountStart(task);
  std::string payload = exchange->request().body;
  running_task entry{exchange, payload, loop_.now(),
                     std::make_unique<scoped_timer>(loop_)};
  duration run_time = RunTime(payload);
  const std::string* lease_ms = exchange->header("Jasminedyke-Lease-Ms");
  duration lease = lease_ms ? duration(std::chrono::milliseconds(
                                  std::strtoll(lease_ms->c_str(), nullptr, 10)))
                            : duration::max();
  bool fails = ParsePayload(payload).value("fail", false);
  if (run_time > lease) {
    entry.end->StartAfter(lease, [this, task] {
      ++counters_.stopped;
      End(task, 504, "the lease has lapsed\n");
    });
  } else {
    entry.end->StartAfter(run_time, [this, task, payload, fails] {
      ++counters_.answered;
      End(task, fails ? 500 : 200, "answer to " + payload);
    });
  }
  running_.insert_or_assign(task, std::move(entry));
  counters_.most_running = std::max(counters_.most_running, running());
}

void upstream_standin::Fail(const http_exchange_ptr& exchange,
                            const std::string& task) {
  CountStart(task);
  http_reply reply = TaskReply(500, task, "failed\n");
  reply.headers.emplace_back("Jasminedyke-Run-Ms", "1");
  ReplyLater(exchange, reply);
}

void upstream_standin::RefuseSlots(const http_exchange_ptr& exchange,
                                   const std::string& task) {
  Refuse(exchange, task, "slots");
}

void upstream_standin::RefuseLeaving(const http_exchange_ptr& exchange,
                                     const std::string& task) {
  Refuse(exchange, task, "leaving");
}

void upstream_standin::RefusePlain(const http_exchange_ptr& exchange,
                                   const std::string& task) {
  ReplyLater(exchange, TaskReply(503, task, "unavailable\n"));
}

void upstream_standin::Hang(const http_exchange_ptr& exchange,
                            const std::string& task) {
  CountStart(task);
  hanging_.push_back(exchange);
}

void upstream_standin::CutBeforeReply(const http_exchange_ptr& exchange,
                                      const std::string& task) {
  CountStart(task);
  exchange->Cut("");
}

void upstream_standin::CutInReply(const http_exchange_ptr& exchange,
                                  const std::string& task) {
  CountStart(task);
  exchange->Cut("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nanswer to");
}

void upstream_standin::ReplyWithoutLength(const http_exchange_ptr& exchange,
                                          const std::string& task) {
  CountStart(task);
  exchange->Cut("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nanswer to");
}

// The second reply would be taken for that of the next request on the
// connection.
void upstream_standin::ReplyTwice(const http_exchange_ptr& exchange,
                                  const std::string& task) {
  CountStart(task);
  std::string body = "answer to " + exchange->request().body;
  std::string reply =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  exchange->Cut(reply + reply);
}

void upstream_standin::ReplyForOtherTask(const http_exchange_ptr& exchange,
                                         const std::string& task) {
  CountStart(task);
  ReplyLater(exchange, TaskReply(200, task + "0", "answer to another"));
}

void upstream_standin::ReplyHugeHeader(const http_exchange_ptr& exchange,
                                       const std::string& task) {
  CountStart(task);
  http_reply reply = TaskReply(200, task, "answer");
  reply.headers.emplace_back("Huge", std::string(kHugeHeaderBytes, 'x'));
  ReplyLater(exchange, reply);
}

void upstream_standin::Refuse(const http_exchange_ptr& exchange,
                              const std::string& task,
                              const char* reason) {
  ++counters_.refused;
  http_reply reply = TaskReply(503, task, "");
  reply.headers.emplace_back("Jasminedyke-Run", "not-run");
  reply.headers.emplace_back("Jasminedyke-Reason", reason);
  ReplyLater(exchange, reply);
}

void upstream_standin::CountStart(const std::string& task) {
  ++counters_.starts;
  if (++starts_[task] == 2)
    ++counters_.doubled;
}

duration upstream_standin::RunTime(const std::string& payload) {
  json wanted = ParsePayload(payload);
  duration run_time = wanted.contains("run_ms") && wanted["run_ms"].is_number()
                          ? FromMilliseconds(wanted["run_ms"].get<double>())
                          : limits_.run_time;
  double factor = faults_.slowness;
  if (std::bernoulli_distribution(faults_.straggler_chance)(random_))
    factor *= faults_.straggler_factor;
  return FromSeconds(ToSeconds(run_time) * factor);
}

void upstream_standin::End(const std::string& task,
                           int status,
                           const std::string& body) {
  auto found = running_.find(task);
  running_task ended = std::move(found->second);
  running_.erase(found);
  http_reply reply = TaskReply(status, task, body);
  duration ran = loop_.now() - ended.started;
  reply.headers.emplace_back(
      "Jasminedyke-Run-Ms",
      std::to_string(
          std::chrono::round<std::chrono::milliseconds>(ran).count()));
  ReplyLater(ended.exchange, reply);
}

void upstream_standin::ReplyLater(const http_exchange_ptr& exchange,
                                  const http_reply& reply) {
  if (limits_.network_delay == duration::zero()) {
    exchange->Reply(reply);
    return;
  }
  loop_.CallAfter(limits_.network_delay,
                  [exchange, reply] { exchange->Reply(reply); });
}

}  // namespace jasminedyke
