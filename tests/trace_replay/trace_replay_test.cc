// Replays every trace under traces/ against the outcomes stated in it.

#include <filesystem>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "base/base.h"
#include "replay/trace_file.h"

namespace jasminedyke {
namespace {

TEST_CASE("trace_replay: every trace has its stated outcomes") {
  // Faults make warnings; they are no part of the verdict.
  StartLogging("error");
  size_t traces = 0;
  for (const auto& entry : std::filesystem::directory_iterator(TRACES_DIR)) {
    if (entry.path().extension() != ".json")
      continue;
    ++traces;
    trace_verdict verdict = ReplayTrace(entry.path().string());
    CAPTURE(entry.path().filename().string());
    CHECK_FALSE(verdict.measured.empty());
    for (const std::string& violation : verdict.violations)
      FAIL_CHECK(violation);
  }
  CHECK(traces >= 15);
}

}  // namespace
}  // namespace jasminedyke
