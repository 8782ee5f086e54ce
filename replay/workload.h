// Jobs as callers would submit them: described by a mix, or one by one.

#ifndef REPLAY_WORKLOAD_H_
#define REPLAY_WORKLOAD_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/base.h"

namespace jasminedyke {

// A class of jobs in a mix.
struct mix_class {
  std::string work_class;
  std::string team;
  double share = 1;  // of the jobs
  double target_ms = 1000;
  bool idempotent = false;
  // Tasks of a job: bounded Pareto.
  int min_tasks = 1;
  int max_tasks = 1;
  double tasks_alpha = 1;
  // Run times: log-normal, cut off.
  double median_ms = 100;
  double sigma = 0.5;
  double max_ms = 1000;
  // What callers declare is the truth times this; 0: nothing is declared.
  double declared_factor = 1;
};

struct deployment {
  std::string name;
  int failure_domains = 3;
  int upstreams = 50;
  int slots = 8;
  int connections = 60;
  int memory_mb = 65536;
  int entries = 9;
  // One way.
  double peer_delay_ms = 1;
  double upstream_delay_ms = 1;
  double caller_delay_ms = 1;
  std::vector<mix_class> classes;
};

// Throws `std::runtime_error` if the file is no description.
deployment ReadDeployment(const std::string& file);
deployment ParseDeployment(const nlohmann::json& document);

struct trace_task {
  double run_ms = 0;
  double declared_ms = 0;
};

struct trace_job {
  double at_ms = 0;
  int entry = 0;
  std::string work_class;
  std::string team;
  std::vector<trace_task> tasks;

  double work_ms() const;
  double longest_ms() const;
};

// How arrivals are spread over entry instances.
enum class arrival_spread { kEven, kUneven, kOneEntry };

// Draws jobs of a mix at random.
class job_source {
 public:
  job_source(const deployment& d, uint64_t seed);

  // A job without time and entry.
  trace_job Draw();
  // Slot time of an average job.
  double mean_work_ms() const { return mean_work_ms_; }

  // Poisson arrivals that keep `slots` busy to the degree `load`.
  std::vector<trace_job> Arrivals(double load,
                                  int slots,
                                  double duration_ms,
                                  int entries,
                                  arrival_spread spread);

 private:
  int DrawTasks(const mix_class& c);
  double DrawRunTime(const mix_class& c);

  deployment deployment_;
  std::mt19937_64 random_;
  std::vector<double> shares_;
  double mean_work_ms_ = 0;
};

}  // namespace jasminedyke

#endif  // REPLAY_WORKLOAD_H_
