// What runs, or may run, on one upstream.

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
  kFound,       // listed, of an earlier owner, not yet adopted
  kStarting,    // ordered, no answer yet
  kUnanswered,  // the order was not answered; it may run or may not
  kRunning,
};

// How far a run has come, as its upstream lists it.
struct run_progress {
  int percent = 0;
  // When the run was known to have begun: a start may be carried out late.
  time_point began;
  // When this per cent was first listed, and when it last was.
  time_point reached;
  time_point listed;
};

struct run_record {
  run_number run;
  resource_amount need;
  run_phase phase = run_phase::kStarting;
  // When the order was sent, and for `kRunning` when we learnt that it runs,
  // on our clock. Only what is asked later can show that it ended: a hold
  // that waited may list a run that began long after the hold was sent.
  time_point since;
  // The upstream's clock showed no less when the order was sent.
  upstream_time ordered;
  // An order that was not carried out by then never will be.
  upstream_time not_after;
  // The upstream confirmed the run's stop then: it can't begin any more.
  std::optional<time_point> stop_confirmed_at;
  // Known to run, or to have run, in the present incarnation.
  bool seen = false;
  // Ordered of an earlier incarnation. That one may have begun it, and the
  // present one may do so yet: the order's time limit means nothing on its
  // clock.
  bool carried = false;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  std::optional<run_progress> progress;

  // Not known to have begun.
  bool IsUnconfirmed() const {
    return phase == run_phase::kStarting || phase == run_phase::kUnanswered;
  }
  void NoteListed(const listed_run& listed, time_point now);
  void NoteProgress(int percent, time_point now);
};

// A run that is over, and how that is told.
struct ended_run {
  task_name task;
  run_number run;
  // The order can't have been carried out by any incarnation.
  bool never_began = false;
  // Known to have begun.
  bool begun = false;
};

// An earlier run of the task says nothing of this one: the reply was written
// before this one could begin.
bool IsListed(const hold_reply& reply, const task_name& task, run_number run);

// At most one run of a task.
class upstream_runs {
 public:
  using run_map = std::map<task_name, run_record>;

  const run_map& all() const { return runs_; }
  bool empty() const { return runs_.empty(); }
  // The sum of all needs.
  const resource_amount& occupied() const { return occupied_; }

  // Null if there is none.
  run_record* Find(const task_name& task);
  const run_record* Find(const task_name& task) const;
  void Put(const task_name& task, const run_record& record);
  // Of an earlier owner.
  void PutFound(const listed_run& listed, time_point now);
  void Adopt(run_record& record, const resource_amount& need);
  void Remove(const task_name& task);

  bool HasFound() const;
  bool HasUnconfirmed() const;
  // Not known to have begun so long after the order, or if they are carried.
  std::vector<task_name> UnconfirmedLongerThan(time_point now,
                                               duration patience) const;
  // What the reply to a hold that was sent at `sent` proves to be over.
  std::vector<ended_run> EndedRuns(time_point sent,
                                   const hold_reply& reply) const;
  // What may begin, or run, in the incarnation that follows.
  upstream_runs ForNextIncarnation() const;

 private:
  run_map runs_;
  resource_amount occupied_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_RUNS_H_
