// Metrics in Prometheus' text form.

#ifndef SRC_ADMIN_PROMETHEUS_WRITER_H_
#define SRC_ADMIN_PROMETHEUS_WRITER_H_

#include <initializer_list>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include "base/base.h"

namespace jasminedyke {

using metric_label = std::pair<const char*, std::string>;

// Writes samples; a metric's type is written before its first sample.
class prometheus_writer {
 public:
  void Counter(const std::string& name,
               double value,
               std::initializer_list<metric_label> labels = {});
  void Gauge(const std::string& name,
             double value,
             std::initializer_list<metric_label> labels = {});
  // The quantiles of the last one to two windows, in seconds, with their count.
  void Summary(const std::string& name,
               const windowed_quantiles& values,
               const std::string& queue);

  std::string Text() const { return text_.str(); }

 private:
  void Sample(const std::string& name,
              const char* type,
              double value,
              std::initializer_list<metric_label> labels);

  std::ostringstream text_;
  std::set<std::string> typed_;
};

}  // namespace jasminedyke

#endif  // SRC_ADMIN_PROMETHEUS_WRITER_H_
