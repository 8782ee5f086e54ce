#include "runs/upstream_port.h"

namespace jasminedyke {

const char* ToString(start_result result) {
  switch (result) {
    case start_result::kStarted:
      return "started";
    case start_result::kFenced:
      return "fenced";
    case start_result::kOldRun:
      return "old_run";
    case start_result::kLate:
      return "late";
    case start_result::kNoRoom:
      return "no_room";
    case start_result::kUnwell:
      return "unwell";
    case start_result::kGone:
      return "gone";
    case start_result::kNotAccepted:
      return "not_accepted";
    case start_result::kOwnerGone:
      return "owner_gone";
    case start_result::kNotSent:
      return "not_sent";
    case start_result::kUnknown:
      return "no_answer";
  }
  return "no_answer";
}

}  // namespace jasminedyke
