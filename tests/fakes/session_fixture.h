// One upstream under a session, with a log of what the session tells.

#ifndef TESTS_FAKES_SESSION_FIXTURE_H_
#define TESTS_FAKES_SESSION_FIXTURE_H_

#include <memory>
#include <utility>
#include <vector>

#include "fakes/fake_upstreams.h"

namespace jasminedyke {

inline const resource_amount kNeed{10'000, 0, 0};
inline const task_name kTask{job_key("00000000000000aa"), 0, {0, 1}};

inline std::vector<task_name> TasksOf(const upstream_loss& loss) {
  std::vector<task_name> tasks;
  for (const lost_run& run : loss.runs)
    tasks.push_back(run.task);
  return tasks;
}

struct session_log : upstream_session::owner {
  void OnRunEnded(upstream_session&,
                  const task_name& task,
                  run_number,
                  run_end how) override {
    ends.emplace_back(task, how);
  }
  void OnLost(upstream_session&, const upstream_loss& loss) override {
    lost = TasksOf(loss);
    lost_crashed = loss.crashed;
  }
  void OnFoundAgain(upstream_session&,
                    const upstream_loss& loss,
                    bool crashed) override {
    found_again = TasksOf(loss);
    found_crashed = crashed;
  }
  void OnReborn(upstream_session&) override { ++reborn; }
  void OnNotStarted(upstream_session&,
                    const task_name& task,
                    run_number,
                    start_result why) override {
    not_started.emplace_back(task, why);
  }
  bool OnStartUnanswered(upstream_session& session,
                         const task_name& task,
                         run_number) override {
    if (repeats)
      session.RepeatStart(task, "10000", std::nullopt);
    return repeats;
  }
  void OnFound(upstream_session& session,
               const task_name& task,
               run_number) override {
    found.push_back(task);
    if (adopt)
      session.Adopt(task, {10'000, 0, 0});
  }
  void OnCapacityChanged(upstream_session&) override {}
  void OnFenced(upstream_session&) override { ++fenced; }
  time_point EndOfRun(const task_name&) const override { return end_of_runs; }

  std::vector<std::pair<task_name, run_end>> ends;
  std::vector<std::pair<task_name, start_result>> not_started;
  std::vector<task_name> found;
  std::vector<task_name> lost;
  std::vector<task_name> found_again;
  bool lost_crashed = false;
  bool found_crashed = false;
  bool adopt = false;
  // Starts that go unanswered are sent again.
  bool repeats = false;
  // By which all runs must be over.
  time_point end_of_runs = time_point::max();
  int fenced = 0;
  int reborn = 0;
};

// Keeps each call until the test answers it.
struct scripted_port : upstream_port {
  void Start(const upstream_id&, const run_order&, start_callback) override {}
  void Stop(const upstream_id&, const stop_order&, stop_callback) override {}
  void Hold(const upstream_id&,
            const hold_order& order,
            hold_callback done) override {
    orders.push_back(order);
    holds.push_back(std::move(done));
  }
  void Drop(const upstream_id&) override {}

  std::vector<hold_order> orders;
  std::vector<hold_callback> holds;
};

inline hold_reply ListedAt(int64_t clock_ms, std::vector<listed_run> running) {
  hold_reply reply;
  reply.result = call_result::kOk;
  reply.clock = {clock_ms};
  reply.running = std::move(running);
  return reply;
}

struct session_fixture {
  session_fixture() : fleet(clock), port(fleet, "home") {
    upstream = &fleet.Add("u1", "north");
  }

  void Open(uint64_t token = 1) {
    session = std::make_unique<upstream_session>(
        clock, port, Info(), fencing_token(token), upstream_session::limits(),
        times, late, log);
    clock.Advance(std::chrono::milliseconds(10));
  }

  upstream_info& Info() { return fleet.registry.at(upstream_id("u1")); }

  void Start(const task_name& task) {
    session->Start(task, run_number(1), "10000", kNeed);
  }

  manual_scheduler clock;
  fake_fleet fleet;
  fake_upstream_port port;
  fake_upstream* upstream;
  session_log log;
  answer_times times;
  late_starts late;
  std::unique_ptr<upstream_session> session;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_SESSION_FIXTURE_H_
