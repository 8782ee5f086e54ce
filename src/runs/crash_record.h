// Which tasks ran on upstreams that were lost: a task may crash every upstream
// that starts it.

#ifndef SRC_RUNS_CRASH_RECORD_H_
#define SRC_RUNS_CRASH_RECORD_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

enum class crash_suspicion {
  kNone,
  kSuspect,  // runs alone until it is cleared
  kCrasher,  // never started again
};

// What instances tell each other of a task that is a suspect or worse.
struct crash_suspect {
  task_name task;
  // Upstreams that were lost under it.
  int lost = 0;
  // It was alone on the last of them, after an earlier loss.
  bool proven = false;

  bool operator==(const crash_suspect&) const = default;
};

struct crash_news {
  std::vector<crash_suspect> suspects;

  bool operator==(const crash_news&) const = default;
};

// Queued again like any other, a task that crashes what starts it takes down
// upstream after upstream, and each time all that runs beside it. So whoever ran
// on a lost upstream is suspect and runs alone next: a loss then proves it, one
// good run clears it, and its neighbours are safe meanwhile.
//
// Upstreams that are lost together (power, a cut, a restart of many) prove
// nothing, or every task of a failure domain would want an upstream for itself.
// A real crasher among them shows by its next loss.
//
// Bounded in size and time; a caller that sends a job again does so sooner.
class crash_record {
 public:
  // `ran` were there when it was lost, one of `upstreams` that the home has.
  void OnUpstreamLost(time_point now,
                      const std::vector<task_name>& ran,
                      size_t upstreams);
  // A run ended, and its upstream lives.
  void OnRunEnded(const task_name& task);
  // From another instance.
  void Take(const crash_news& news, time_point now);

  crash_suspicion Of(const task_name& task, time_point now) const;
  // What others have not been told yet. A suspect is told once it is clear that
  // its upstream was not lost with many.
  crash_news TakeNews(time_point now);
  // For one that knows nothing yet.
  crash_news All(time_point now) const;

  void Forget(time_point now);
  size_t size() const { return entries_.size(); }

 private:
  struct entry {
    int lost = 0;
    bool proven = false;
    // The first loss, if it was seen here.
    std::optional<time_point> seen_here;
    time_point last;
    int told = 0;
  };

  crash_suspicion Judge(const entry& found) const;
  // Many upstreams were lost at about that time.
  bool IsShared(time_point lost) const;

  std::map<task_name, entry> entries_;
  // Of upstreams; first losses of tasks are judged by them.
  std::deque<time_point> losses_;
  size_t upstreams_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_CRASH_RECORD_H_
