// The state of an instance, for operators.

#ifndef SRC_ADMIN_STATE_REPORT_H_
#define SRC_ADMIN_STATE_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "admin/instance_view.h"

namespace jasminedyke {

nlohmann::json MakeStateReport(const instance_view& view,
                               const readiness& not_ready_because);

// The same as a page for a browser, without scripts.
std::string MakeStatusPage(const nlohmann::json& state);

}  // namespace jasminedyke

#endif  // SRC_ADMIN_STATE_REPORT_H_
