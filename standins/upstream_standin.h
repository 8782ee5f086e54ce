// A small stand-in for an upstream: runs tasks by waiting, guards its slots,
// and misbehaves on demand.

#ifndef STANDINS_UPSTREAM_STANDIN_H_
#define STANDINS_UPSTREAM_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "http/http.h"

namespace jasminedyke {

struct upstream_faults {
  // One of the names in `FaultModes()`.
  std::string mode = "ok";
  // Run times are multiplied by this.
  double slowness = 1;
  // The chance that a task is a straggler, and how much longer it then runs.
  double straggler_chance = 0;
  double straggler_factor = 10;
};

struct upstream_limits {
  int slots = 8;
  int connections = 60;
  // Each way between the entry instances and the upstream.
  duration network_delay{};
  // For tasks whose payload names no time.
  duration run_time = std::chrono::milliseconds(50);
};

struct upstream_counters {
  uint64_t starts = 0;
  uint64_t refused = 0;
  uint64_t answered = 0;
  uint64_t stopped = 0;
  // Tasks that were started more than once.
  uint64_t doubled = 0;
  int most_running = 0;
};

// A payload that is a JSON object may say {"run_ms": N, "fail": true}; the
// answer's body is "answer to " and the payload.
class upstream_standin {
 public:
  upstream_standin(event_loop& loop,
                   const upstream_limits& limits,
                   uint64_t seed);
  ~upstream_standin();

  socket_address Listen(const socket_address& address);

  void SetFaults(const upstream_faults& faults);
  const upstream_counters& counters() const { return counters_; }
  int running() const { return static_cast<int>(running_.size()); }
  // How often each task was started.
  const std::unordered_map<std::string, int>& starts() const { return starts_; }

  static bool IsMode(const std::string& mode);

 private:
  struct running_task {
    http_exchange_ptr exchange;
    std::string payload;
    time_point started;
    std::unique_ptr<scoped_timer> end;
  };
  using mode_handler =
      void (upstream_standin::*)(const http_exchange_ptr& exchange,
                                 const std::string& task);

  // Behaviour of each fault mode towards a new task.
  static const std::map<std::string, mode_handler>& Modes();

  void Handle(const http_exchange_ptr& exchange);
  void HandleTask(const http_exchange_ptr& exchange);
  void HandleStop(const http_exchange_ptr& exchange);
  void Run(const http_exchange_ptr& exchange, const std::string& task);
  void Fail(const http_exchange_ptr& exchange, const std::string& task);
  void RefuseSlots(const http_exchange_ptr& exchange, const std::string& task);
  void RefuseLeaving(const http_exchange_ptr& exchange,
                     const std::string& task);
  void RefusePlain(const http_exchange_ptr& exchange, const std::string& task);
  void Hang(const http_exchange_ptr& exchange, const std::string& task);
  void CutBeforeReply(const http_exchange_ptr& exchange,
                      const std::string& task);
  void CutInReply(const http_exchange_ptr& exchange, const std::string& task);
  void ReplyWithoutLength(const http_exchange_ptr& exchange,
                          const std::string& task);
  void ReplyTwice(const http_exchange_ptr& exchange, const std::string& task);
  void ReplyForOtherTask(const http_exchange_ptr& exchange,
                         const std::string& task);
  void ReplyHugeHeader(const http_exchange_ptr& exchange,
                       const std::string& task);

  void Refuse(const http_exchange_ptr& exchange,
              const std::string& task,
              const char* reason);
  void CountStart(const std::string& task);
  duration RunTime(const std::string& payload);
  void End(const std::string& task, int status, const std::string& body);
  void ReplyLater(const http_exchange_ptr& exchange, const http_reply& reply);

  event_loop& loop_;
  upstream_limits limits_;
  http_server server_;
  std::mt19937_64 random_;
  upstream_faults faults_;
  mode_handler mode_;
  upstream_counters counters_;
  std::unordered_map<std::string, running_task> running_;
  std::unordered_map<std::string, int> starts_;
  // Requests that are never answered.
  std::vector<http_exchange_ptr> hanging_;
};

}  // namespace jasminedyke

#endif  // STANDINS_UPSTREAM_STANDIN_H_
