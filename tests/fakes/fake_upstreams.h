// Upstreams on a test's clock that run tasks under leases, with the faults of
// real ones. All homes of a test share them.

#ifndef TESTS_FAKES_FAKE_UPSTREAMS_H_
#define TESTS_FAKES_FAKE_UPSTREAMS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/process_clock.h"
#include "runs/runs.h"

namespace jasminedyke {

// What happens to one call.
enum class call_fate {
  kAnswered,
  kRequestLost,  // never arrives
  kReplyLost,    // takes effect, no answer comes
  kDelayed,      // takes effect seconds later, no answer comes
};

// One upstream's state, as it is on the real one.
class fake_upstream {
 public:
  struct run {
    run_number number;
    resource_amount need;
    time_point ends;
    run_end how = run_end::kDone;
    time_point began;
    bool hangs = false;
  };

  explicit fake_upstream(scheduler& clock) : clock_(clock) {}

  upstream_time Clock() const;
  // Kills what has no lease, ends what is done.
  void Settle();
  start_reply Start(const run_order& order);
  call_result Stop(const stop_order& order);
  hold_reply Hold(const hold_order& order);
  // All is lost; an upstream of another id answers at its address.
  void Crash();
  // All is lost; it is back at once under its id, as another incarnation.
  void Rebirth(upstream_birth next);

  // Told with both lists, unless it is 0.
  upstream_birth birth;
  int lives = 1;
  std::map<task_name, run> running;
  std::vector<listed_end> ended;
  fencing_token highest_token;
  upstream_time lease_end;
  std::map<task_name, run_number> refused_up_to;
  resource_amount capacity{32'000, 65'536, 0};
  // 2 runs a task in half the time.
  double speed = 1;
  // How fast its clock is.
  double clock_rate = 1;
  bool guarded = true;
  bool unwell = false;
  // Refuses all orders as malformed.
  bool rejects = false;
  bool gone = false;
  // Nothing arrives.
  bool down = false;
  // Of each task: whether it takes the upstream down some time after its start,
  // and what then happens besides.
  std::function<bool(const task_name&)> crashes;
  std::function<void()> on_crash;
  bool lists_progress = false;
  // Of each task: it never advances, though it may be stopped.
  std::function<bool(const task_name&)> hangs;
  // Of each task: how long it runs at the usual speed and how it ends.
  std::function<std::pair<duration, run_end>(const task_name&)> plan;
  // For tests of what ran at all.
  std::map<task_name, int> starts;

 private:
  void End(const task_name& task, run_end how);
  // Prolongs the lease, at most by the longest one that upstreams grant.
  void Lease(upstream_time until);

  scheduler& clock_;
  time_point born_ = clock_.now();
  uint64_t last_end_ = 0;
};

// The upstreams by id, and the calls that are on their way.
class fake_fleet {
 public:
  explicit fake_fleet(scheduler& clock) : clock(clock) {}

  fake_upstream& Add(const std::string& id, const std::string& domain);
  // True while some task has two runs at one time.
  bool AnyTaskRunsTwice();

  scheduler& clock;
  std::map<upstream_id, std::unique_ptr<fake_upstream>> upstreams;
  upstream_registry registry;
  // Called for each call of each home.
  std::function<call_fate(const upstream_id&, const std::string& home)> fate =
      [](const upstream_id&, const std::string&) {
        return call_fate::kAnswered;
      };
  // Orders to start never arrive.
  bool loses_starts = false;
  duration way = std::chrono::microseconds(300);
  // Of each message beyond `way`: differing ones let messages overtake others.
  std::function<duration()> detour = [] { return duration::zero(); };
  duration late = std::chrono::seconds(3);
};

// One home's calls to the fleet.
class fake_upstream_port : public upstream_port {
 public:
  fake_upstream_port(fake_fleet& fleet, std::string home)
      : fleet_(fleet), home_(std::move(home)) {}

  void Start(const upstream_id& id,
             const run_order& order,
             start_callback done) override;
  void Stop(const upstream_id& id,
            const stop_order& order,
            stop_callback done) override;
  void Hold(const upstream_id& id,
            const hold_order& order,
            hold_callback done) override;
  void Drop(const upstream_id& id) override { ++generations_[id]; }

  // While it returns true, orders to stop a run never arrive.
  std::function<bool()> lose_stops = [] { return false; };

  // As when the process is killed: it calls nobody, and no answer reaches it.
  void Die() { dead_ = true; }

  // If set, answers reach this process.
  process_clock* process = nullptr;

 private:
  // Hands an answer to the process.
  template <class Reply>
  std::function<void(const Reply&)> ToProcess(
      std::function<void(const Reply&)> done) {
    if (!process)
      return done;
    return [this, done = std::move(done)](const Reply& reply) {
      process->Arrive([this, done, reply] {
        if (!dead_)
          done(reply);
      });
    };
  }
  call_fate Fate(const upstream_id& id) {
    return fleet_.upstreams.at(id)->down ? call_fate::kRequestLost
                                         : fleet_.fate(id, home_);
  }
  // Carries `act` out at the upstream and brings its result back, or not.
  template <class Reply>
  void Call(const upstream_id& id,
            call_fate fate,
            duration timeout,
            std::function<Reply(fake_upstream&)> act,
            Reply unanswered,
            std::function<void(const Reply&)> done);
  void WaitForEnd(const upstream_id& id,
                  const hold_order& order,
                  time_point until,
                  uint64_t generation,
                  int life,
                  const std::function<void(const hold_reply&)>& done);

  fake_fleet& fleet_;
  std::string home_;
  bool dead_ = false;
  std::map<upstream_id, uint64_t> generations_;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_FAKE_UPSTREAMS_H_
