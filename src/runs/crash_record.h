// Which tasks ran on upstreams that were lost: a task may crash every upstream
// that starts it.

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
  kSuspect,  // runs alone, if an upstream is idle, until it is cleared
  kHeld,     // not started for now
};

// An upstream that was lost under a task.
struct task_loss {
  // Without an id where nobody knows which one it was.
  upstream_incarnation upstream;
  // The task is known to have begun there.
  bool begun = false;

  bool operator==(const task_loss&) const = default;
};

// What instances tell each other of a task that is a suspect or worse.
struct crash_suspect {
  task_name task;
  std::vector<task_loss> losses;

  bool operator==(const crash_suspect&) const = default;
};

struct crash_news {
  std::vector<crash_suspect> suspects;
  // Losses of these prove nothing any more.
  std::vector<upstream_incarnation> explained;

  bool empty() const { return suspects.empty() && explained.empty(); }
  bool operator==(const crash_news&) const = default;
};

// Queued again like any other, a task that crashes what starts it takes down
// upstream after upstream, and each time all that runs beside it. So whoever
// ran on a lost upstream is suspect. It runs alone next where an upstream is
// idle, so that neighbours are safe; it does not wait for one, since at full
// load upstreams that are kept empty for suspects cost more than the
// neighbours. One good run clears it, after a second loss it is held.
//
// Nothing here proves that the task was the cause, so no caller is told that
// its job failed: it is given up, and refused for as long as this lasts. A run
// that is not known to have begun may be an order that never arrived; it holds
// a task only together with two others.
//
// An upstream's loss counts once, whoever saw it, and no longer once it is
// explained: the upstream answers again, or had said that it would go. That is
// remembered as long, or an instance that was not told would bring it back.
// Upstreams that are lost together (power, a cut, a restart of many) prove
// nothing, or the tasks of a whole failure domain would be suspect. A real
// crasher among them shows by its next losses.
//
// Bounded in size and time; a caller that sends a job again does so sooner.
class crash_record {
 public:
  // One of so many upstreams that the home has.
  void OnUpstreamLost(time_point now,
                      const upstream_loss& lost,
                      size_t upstreams);
  // The loss, if there was one, says nothing of what ran there.
  void OnExplained(const upstream_incarnation& upstream, time_point now);
  // Of a run under an earlier home nothing is found. Of others that says
  // little, but that of a suspect probably took its upstream down. False if it
  // was none.
  bool OnSuspectRunMissing(const task_name& task, time_point now);
  // A run ended, and its upstream lives.
  void OnRunEnded(const task_name& task);
  // From another instance.
  void Take(const crash_news& news, time_point now);

  crash_suspicion SuspicionLevel(const task_name& task, time_point now) const;
  // Until a task that is held may be started again.
  duration RemainingHoldTime(const task_name& task, time_point now) const;
  // Empty if there are none.
  std::vector<task_loss> LossesOf(const task_name& task) const;
  // What others have not been told yet. At once, as the home may be lost next;
  // of upstreams that are lost together only the first few are told of.
  crash_news TakeNews();
  // For one that knows nothing yet.
  crash_news All(time_point now) const;

  void Forget(time_point now);
  size_t size() const { return entries_.size(); }

 private:
  struct loss {
    task_loss what;
    time_point at;
    // By another instance, which judged it not to be one of many.
    bool heard = false;
  };

  struct entry {
    // By time; bounded, never empty.
    std::vector<loss> losses;
    bool told = false;
  };

  struct explanation {
    time_point at;
    bool told = false;
  };

  // Null if the record is full.
  entry* FindOrAdd(const task_name& task);
  // False if it is known.
  bool Add(const task_name& task, const loss& added);
  void TakeSuspect(const crash_suspect& suspect, time_point now);
  // False if nothing was held against any task.
  bool Erase(const upstream_incarnation& upstream);
  template <class Condition>
  bool EraseLosses(const Condition& of);
  bool IsExplained(const upstream_incarnation& upstream) const;
  bool IsSingle(const loss& each) const;
  // By what is not forgotten at that time.
  crash_suspicion Judge(const entry& found, time_point now) const;
  crash_suspect Describe(const task_name& task, const entry& found) const;
  // Many upstreams were lost at about that time.
  bool IsShared(time_point lost) const;

  std::map<task_name, entry> entries_;
  // Of upstreams; those of tasks are judged by them.
  std::deque<time_point> losses_;
  std::map<upstream_incarnation, explanation> explained_;
  size_t upstreams_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_CRASH_RECORD_H_
