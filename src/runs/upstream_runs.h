// The runs that execute, or may execute, on one upstream.

#ifndef SRC_RUNS_UPSTREAM_RUNS_H_
#define SRC_RUNS_UPSTREAM_RUNS_H_

#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"
#include "runs/upstream_port.h"

namespace jasminedyke {

enum class run_phase {
  kFound,       // listed by the upstream, started by an earlier owner of the
                // upstream and not adopted yet
  kStarting,    // the start request is in flight
  kUnanswered,  // the start request got no answer; the run may exist or not
  kRunning,
};

// Progress of a run as its upstream lists it.
struct run_progress {
  int percent = 0;
  // When the run was first known to have begun. An upstream may carry out a
  // start request late, so this is not the time of the request.
  time_point began;
  // When this percentage was first listed, and when it was last listed.
  time_point reached;
  time_point listed;
};

struct run_record {
  run_number run;
  resource_amount need;
  run_phase phase = run_phase::kStarting;
  // Local time at which the start request was last sent or, for `kRunning`, at
  // which the run was learnt to be running. Only the reply to a hold sent after
  // this time can prove, by not listing the run, that the run ended. The time
  // at which the hold that listed the run was sent is too early: a hold that
  // waited may list a run that began long after the hold was sent.
  time_point since;
  // The upstream ignores all start requests for the run after this time.
  upstream_time not_after;
  // How often the start request was sent.
  int sends = 1;
  // The start request may be sent again if it stays unanswered.
  bool may_repeat = true;
  // When the upstream confirmed that the run is stopped. Its present
  // incarnation can't begin the run after that.
  std::optional<time_point> stop_confirmed_at;
  // Whether the run is known to have begun in the upstream's present
  // incarnation.
  bool seen = false;
  // The record was carried over from an earlier incarnation of the upstream:
  // the start request was sent to that one, which may have begun the run. The
  // present incarnation may still begin it, and `not_after` can't be compared
  // with the present incarnation's clock.
  bool carried = false;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  std::optional<run_progress> progress;

  // Whether the run is not known to have begun.
  bool IsUnconfirmed() const {
    return phase == run_phase::kStarting || phase == run_phase::kUnanswered;
  }
  // Records that a reply lists the run as running.
  void NoteListed(const listed_run& listed, time_point now);
  void NoteProgress(int percent, time_point now);
};

// A run that has ended or never existed.
struct ended_run {
  task_name task;
  run_number run;
  // The run has not begun: no incarnation of the upstream so far can have
  // carried out the start request. Set only by `EndedRuns`.
  bool never_began = false;
  // The run is known to have begun. Set only by
  // `incarnation_state::RemoveEndedRuns`.
  bool begun = false;
};

// The runs that a reply lists, ordered for look-ups: an upstream may list tens
// of thousands of small ones. Must not outlive the reply.
class listed_runs {
 public:
  explicit listed_runs(const hold_reply& reply);

  // Whether this run of the task or a later one is listed. An earlier run in
  // the list doesn't count: the reply was written before this run could begin.
  bool Contain(const task_name& task, run_number run) const;

 private:
  // Ordered by task and run.
  std::vector<const listed_run*> listed_;
};

// Holds at most one run per task.
class upstream_runs {
 public:
  using run_map = std::map<task_name, run_record>;

  const run_map& all() const { return runs_; }
  bool empty() const { return runs_.empty(); }
  // The sum of the resources that all runs need.
  const resource_amount& occupied() const { return occupied_; }

  // Returns null if the task has no run here.
  run_record* Find(const task_name& task);
  const run_record* Find(const task_name& task) const;
  void Put(const task_name& task, const run_record& record);
  // Adds a run that an earlier owner of the upstream started.
  void PutFound(const listed_run& listed, time_point now);
  void Adopt(run_record& record, const resource_amount& need);
  void Remove(const task_name& task);

  bool HasFound() const;
  // Returns how many runs are not known to have begun.
  size_t Unconfirmed() const;
  // Tasks whose runs are unconfirmed at `now`, at least `patience` after the
  // start request, and all unconfirmed runs carried over from an earlier
  // incarnation.
  std::vector<task_name> UnconfirmedLongerThan(time_point now,
                                               duration patience) const;
  // Runs that have ended, as proven by the reply to a hold sent at `sent`.
  std::vector<ended_run> EndedRuns(time_point sent,
                                   const hold_reply& reply) const;
  // The runs that may still begin, or execute, in the upstream's next
  // incarnation.
  upstream_runs ForNextIncarnation() const;

 private:
  run_map runs_;
  resource_amount occupied_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_RUNS_H_
