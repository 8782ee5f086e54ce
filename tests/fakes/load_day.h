// A stretch of a day's load on whole instances, on a test's clock.

#ifndef TESTS_FAKES_LOAD_DAY_H_
#define TESTS_FAKES_LOAD_DAY_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "fakes/run_nodes.h"

namespace jasminedyke {

// A queue's jobs: each of `tasks` tasks of 14 cores, two of which fit on an
// upstream of 32.
struct load_class {
  std::string queue;
  int priority = 0;
  uint32_t tasks = 1;
  duration run_time = duration::zero();
  // Of all jobs that arrive.
  double share = 0;
};

// Of one class's jobs.
struct load_result {
  int asked = 0;
  int in_time = 0;  // within the objective
  int late = 0;
  int refused = 0;
  int failed = 0;  // of the refused, told that the job can't be done
  // Refused only after this class's patience: a quarter of its objective.
  int refused_late = 0;

  double in_time_share() const { return in_time / static_cast<double>(asked); }
};

// Urgent short jobs of many tasks, long ones, and many jobs of two tasks: by
// work 0.21, 0.28 and 0.51 of the whole, as at a parts desk and at a desk of
// reinsurers.
std::vector<load_class> DeskClasses();

// Jobs arrive at random over all instances. Run times vary by a fifth between
// jobs, and callers' guesses are off by up to 40 %.
class load_day : public run_nodes {
 public:
  // Each failure domain has `instances` instances and `upstreams` upstreams.
  load_day(const std::vector<std::string>& domains,
           int instances,
           int upstreams,
           uint64_t seed);

  // `load` of 1 keeps all places for tasks busy.
  void Play(duration length, double load);
  // While the day plays, these jobs come as well, spread over its first half;
  // of each, one task crashes every upstream that starts it. An upstream is
  // back after some seconds, under another id.
  void AddCrashers(int jobs) { crashers_left_ = jobs; }
  int upstreams_lost() const { return upstreams_lost_; }
  // Most starts of one crashing task.
  int most_crasher_starts();
  // Of those jobs, which are not counted in the classes: given up well before
  // their callers' limit.
  int crashers_given_up() const { return crashers_given_up_; }
  // Until the last answer.
  void Finish() { Run(std::chrono::seconds(6)); }

  const load_result& Of(const std::string& queue) { return results_[queue]; }
  // Over all classes, by work: in time counts whole, late a fifth.
  double Worth() const;

 private:
  fake_upstream& AddUpstream(const std::string& id, const std::string& domain);
  void Rebirth(const std::string& id, const std::string& domain);
  void Arrive();
  void ArriveCrasher();
  double Uniform(double from, double to);

  std::vector<load_class> classes_ = DeskClasses();
  std::mt19937_64 random_;
  std::map<std::string, duration> run_times_;
  std::map<std::string, load_result> results_;
  std::map<std::string, double> work_;
  size_t places_ = 0;
  int jobs_ = 0;
  int crashers_left_ = 0;
  int upstreams_lost_ = 0;
  int crashers_given_up_ = 0;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_LOAD_DAY_H_
