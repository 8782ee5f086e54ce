// How long runs take: what callers guess against what is observed.

#ifndef SRC_POLICY_RUN_TIME_MODEL_H_
#define SRC_POLICY_RUN_TIME_MODEL_H_

#include <array>
#include <cstddef>
#include <map>

#include "base/base.h"

namespace jasminedyke {

// At usual speed.
struct run_expectation {
  duration usual = duration::zero();
  // A sound run very rarely takes longer. Zero if nothing is known.
  duration longest = duration::zero();
};

// Counts of a positive factor in steps of a constant ratio, of which old ones
// fade: constant memory, and tails as far as they are observed.
class factor_counts {
 public:
  void Add(double factor, time_point now);
  double total() const { return total_; }
  // Below it lies `share` of all; the upper edge of a step.
  double Quantile(double share) const;
  // Share of all that reach `factor`.
  double ShareAtLeast(double factor) const;

 private:
  static constexpr size_t kSteps = 192;

  std::array<double, kSteps> counts_{};
  double total_ = 0;
  time_point faded_at_;
};

// Answers load whose run times are uneven: guesses that are biased or far off,
// a few tasks many times as long as the rest, guesses that change their meaning
// while the system serves, queues whose callers don't guess at all.
//
// All times are at usual speed: who tells of a run divides out the speed of the
// upstream that it ran on. A job's pace is the ratio of real to guessed time of
// its tasks that are done; it tells more than the queue does, as the tasks of a
// job resemble each other. Memory: a bounded number of queues.
class run_time_model {
 public:
  // A run ended done. `guess` is zero if its caller has none.
  void Learn(const queue_id& queue,
             duration guess,
             duration at_usual_speed,
             time_point now);
  // A run of a job whose pace was known took `factor` times what it foretold.
  void LearnSibling(const queue_id& queue, double factor, time_point now);

  // `job_pace` is 0 while no task of the job is done.
  run_expectation Expect(const queue_id& queue,
                         duration guess,
                         double job_pace) const;
  // What a job's pace is a multiple of: the guess; without one the queue's own
  // usual time, zero if that is not known.
  duration Reference(const queue_id& queue, duration guess) const;
  // Share of the queue's sound runs that take at least `factor` times what is
  // usual.
  double ShareAtLeast(const queue_id& queue,
                      double factor,
                      bool pace_known) const;

 private:
  struct queue_history {
    // Real over guessed; of tasks without a guess, their milliseconds.
    factor_counts by_guess;
    factor_counts milliseconds;
    factor_counts among_siblings;
    time_point learnt_at;
  };

  queue_history& HistoryOf(const queue_id& queue, time_point now);
  const queue_history* Find(const queue_id& queue) const;

  std::map<queue_id, queue_history> by_queue_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_RUN_TIME_MODEL_H_
