#include "runs/stuck_runs.h"

#include <algorithm>
#include <cmath>

namespace jasminedyke {

namespace {

// Nothing is suspected before: messages and sweeps take as long.
constexpr duration kNeverBefore = std::chrono::milliseconds(30);
// Beyond what is usual by so much, a run's upstream is asked how far it is.
constexpr double kUnclearFrom = 1.5;
// A task of which nothing is known.
constexpr duration kUnclearUnknown = std::chrono::seconds(1);
// An upstream that is asked answers at once.
constexpr duration kAnswerTime = std::chrono::milliseconds(30);
// What was listed so long ago, though asked for again and again, says nothing.
constexpr duration kOldList = std::chrono::milliseconds(250);
// Beyond the longest expectation a run must be late by so much besides.
constexpr duration kStuckAtLeast = std::chrono::milliseconds(60);
// Of the longest that a sound run takes: in so much of it the longest one makes
// several per cent, and even one on an upstream that crawls makes one.
constexpr double kStillShare = 0.1;
constexpr duration kLeastStill = std::chrono::milliseconds(40);
constexpr duration kStillUnknown = std::chrono::seconds(1);
// A task that was too long elsewhere is long itself, more likely than not.
constexpr double kAllowedAgain = 3;
constexpr int kMostAllowances = 4;
constexpr int kAllPercent = 100;

duration StillPatience(const run_sight& sight) {
  if (sight.expected.longest <= duration::zero())
    return kStillUnknown;
  return std::max(kLeastStill, Times(sight.expected.longest, kStillShare));
}

bool IsUnclear(const run_sight& sight) {
  duration usual = sight.expected.usual;
  return sight.took > (usual > duration::zero() ? Times(usual, kUnclearFrom)
                                                : kUnclearUnknown);
}

run_judgement JudgeByLength(const run_sight& sight) {
  const run_expectation& expected = sight.expected;
  run_judgement judgement;
  if (sight.adopted)
    return judgement;
  bool too_long = expected.longest > duration::zero() &&
                  sight.took > expected.longest &&
                  sight.took - expected.usual > kStuckAtLeast;
  judgement.ask = IsUnclear(sight) || too_long;
  if (too_long && sight.asked) {
    judgement.state = run_condition::kStuck;
    judgement.evidence =
        sight.pace_known ? stuck_evidence::kPace : stuck_evidence::kGuess;
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

run_judgement JudgeRun(const run_sight& sight) {
  // All work is done, or there is no word of it: only the time tells.
  if (!sight.percent || *sight.percent >= kAllPercent)
    return JudgeByLength(sight);
  duration patience = StillPatience(sight);
  // Nothing done at all: it stands still since it is known to run.
  duration still_since = *sight.percent == 0 ? sight.began : sight.reached;
  if (sight.listed - still_since >= patience)
    return {run_condition::kStuck, stuck_evidence::kProgress, {}, false};
  if (sight.since_listed >= std::max(kOldList, patience))
    return JudgeByLength(sight);
  run_judgement judgement;
  judgement.evidence = stuck_evidence::kProgress;
  judgement.ask = IsUnclear(sight);
  // The first per cents are too coarse to foretell from.
  if (sight.adopted || sight.listed - sight.began < sight.expected.usual)
    return judgement;
  judgement.state = run_condition::kAdvancing;
  // At least: the next per cent may be about to come.
  judgement.takes = sight.began + Times(sight.listed - sight.began,
                                        static_cast<double>(kAllPercent) /
                                            (*sight.percent + 1));
  return judgement;
}

int WorthOf(const home_job& job, time_point answered) {
  if (answered <= job.objective)
    return 0;
  return answered <= std::min(job.useful_until, job.limit) ? 1 : 2;
}

void stuck_runs::Check(home_job_map& jobs,
                       const std::function<duration()>& room_wait) {
  for (auto& [key, job] : jobs) {
    if (job.cancelled)
      continue;
    for (auto& [position, task] : job.tasks) {
      if (task.phase == task_phase::kOrdered && !task.stopping)
        CheckRun(job, task, room_wait);
    }
  }
}

void stuck_runs::CheckRun(home_job& job,
                          home_task& task,
                          const std::function<duration()>& room_wait) {
  if (clock_.now() - task.ordered_at < kNeverBefore)
    return;
  upstream_session* session = upstreams_.Find(task.upstream);
  if (!session)
    return;
  run_judgement judgement = JudgeRun(Look(job, task, *session));
  if (judgement.ask) {
    if (task.asked_at < task.ordered_at)
      task.asked_at = clock_.now();
    session->Poll();
  }
  switch (judgement.state) {
    case run_condition::kSound:
      return;
    case run_condition::kAdvancing:
      OnAdvancing(job, task, *session, judgement.takes, room_wait);
      return;
    case run_condition::kStuck:
      OnStuck(job, task, *session, judgement.evidence);
      return;
  }
}

run_sight stuck_runs::Look(const home_job& job,
                           const home_task& task,
                           const upstream_session& session) const {
  run_sight sight;
  // Both the start and the word of the end may have taken so long on their way.
  sight.took =
      clock_.now() - task.ordered_at - answers_.Patience(duration::zero());
  sight.expected = times_.ExpectThere(job, task);
  sight.expected.longest = Times(
      sight.expected.longest,
      std::pow(kAllowedAgain, std::min(task.stopped_as_long, kMostAllowances)));
  sight.pace_known = job.PaceWithout(task.upstream) > 0;
  sight.adopted = task.adopted;
  sight.asked = task.asked_at > task.ordered_at &&
                clock_.now() - task.asked_at >= answers_.Patience(kAnswerTime);
  auto progress = session.Progress({job.key, 0, task.demand.position});
  // An adopted run may have been listed before it was claimed.
  if (progress && progress->listed > task.ordered_at) {
    sight.percent = progress->percent;
    sight.began = std::max(progress->began - task.ordered_at, duration::zero());
    sight.reached =
        std::max(progress->reached - task.ordered_at, duration::zero());
    sight.listed = progress->listed - task.ordered_at;
    sight.since_listed = clock_.now() - progress->listed;
  }
  return sight;
}

// Only on an upstream that several runs have shown to be slow: elsewhere it is
// the task that is long, and would be as long again.
void stuck_runs::OnAdvancing(home_job& job,
                             home_task& task,
                             upstream_session& session,
                             duration takes,
                             const std::function<duration()>& room_wait) {
  time_point now = clock_.now();
  times_.OnForetold(job, task, takes, now);
  if (!upstreams_.Standing(task.upstream).slow())
    return;
  time_point ends = task.ordered_at + takes;
  time_point ends_anew = now + room_wait() + times_.Expect(job, task).usual;
  if (ends_anew < ends && WorthOf(job, ends_anew) < WorthOf(job, ends))
    Stop(job, task, session, stuck_evidence::kProgress);
}

void stuck_runs::OnStuck(home_job& job,
                         home_task& task,
                         upstream_session& session,
                         stuck_evidence evidence) {
  time_point now = clock_.now();
  upstreams_.Standing(task.upstream).OnStuck(now);
  // Only if it can still be answered in useful time.
  time_point ends_anew = now + times_.Expect(job, task).usual;
  if (ends_anew >= std::min(job.useful_until, job.limit))
    return;
  if (evidence != stuck_evidence::kProgress)
    ++task.stopped_as_long;
  Stop(job, task, session, evidence);
}

void stuck_runs::Stop(home_job& job,
                      home_task& task,
                      upstream_session& session,
                      stuck_evidence evidence) {
  ++stopped_[evidence];
  task.stopping = true;
  task.avoid = task.upstream;
  LogEvent(log_level::kInfo, "run_stuck",
           {{"job", job.key.str()},
            {"task", task.demand.position.index},
            {"upstream", task.upstream.str()},
            {"evidence", ToString(evidence)},
            {"ms", ToMilliseconds(clock_.now() - task.ordered_at)}});
  session.Stop({job.key, 0, task.demand.position});
}

}  // namespace jasminedyke
