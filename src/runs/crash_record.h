// Records which tasks ran on upstreams that were lost, to find tasks that crash
// every upstream that starts them.

#ifndef SRC_RUNS_CRASH_RECORD_H_
#define SRC_RUNS_CRASH_RECORD_H_

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

enum class crash_suspicion {
  kNone,
  kSuspect,  // runs alone on an upstream, if one is idle, until it is cleared
  kHeld,     // isn't started until its losses expire
};

// The loss of an upstream while a task ran on it.
struct task_loss {
  // Has an empty id if it is unknown which upstream was lost.
  upstream_incarnation upstream;
  // The task is known to have begun on that upstream.
  bool begun = false;

  bool operator==(const task_loss&) const = default;
};

// A suspected or held task, as instances report it to each other.
struct crash_suspect {
  task_name task;
  std::vector<task_loss> losses;

  bool operator==(const crash_suspect&) const = default;
};

struct crash_news {
  std::vector<crash_suspect> suspects;
  // Upstreams whose losses no longer count as evidence against tasks, since
  // they answer again or had announced that they would stop.
  std::vector<upstream_incarnation> explained;

  bool empty() const { return suspects.empty() && explained.empty(); }
  bool operator==(const crash_news&) const = default;
};

// A task that crashes the upstreams that start it would, if it were queued
// again like any other, take down one upstream after another, and each time all
// other runs on it. Every task that ran on a lost upstream is therefore a
// suspect. It next runs alone if an upstream is idle, so that no other runs are
// at risk; it doesn't wait for an idle upstream, since at full load keeping
// upstreams empty for suspects costs more than the runs that would be lost. One
// run that ends clears the task; after a second loss the task is held.
//
// None of this proves that the task was the cause, so no caller is told that
// its job failed: the home returns the job to its owner without an outcome, and
// refuses it until the losses expire. A run that is not known to have begun may
// be a start request that never arrived; the loss of such a run holds a task
// only together with two other losses.
//
// The loss of an upstream counts once, whichever instance saw it, and no longer
// counts once it is explained: the upstream answers again, or had announced
// that it would stop. Explanations are remembered as long as losses, since an
// instance that was not told of the explanation would otherwise bring the loss
// back. Upstreams that are lost together (power failure, network partition,
// restart of many) prove nothing, or all tasks of a failure domain would be
// suspects. A task among them that does crash upstreams is detected by its next
// losses.
//
// The record is bounded in size and time; a caller that submits a job again
// does so before the losses expire.
class crash_record {
 public:
  // Records the loss of one of the home's `upstreams` upstreams.
  void OnUpstreamLost(time_point now,
                      const upstream_loss& lost,
                      size_t upstreams);
  // Removes the loss of this upstream, if there was one, as evidence against
  // the tasks that ran there.
  void OnExplained(const upstream_incarnation& upstream, time_point now);
  // Records a loss if a run that an earlier home started is not found and its
  // task is a suspect: the run probably crashed its upstream. For other tasks a
  // missing run is no evidence. Returns whether a loss was recorded.
  bool OnSuspectRunMissing(const task_name& task, time_point now);
  // Clears the task: one of its runs ended without the loss of its upstream.
  void OnRunEnded(const task_name& task);
  // Merges news from another instance into this record.
  void Take(const crash_news& news, time_point now);

  crash_suspicion SuspicionLevel(const task_name& task, time_point now) const;
  // Time until a held task may be started again.
  duration RemainingHoldTime(const task_name& task, time_point now) const;
  // The losses that count against the task.
  std::vector<task_loss> LossesOf(const task_name& task) const;
  // Returns the news that the other instances have not been told yet, and marks
  // it as told. The news is sent at once, as the home may be lost next. Of
  // upstreams that are lost together, the first few are therefore reported; the
  // later losses are then known to be shared, and are not.
  crash_news TakeNews();
  // The full record, for an instance that has just joined.
  crash_news All(time_point now) const;

  // Removes the losses and explanations that have expired at `now`.
  void Forget(time_point now);
  size_t size() const { return entries_.size(); }

 private:
  struct loss {
    task_loss what;
    time_point at;
    // Whether another instance reported the loss. That instance found that the
    // upstream was not lost together with many others.
    bool heard = false;
  };

  struct entry {
    // Ordered by time; bounded, never empty.
    std::vector<loss> losses;
    // Whether the other instances have been told all losses.
    bool told = false;
  };

  struct explanation {
    time_point at;
    bool told = false;
  };

  // Returns null if the record is full.
  entry* FindOrAdd(const task_name& task);
  // Returns whether the loss is new and was recorded.
  bool Add(const task_name& task, const loss& added);
  void TakeSuspect(const crash_suspect& suspect, time_point now);
  // Removes the losses of the upstream; returns whether there were any.
  bool Erase(const upstream_incarnation& upstream);
  template <class Condition>
  bool EraseLosses(const Condition& is_erased);
  bool IsExplained(const upstream_incarnation& upstream) const;
  // Whether the loss counts, as its upstream was not lost together with many
  // others.
  bool IsIsolated(const loss& each) const;
  // Judges by the losses that have not expired at `now`.
  crash_suspicion Judge(const entry& found, time_point now) const;
  // Returns the task with those of its losses that other instances are told.
  crash_suspect Describe(const task_name& task, const entry& found) const;
  // Whether many upstreams were lost at about the time `lost`.
  bool IsShared(time_point lost) const;

  std::map<task_name, entry> entries_;
  // Times at which upstreams were lost. They show which losses of tasks are
  // shared.
  std::deque<time_point> upstream_losses_;
  std::map<upstream_incarnation, explanation> explained_;
  // The number of upstreams that the home has.
  size_t upstreams_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_CRASH_RECORD_H_
