// One run of load against real daemons, open loop.

#ifndef BENCH_LOAD_LOAD_RUN_H_
#define BENCH_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "http/http.h"
#include "replay/workload.h"

namespace jasminedyke {

struct load_options {
  // One for each entry instance; a trace's `entry` is an index into it.
  std::vector<socket_address> callers;
  std::vector<socket_address> operators;
  std::map<std::string, std::string> token_by_team;
  // Added to ideal times: the network delays that the stand-ins add.
  double round_trip_ms = 0;
  int slots = 400;
  duration timeout = std::chrono::seconds(60);
  // Callers move away from an instance that says it is not ready.
  bool follow_ready = true;
  bool progress = false;
};

// What became of the jobs, as callers saw it.
struct load_result {
  struct sample {
    std::string work_class;
    std::string team;
    double at_ms = 0;
    double response_ms = 0;
    double ideal_ms = 0;
    double longest_ms = 0;
    size_t tasks = 0;
  };
  std::vector<sample> complete;
  std::map<std::string, uint64_t> refused;  // by reason
  std::map<std::string, uint64_t> failed;   // by reason
  uint64_t no_answer = 0;
  uint64_t wrong_answers = 0;
  uint64_t jobs = 0;
  uint64_t tasks_complete = 0;
  double seconds = 0;

  nlohmann::json ToJson() const;
};

// Sends each job when it is due, whatever has been answered until then, so
// that slow answers do not slow the arrivals down; response times count from
// when a job was due.
class load_run {
 public:
  load_run(event_loop& loop,
           const load_options& options,
           std::vector<trace_job> jobs);
  ~load_run();

  // Runs the loop until the last job has its answer.
  load_result Run();

 private:
  struct entry;

  void SendDue();
  void Send(const trace_job& job);
  void OnAnswer(const trace_job& job, const http_result& result);
  void CheckReady(size_t number);
  size_t ReadyEntry(int wanted) const;
  void PrintProgress();

  event_loop& loop_;
  load_options options_;
  std::vector<trace_job> jobs_;
  size_t next_ = 0;
  uint64_t waiting_ = 0;
  time_point start_;
  std::vector<std::unique_ptr<entry>> entries_;
  load_result result_;
  scoped_timer send_timer_;
  scoped_timer progress_timer_;
};

}  // namespace jasminedyke

#endif  // BENCH_LOAD_LOAD_RUN_H_
