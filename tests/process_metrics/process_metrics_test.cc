// What the metrics tell of the process itself.

#include <csignal>
#include <ctime>
#include <string>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include "admin/admin.h"
#include "base/process_state.h"
#include "base/signals.h"

namespace jasminedyke {
namespace {

std::string ProcessMetrics() {
  prometheus_writer out;
  WriteProcessMetrics(out);
  return out.Text();
}

// Zero if there is no such sample.
double Sample(const std::string& metrics, const std::string& name) {
  size_t found = metrics.find("\njasminedyke_" + name + " ");
  if (found == std::string::npos)
    return 0;
  return std::stod(metrics.substr(metrics.find(' ', found + 1)));
}

// Guards against a process whose ends nobody can explain, as its metrics don't
// tell what came before.
TEST_CASE("the metrics tell the state of the process") {
  std::string metrics = ProcessMetrics();
  INFO(metrics);
  auto now = static_cast<double>(std::time(nullptr));
  constexpr double kDay = 86'400;
  CHECK(Sample(metrics, "process_start_time_seconds") <= now);
  CHECK(Sample(metrics, "process_start_time_seconds") > now - kDay);
  CHECK(Sample(metrics, "process_resident_bytes") > 0);
  CHECK(Sample(metrics, "process_peak_resident_bytes") > 0);
  CHECK(Sample(metrics, "process_max_descriptors") > 0);
}

// Guards against descriptors that are counted wrongly.
TEST_CASE("the metrics tell how many descriptors are open") {
  double before = Sample(ProcessMetrics(), "process_open_descriptors");
  int one_more = open("/dev/null", O_RDONLY | O_CLOEXEC);
  double after = Sample(ProcessMetrics(), "process_open_descriptors");
  close(one_more);
  CHECK(before > 0);
  CHECK(after == before + 1);
}

// Guards against signals and failed reloads that leave no trace.
TEST_CASE("the metrics tell signals and reloads") {
  std::string counted = "signals_total{signal=\"SIGUSR1\"}";
  CountHarmlessSignals();
  double signals = Sample(ProcessMetrics(), counted);
  double reloads = Sample(ProcessMetrics(), "reloads_total");
  double failed = Sample(ProcessMetrics(), "reloads_failed_total");
  std::raise(SIGUSR1);
  CountReload(true);
  CountReload(false);
  std::string after = ProcessMetrics();
  CHECK(Sample(after, counted) == signals + 1);
  CHECK(Sample(after, "reloads_total") == reloads + 2);
  CHECK(Sample(after, "reloads_failed_total") == failed + 1);
}

}  // namespace
}  // namespace jasminedyke
