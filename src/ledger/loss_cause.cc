#include "ledger/loss_cause.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jasminedyke {

namespace {

// Below that nothing in particular took the job's time.
constexpr double kLeastDelayMs = 2;
// The home writes a line of a job that is late by its own count. One that is
// late by so little without it became so on the way to its owner; others' lines
// were dropped.
constexpr double kWayMs = 5;

using delay = std::pair<double, loss_cause>;

loss_cause CauseOfRefusal(const job_facts::answer& answer) {
  if (answer.reason == "drained")
    return loss_cause::kDrained;
  if (answer.reason == "not_home")
    return loss_cause::kHomeOrOwnerLost;
  if (answer.reason == "upstreams_lost")
    return loss_cause::kUpstreamLost;
  return answer.room_left ? loss_cause::kRefusedWithRoomFree
                          : loss_cause::kRefusedForLoad;
}

// Why a task was ordered more than once.
loss_cause CauseOfRepeat(const job_facts& job) {
  if (job.stuck > 0)
    return loss_cause::kStoppedAsStuck;
  if (job.lapsed > 0)
    return loss_cause::kUpstreamLost;
  if (job.unstarted > 0)
    return loss_cause::kOrderUnanswered;
  return job.failed > 0 ? loss_cause::kTaskFailed : loss_cause::kUnexplained;
}

loss_cause CauseWithoutHome(const job_facts& job) {
  const job_facts::answer& answer = *job.answered;
  if (answer.moved > 0 || answer.outcome == "unknown")
    return loss_cause::kHomeOrOwnerLost;
  loss_cause cause = CauseOfRepeat(job);
  bool on_the_way = answer.ms - answer.objective_ms <= kWayMs;
  return cause == loss_cause::kUnexplained && on_the_way
             ? loss_cause::kEndLearntLate
             : cause;
}

loss_cause LongestDelay(const job_facts& job) {
  const job_facts::home_word& home = *job.home;
  bool moved = job.answered && job.answered->moved > 0;
  double told = job.answered ? job.answered->ms - home.age_ms : 0;
  std::array<delay, 5> delays = {{
      {home.room_wait_ms, loss_cause::kWaitedForRoom},
      {home.came_ms,
       moved ? loss_cause::kHomeOrOwnerLost : loss_cause::kWaitedForRoom},
      {home.lost_ms, CauseOfRepeat(job)},
      {home.run_ms - home.expected_ms, home.answers_lost
                                           ? loss_cause::kEndLearntLate
                                           : loss_cause::kSlowUpstream},
      {told, loss_cause::kEndLearntLate},
  }};
  const delay& longest = *std::ranges::max_element(delays, {}, &delay::first);
  return longest.first < kLeastDelayMs ? loss_cause::kUnexplained
                                       : longest.second;
}

}  // namespace

const char* ToString(loss_cause cause) {
  switch (cause) {
    case loss_cause::kWaitedForRoom:
      return "waited for room";
    case loss_cause::kOrderUnanswered:
      return "order unanswered";
    case loss_cause::kEndLearntLate:
      return "end learnt late";
    case loss_cause::kStoppedAsStuck:
      return "stopped as stuck";
    case loss_cause::kSlowUpstream:
      return "slow upstream";
    case loss_cause::kUpstreamLost:
      return "upstream lost";
    case loss_cause::kTaskFailed:
      return "task failed";
    case loss_cause::kHomeOrOwnerLost:
      return "home or owner lost";
    case loss_cause::kRefusedForLoad:
      return "refused for load";
    case loss_cause::kRefusedWithRoomFree:
      return "refused while room was free";
    case loss_cause::kDrained:
      return "drained";
    case loss_cause::kNeverInTime:
      return "could never be in time";
    case loss_cause::kCallerGone:
      return "caller gone";
    case loss_cause::kUnexplained:
      break;
  }
  return "unexplained";
}

loss_cause JudgeLoss(const job_facts& job, double fastest) {
  if (job.answered && job.answered->outcome == "not_run")
    return CauseOfRefusal(*job.answered);
  if (job.answered && job.answered->reason == "superseded")
    return loss_cause::kCallerGone;
  if (!job.home) {
    if (job.left_ms && !job.answered)
      return loss_cause::kCallerGone;
    return CauseWithoutHome(job);
  }
  bool never = job.answered && !job.home->answers_lost &&
               job.home->run_ms * fastest > job.answered->objective_ms;
  return never ? loss_cause::kNeverInTime : LongestDelay(job);
}

}  // namespace jasminedyke
