#include "runs/stuck_runs.h"

#include <algorithm>
#include <cmath>

namespace jasminedyke {

namespace {

// Age at which a run is first checked: messages and the interval between checks
// take as long.
constexpr duration kMinCheckedAge = std::chrono::milliseconds(30);
// A run is overdue beyond this multiple of its usual time; its upstream is then
// asked for progress.
constexpr double kOverdueFactor = 1.5;
// Time after which a run without an expected run time is overdue.
constexpr duration kOverdueUnknown = std::chrono::seconds(1);
// An upstream answers a request for progress at once.
constexpr duration kAnswerTime = std::chrono::milliseconds(30);
// A listing of this age proves nothing about the run: progress is asked for
// repeatedly, so a newer listing was due.
constexpr duration kMaxListingAge = std::chrono::milliseconds(250);
// A run is stuck only if it exceeds its usual time by this much, besides
// exceeding the longest expected time.
constexpr duration kMinStuckExcess = std::chrono::milliseconds(60);
// Time without progress after which a run is stalled, as a share of the longest
// time that a healthy run takes: in that time the longest healthy run advances
// by several per cent, and even a run on a very slow upstream advances by one
// per cent.
constexpr double kStallShare = 0.1;
constexpr duration kMinStallTime = std::chrono::milliseconds(40);
constexpr duration kStallTimeUnknown = std::chrono::seconds(1);
// A run stands still at most this many times as long as it needed for each per
// cent so far: listings are coarse, and its work may be uneven.
constexpr int kStallPaceFactor = 3;
// Multiplies the longest expected time each time the task was stopped for its
// length, and the longest time without progress each time that it was stopped
// for that: a task that was too slow on another upstream is probably long
// itself.
constexpr double kRestartAllowance = 3;
constexpr int kMaxRestartAllowances = 4;
constexpr int kCompletePercent = 100;

double RestartAllowance(int stops) {
  return std::pow(kRestartAllowance, std::min(stops, kMaxRestartAllowances));
}

// The time that the run has taken for each per cent; zero during the first one.
duration TimePerCent(const run_observation& run) {
  return *run.percent == 0 ? duration::zero()
                           : (run.reached - run.began) / *run.percent;
}

duration StallTime(const run_observation& run) {
  duration usual =
      run.expected.longest > duration::zero()
          ? std::max(kMinStallTime, Times(run.expected.longest, kStallShare))
          : kStallTimeUnknown;
  return std::max(Times(usual, RestartAllowance(run.stalls)),
                  TimePerCent(run) * kStallPaceFactor);
}

bool IsOverdue(const run_observation& run) {
  duration usual = run.expected.usual;
  return run.elapsed > (usual > duration::zero() ? Times(usual, kOverdueFactor)
                                                 : kOverdueUnknown);
}

run_judgement JudgeByElapsedTime(const run_observation& run) {
  const run_expectation& expected = run.expected;
  run_judgement judgement;
  if (run.adopted)
    return judgement;
  bool exceeds_longest = expected.longest > duration::zero() &&
                         run.elapsed > expected.longest &&
                         run.elapsed - expected.usual > kMinStuckExcess;
  judgement.ask_progress = IsOverdue(run) || exceeds_longest;
  if (exceeds_longest && run.asked) {
    judgement.condition = run_condition::kStuck;
    judgement.evidence =
        run.pace_known ? stuck_evidence::kPace : stuck_evidence::kGuess;
  }
  return judgement;
}

}  // namespace

const char* ToString(stuck_evidence evidence) {
  switch (evidence) {
    case stuck_evidence::kProgress:
      return "progress";
    case stuck_evidence::kPace:
      return "pace";
    case stuck_evidence::kGuess:
      return "guess";
  }
  return "?";
}

run_judgement JudgeRun(const run_observation& run) {
  // Without listed progress, or at 100 %, only the elapsed time can show that
  // the run is stuck.
  if (!run.percent || *run.percent >= kCompletePercent)
    return JudgeByElapsedTime(run);
  duration stall_time = StallTime(run);
  // A run at 0 % has been stalled since it was first known to run. Like the
  // other times of an observation, `stalled_since` counts from the start
  // request.
  duration stalled_since = *run.percent == 0 ? run.began : run.reached;
  if (run.listed - stalled_since >= stall_time)
    return {run_condition::kStuck, stuck_evidence::kProgress, {}, false};
  if (run.since_listed >= std::max(kMaxListingAge, stall_time))
    return JudgeByElapsedTime(run);
  run_judgement judgement;
  judgement.evidence = stuck_evidence::kProgress;
  judgement.ask_progress = IsOverdue(run);
  // The first per cents are too coarse to predict the end from.
  if (run.adopted || run.listed - run.began < run.expected.usual)
    return judgement;
  judgement.condition = run_condition::kAdvancing;
  // The prediction is a lower bound, which assumes that the next per cent is
  // about to be reached.
  judgement.predicted_length =
      run.began +
      Times(run.listed - run.began,
            static_cast<double>(kCompletePercent) / (*run.percent + 1));
  return judgement;
}

int LatenessRank(const home_job& job, time_point answered) {
  if (answered <= job.objective)
    return 0;
  return answered <= std::min(job.useful_until, job.limit) ? 1 : 2;
}

void stuck_runs::Check(home_job_map& jobs,
                       bool may_restart,
                       const std::function<duration()>& room_wait) {
  may_restart_ = may_restart;
  for (auto& [key, job] : jobs) {
    if (job.cancelled || job.tasks.Count(task_phase::kOrdered) == 0)
      continue;
    for (auto& [position, task] : job.tasks) {
      if (task.phase() == task_phase::kOrdered && !task.stopping)
        CheckRun(job, task, room_wait);
    }
  }
}

void stuck_runs::CheckRun(home_job& job,
                          home_task& task,
                          const std::function<duration()>& room_wait) {
  if (clock_.now() - task.ordered_at < kMinCheckedAge)
    return;
  upstream_session* session = upstreams_.Find(task.upstream());
  if (!session ||
      session->IsStartRepeated({job.key, 0, task.demand().position}))
    return;
  run_judgement judgement = JudgeRun(Observe(job, task, *session));
  if (judgement.ask_progress) {
    if (task.progress_asked_at < task.ordered_at)
      task.progress_asked_at = clock_.now();
    session->Poll();
  }
  switch (judgement.condition) {
    case run_condition::kHealthy:
      return;
    case run_condition::kAdvancing:
      OnAdvancing(job, task, *session, judgement.predicted_length, room_wait);
      return;
    case run_condition::kStuck:
      OnStuck(job, task, *session, judgement.evidence);
      return;
  }
}

run_observation stuck_runs::Observe(const home_job& job,
                                    const home_task& task,
                                    const upstream_session& session) const {
  run_observation run;
  // The start request and the report of the end may have been delayed this
  // long.
  run.elapsed =
      clock_.now() - task.ordered_at - answers_.Timeout(duration::zero());
  run.expected = times_.ExpectOnUpstream(job, task);
  run.expected.longest =
      Times(run.expected.longest, RestartAllowance(task.overlong_stops));
  run.stalls = task.stalls;
  run.pace_known = job.MedianPaceExcluding(task.upstream()) > 0;
  run.adopted = task.adopted;
  run.asked =
      task.progress_asked_at > task.ordered_at &&
      clock_.now() - task.progress_asked_at >= answers_.Timeout(kAnswerTime);
  auto progress = session.Progress({job.key, 0, task.demand().position});
  // An adopted run may have been listed before it was claimed.
  if (progress && progress->listed > task.ordered_at) {
    run.percent = progress->percent;
    run.began = std::max(progress->began - task.ordered_at, duration::zero());
    run.reached =
        std::max(progress->reached - task.ordered_at, duration::zero());
    run.listed = progress->listed - task.ordered_at;
    run.since_listed = clock_.now() - progress->listed;
  }
  return run;
}

// Stops the run only on an upstream that several runs have shown to be slow:
// elsewhere the task itself is long and would take as long again.
void stuck_runs::OnAdvancing(home_job& job,
                             home_task& task,
                             upstream_session& session,
                             duration predicted_length,
                             const std::function<duration()>& room_wait) {
  time_point now = clock_.now();
  times_.OnPredictedTime(job, task, predicted_length, now);
  if (!may_restart_ || !upstreams_.Standing(task.upstream()).slow())
    return;
  time_point predicted_end = task.ordered_at + predicted_length;
  time_point restarted_end = now + room_wait() + times_.Expect(job, task).usual;
  if (restarted_end < predicted_end &&
      LatenessRank(job, restarted_end) < LatenessRank(job, predicted_end))
    Stop(job, task, session, stuck_evidence::kProgress);
}

void stuck_runs::OnStuck(home_job& job,
                         home_task& task,
                         upstream_session& session,
                         stuck_evidence evidence) {
  time_point now = clock_.now();
  upstreams_.Standing(task.upstream()).OnStuck(now);
  // A restart pays only if the job can then still be answered in useful time.
  time_point restarted_end = now + times_.Expect(job, task).usual;
  if (restarted_end >= std::min(job.useful_until, job.limit))
    return;
  if (!may_restart_ && evidence != stuck_evidence::kProgress)
    return;
  ++(evidence == stuck_evidence::kProgress ? task.stalls : task.overlong_stops);
  Stop(job, task, session, evidence);
}

void stuck_runs::Stop(home_job& job,
                      home_task& task,
                      upstream_session& session,
                      stuck_evidence evidence) {
  ++stopped_[evidence];
  task.stopping = true;
  task.avoided_upstream = task.upstream();
  LogEvent(log_level::kInfo, "run_stuck",
           {{"job", job.key.str()},
            {"task", task.demand().position.index},
            {"upstream", task.upstream().str()},
            {"evidence", ToString(evidence)},
            {"ms", ToMilliseconds(clock_.now() - task.ordered_at)}});
  session.Stop({job.key, 0, task.demand().position});
}

}  // namespace jasminedyke
