// Predicts how long runs take from callers' guesses and observed run times.

#ifndef SRC_POLICY_RUN_TIME_MODEL_H_
#define SRC_POLICY_RUN_TIME_MODEL_H_

#include <array>
#include <cstddef>
#include <map>

#include "base/base.h"

namespace jasminedyke {

// How long a run is expected to take on an upstream of the usual speed.
struct run_expectation {
  duration usual = duration::zero();
  // A run without a fault very rarely takes longer. Zero if nothing is known.
  duration longest = duration::zero();
};

// A histogram of positive factors with logarithmic bins, in which the weight of
// old values decays. Needs constant memory and represents tails as far as they
// have been observed.
class factor_histogram {
 public:
  void Add(double factor, time_point now);
  double total() const { return total_; }
  // Returns the upper edge of the bin that holds the quantile `share`.
  double Quantile(double share) const;
  // Returns the share of values in the bin of `factor` and above.
  double ShareAtLeast(double factor) const;

 private:
  static constexpr size_t kBins = 192;

  std::array<double, kBins> counts_{};
  double total_ = 0;
  time_point decayed_at_;
};

// Handles uneven run times: guesses that are biased or inaccurate, a few tasks
// many times as long as the rest, guesses whose meaning changes while the
// system runs, and queues whose callers give no guess.
//
// All times are at usual speed: the caller corrects an observed time for the
// speed of the upstream that the task ran on. A job's pace is the ratio of
// actual to guessed time of its finished tasks. It predicts better than the
// queue's history, as the tasks of a job resemble each other. Memory is
// bounded, as only a limited number of queues is kept.
class run_time_model {
 public:
  // Records a run that finished. `guess` is zero if the caller gave none.
  void Learn(const queue_id& queue,
             duration guess,
             duration at_usual_speed,
             time_point now);
  // Records that a run of a job with a known pace took `factor` times the time
  // predicted from the pace.
  void LearnSibling(const queue_id& queue, double factor, time_point now);

  // `job_pace` is 0 while no task of the job is done.
  run_expectation Expect(const queue_id& queue,
                         duration guess,
                         double job_pace) const;
  // Returns the time that a job's pace is a multiple of: the guess or, without
  // one, the queue's median run time, which is zero if not known.
  duration Reference(const queue_id& queue, duration guess) const;
  // Returns the share of the queue's finished runs that take at least `factor`
  // times the usual time.
  double ShareAtLeast(const queue_id& queue,
                      double factor,
                      bool pace_known) const;

 private:
  struct queue_history {
    // Ratio of actual to guessed time, of tasks with a guess.
    factor_histogram by_guess;
    // Run time of tasks without a guess.
    factor_histogram milliseconds;
    // Ratio of actual time to the time predicted from the job's pace.
    factor_histogram by_job_pace;
    time_point learnt_at;
  };

  queue_history& HistoryOf(const queue_id& queue, time_point now);
  const queue_history* Find(const queue_id& queue) const;

  std::map<queue_id, queue_history> by_queue_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_RUN_TIME_MODEL_H_
