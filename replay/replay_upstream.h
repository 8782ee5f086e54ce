// An upstream on the replay's clock.

#ifndef REPLAY_REPLAY_UPSTREAM_H_
#define REPLAY_REPLAY_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "upstream/upstream.h"

namespace jasminedyke {

enum class upstream_mode {
  kOk,
  kFailAll,  // answers each task at once with an error
  kDead,     // no connection comes about; running tasks are lost
  kHang,     // takes tasks and never answers
  kLeaving,  // refuses new tasks, finishes the running ones
};

// Runs tasks whose payload is their run time in milliseconds, and counts how
// often each was started.
class replay_upstream {
 public:
  using reply_callback = std::function<void(const http_result&)>;

  replay_upstream(scheduler& clock, int slots);

  void Start(const attempt_request& request, const reply_callback& reply);
  void Stop(const std::string& task);

  void SetMode(upstream_mode mode);
  void SetSlowness(double factor) { slowness_ = factor; }

  int running() const { return static_cast<int>(running_.size()); }
  uint64_t starts() const { return start_times_ms_.size(); }
  // Of the time since the replay began.
  uint64_t StartsBetween(double from_ms, double to_ms) const;
  uint64_t refusals() const { return refusals_; }
  // Tasks that began to run more than once.
  uint64_t doubled() const { return doubled_; }
  // Slot time spent.
  duration busy() const { return busy_; }

 private:
  struct running_task {
    reply_callback reply;
    time_point started;
    timer_id end;
  };

  void Begin(const attempt_request& request, const reply_callback& reply);
  void End(const std::string& task, int status, const char* reason);
  void Refuse(const reply_callback& reply, const char* reason);
  void CountStart();

  scheduler& clock_;
  time_point origin_;
  int slots_;
  upstream_mode mode_ = upstream_mode::kOk;
  double slowness_ = 1;
  std::unordered_map<std::string, running_task> running_;
  std::unordered_map<std::string, int> starts_;
  std::vector<double> start_times_ms_;
  uint64_t refusals_ = 0;
  uint64_t doubled_ = 0;
  duration busy_{};
};

}  // namespace jasminedyke

#endif  // REPLAY_REPLAY_UPSTREAM_H_
