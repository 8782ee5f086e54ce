#include "protocol/peer_message.h"

#include "base/overloaded.h"

namespace jasminedyke {

const char* KindOf(const peer_message& message) {
  return std::visit(
      overloaded{
          [](const slot_demand&) { return "slot_demand"; },
          [](const slot_grant&) { return "slot_grant"; },
          [](const slot_release&) { return "slot_release"; },
          [](const peer_status&) { return "heartbeat"; },
          [](const document_request&) { return "document_request"; },
          [](const peer_document&) { return "document"; },
          [](const remote_job_request&) { return "job_request"; },
          [](const remote_job_reply&) { return "job_reply"; },
          [](const run_request&) { return "run_request"; },
          [](const run_cancel&) { return "run_cancel"; },
          [](const run_report&) { return "run_report"; },
          [](const home_status&) { return "home_status"; },
          [](const upstream_news&) { return "upstream_news"; },
          [](const delegated_start&) { return "delegated_start"; },
          [](const delegated_start_result&) {
            return "delegated_start_result";
          },
          [](const drained_domains&) { return "drained_domains"; },
          [](const crash_news&) { return "crash_news"; },
          [](const speed_news&) { return "speed_news"; },
          [](const routing_piece&) { return "routing_piece"; },
      },
      message);
}

}  // namespace jasminedyke
