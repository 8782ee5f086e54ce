// Public header of the admin library: the operators' interface and reports.

#ifndef SRC_ADMIN_ADMIN_H_
#define SRC_ADMIN_ADMIN_H_

#include "admin/admin_api.h"
#include "admin/instance_view.h"
#include "admin/metrics_report.h"
#include "admin/prometheus_writer.h"
#include "admin/run_metrics_report.h"
#include "admin/state_report.h"

#endif  // SRC_ADMIN_ADMIN_H_
