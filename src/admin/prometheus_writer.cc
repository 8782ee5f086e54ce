#include "admin/prometheus_writer.h"

#include <iomanip>

namespace jasminedyke {

namespace {

// Counters of bytes need all of theirs.
constexpr int kDigits = 15;

}  // namespace

void prometheus_writer::Counter(const std::string& name,
                                double value,
                                std::initializer_list<metric_label> labels) {
  Sample(name, "counter", value, labels);
}

void prometheus_writer::Gauge(const std::string& name,
                              double value,
                              std::initializer_list<metric_label> labels) {
  Sample(name, "gauge", value, labels);
}

void prometheus_writer::Summary(const std::string& name,
                                const windowed_quantiles& values,
                                const std::string& queue) {
  Sample(name, "summary", values.median(),
         {{"queue", queue}, {"quantile", "0.5"}});
  Sample(name, "summary", values.p90(),
         {{"queue", queue}, {"quantile", "0.9"}});
  Sample(name, "summary", values.p99(),
         {{"queue", queue}, {"quantile", "0.99"}});
  Sample(name + "_window_count", "gauge", static_cast<double>(values.count()),
         {{"queue", queue}});
}

void prometheus_writer::Sample(const std::string& name,
                               const char* type,
                               double value,
                               std::initializer_list<metric_label> labels) {
  std::string full_name = "jasminedyke_" + name;
  if (typed_.insert(full_name).second)
    text_ << "# TYPE " << full_name << ' ' << type << '\n';
  text_ << full_name;
  const char* separator = "{";
  for (const metric_label& each : labels) {
    text_ << separator << each.first << "=\"" << each.second << '"';
    separator = ",";
  }
  text_ << (labels.size() > 0 ? "} " : " ") << std::setprecision(kDigits)
        << value << '\n';
}

}  // namespace jasminedyke
