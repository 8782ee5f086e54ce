// The text form of metrics.

#include "admin/prometheus_writer.h"

#include <string>

#include <doctest/doctest.h>

namespace jasminedyke {
namespace {

// Guards against totals of millions that stand still, as their last digits
// aren't written.
TEST_CASE("large samples are written to the last digit") {
  prometheus_writer out;
  out.Counter("bytes_total", 123'456'789'012);
  out.Gauge("share", 0.1);
  CHECK(out.Text().find("bytes_total 123456789012\n") != std::string::npos);
  CHECK(out.Text().find("share 0.1\n") != std::string::npos);
}

}  // namespace
}  // namespace jasminedyke
