// Why a job was not answered within its objective.

#ifndef SRC_LEDGER_LOSS_CAUSE_H_
#define SRC_LEDGER_LOSS_CAUSE_H_

#include "ledger/job_facts.h"

namespace jasminedyke {

// In the order of the table.
enum class loss_cause {
  kWaitedForRoom,
  kOrderUnanswered,
  kEndLearntLate,
  kStoppedAsStuck,
  kSlowUpstream,
  kUpstreamLost,
  kTaskFailed,
  kHomeOrOwnerLost,
  kRefusedForLoad,
  kRefusedWithRoomFree,
  kDrained,
  kNeverInTime,
  kCallerGone,
  kUnexplained,
};
constexpr int kLossCauses = static_cast<int>(loss_cause::kUnexplained) + 1;

const char* ToString(loss_cause cause);

// `fastest` is what the job's last run would have taken on the fastest upstream
// over what it took where it was.
loss_cause JudgeLoss(const job_facts& job, double fastest);

}  // namespace jasminedyke

#endif  // SRC_LEDGER_LOSS_CAUSE_H_
