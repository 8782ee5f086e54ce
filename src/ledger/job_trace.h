// The story of one job, from the logs of all instances.

#ifndef SRC_LEDGER_JOB_TRACE_H_
#define SRC_LEDGER_JOB_TRACE_H_

#include <string>
#include <utility>
#include <vector>

#include "ledger/log_line.h"

namespace jasminedyke {

// Keeps the lines that name the job.
class job_trace {
 public:
  explicit job_trace(std::string job) : job_(std::move(job)) {}

  void Take(const log_line& line);

  // In order of the instances' clocks, which may differ.
  std::string Text() const;

 private:
  std::string job_;
  std::vector<log_line> lines_;
};

}  // namespace jasminedyke

#endif  // SRC_LEDGER_JOB_TRACE_H_
