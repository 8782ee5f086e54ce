// A stretch of a day's load on whole instances, on a test's clock.

#ifndef TESTS_FAKES_LOAD_DAY_H_
#define TESTS_FAKES_LOAD_DAY_H_

#include <map>
#include <optional>
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

// Upstreams of several speeds and sizes, tasks and siblings that differ, and a
// few jobs that take far longer.
struct uneven_load {
  // Of upstreams in turn.
  std::vector<double> speeds;
  std::vector<load_class> classes;
};

// Short urgent jobs of many tasks, long ones of four, middle ones of two: as at
// an auction house.
std::vector<load_class> AuctionClasses();

// What callers do whose job was refused.
enum class caller_habit {
  kLeave,
  kReturnAsTold,  // after Retry-After, which has whole seconds
  kReturnAtOnce,  // they ignore it
};

// Of one of the callers that share a queue.
struct caller_result {
  int asked = 0;
  int tries = 0;
  int served = 0;   // by any try, within the objective of that try
  int returns = 0;  // first returns after a refusal
  int returns_served = 0;
  // From the first try to the answer, of those served.
  duration waited = duration::zero();

  double served_share() const { return served / static_cast<double>(asked); }
  double tries_of_each() const { return tries / static_cast<double>(asked); }
  double returns_served_share() const {
    return returns_served / static_cast<double>(returns);
  }
  double seconds_waited() const { return ToSeconds(waited) / served; }
  caller_result& operator+=(const caller_result& other);
};

// Jobs arrive at random over all instances. Run times vary by a fifth between
// jobs, and callers' guesses are off by up to 40 %.
class load_day : public run_nodes {
 public:
  // Each failure domain has `instances` instances and `upstreams` upstreams.
  load_day(const std::vector<std::string>& domains,
           int instances,
           int upstreams,
           uint64_t seed,
           const run_home::settings& home = {});

  // Before `Play`.
  void MakeUneven(const uneven_load& uneven);
  void SetClasses(const std::vector<load_class>& classes) {
    classes_ = classes;
  }
  // Of all callers, and of one in each queue.
  void SetHabit(caller_habit habit) { habit_ = habit; }
  void SetHabitOfFirst(caller_habit habit) { habit_of_first_ = habit; }

  // `load` of 1 keeps all places for tasks busy.
  void Play(duration length, double load);
  // So many jobs of a queue come at one moment.
  void Crowd(const std::string& queue, int jobs);
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
  // Of each caller of the queue, the first one first.
  std::vector<caller_result> CallersOf(const std::string& queue);
  // Over all classes, by work: in time counts whole, late a fifth.
  double Worth() const;

 private:
  fake_upstream& AddUpstream(const std::string& id, const std::string& domain);
  void Rebirth(const std::string& id, const std::string& domain);
  void Arrive();
  void Ask(const load_class& kind);
  // A job in the hands of its caller.
  struct asked_job {
    run_job job;
    duration objective = duration::zero();
    caller_result* caller = nullptr;
    caller_habit habit = caller_habit::kLeave;
    time_point asked;
    int tries = 0;
  };
  void Try(asked_job asked);
  void OnRefused(asked_job asked, duration retry_after);
  // How long the longest task of a job of that kind takes at the usual speed.
  duration RunTime(const load_class& kind);
  int64_t TaskMillis();
  void ArriveCrasher();
  double Uniform(double from, double to);

  std::vector<load_class> classes_ = DeskClasses();
  bool uneven_ = false;
  std::mt19937_64 random_;
  // Arrivals stay the same whoever comes back.
  std::mt19937_64 returns_random_;
  std::map<std::string, duration> run_times_;
  std::map<std::string, load_result> results_;
  std::map<std::string, double> work_;
  std::map<std::string, std::vector<caller_result>> callers_;
  caller_habit habit_ = caller_habit::kLeave;
  std::optional<caller_habit> habit_of_first_;
  // For one task each, at the usual speed.
  double places_ = 0;
  int jobs_ = 0;
  int crashers_left_ = 0;
  int upstreams_lost_ = 0;
  int crashers_given_up_ = 0;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_LOAD_DAY_H_
