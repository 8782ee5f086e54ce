#include "entry/dispatch_metrics.h"

namespace jasminedyke {

namespace {

constexpr duration kTimesWindow = std::chrono::seconds(30);

}  // namespace

class_times::class_times()
    : response_ms(kTimesWindow), over_target(kTimesWindow) {}

const char* ToString(waste_kind kind) {
  switch (kind) {
    case waste_kind::kRefusedStart:
      return "refused_start";
    case waste_kind::kUnreachable:
      return "unreachable";
    case waste_kind::kUnknownOutcome:
      return "unknown_outcome";
    case waste_kind::kTaskError:
      return "task_error";
    case waste_kind::kAnswerUnwanted:
      return "answer_unwanted";
    case waste_kind::kStopMessage:
      return "stop_message";
  }
  return "unknown_outcome";
}

const char* ToString(not_run_reason reason) {
  switch (reason) {
    case not_run_reason::kNothingSent:
      return "nothing_sent";
    case not_run_reason::kNoSlot:
      return "no_slot";
    case not_run_reason::kLeaving:
      return "leaving";
    case not_run_reason::kOther:
      return "refused";
  }
  return "refused";
}

const char* ToString(unknown_reason reason) {
  switch (reason) {
    case unknown_reason::kReset:
      return "reset";
    case unknown_reason::kTimeout:
      return "timeout";
    case unknown_reason::kMalformed:
      return "malformed";
    case unknown_reason::kGateway:
      return "gateway";
  }
  return "reset";
}

}  // namespace jasminedyke
