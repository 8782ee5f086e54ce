// Recorded traces: jobs, faults, and the outcomes stated for them beforehand.

#ifndef REPLAY_TRACE_FILE_H_
#define REPLAY_TRACE_FILE_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "replay/replay.h"

namespace jasminedyke {

// What a replay of a trace gave against what was stated.
struct trace_verdict {
  // One line for each outcome that was measured, met or not.
  std::vector<std::string> measured;
  // Those that were not met, and every broken promise.
  std::vector<std::string> violations;
};

// See traces/README.md for the format. Throws `std::exception` if the file is
// no trace.
trace_verdict ReplayTrace(const std::string& file);

// Jobs as they stand in a trace.
nlohmann::json RecordJobs(const std::vector<trace_job>& jobs);

}  // namespace jasminedyke

#endif  // REPLAY_TRACE_FILE_H_
