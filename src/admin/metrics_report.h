// The counters of an instance as Prometheus text.

#ifndef SRC_ADMIN_METRICS_REPORT_H_
#define SRC_ADMIN_METRICS_REPORT_H_

#include <string>

#include "admin/instance_view.h"

namespace jasminedyke {

std::string MakeMetricsReport(const instance_view& view, bool ready);

}  // namespace jasminedyke

#endif  // SRC_ADMIN_METRICS_REPORT_H_
