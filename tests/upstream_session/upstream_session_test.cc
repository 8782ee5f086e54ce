// Tests of upstream sessions: leases, lost replies, and what proves that a run
// is over.

#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/session_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE("a run's end is reported once and acknowledged") {
  session_fixture f;
  f.Open();
  REQUIRE(f.session->usable());
  f.Start(kTask);
  CHECK(f.session->room().cpu_millis == 22'000);
  f.clock.Advance(milliseconds(60));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kDone);
  CHECK(f.session->room().cpu_millis == 32'000);
  f.clock.Advance(milliseconds(1000));
  CHECK(f.log.ends.size() == 1);
  CHECK(f.upstream->ended.empty());
}

TEST_CASE("a long run's lease is extended") {
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(5000), run_end::kDone);
  };
  f.Open();
  f.Start(kTask);
  f.clock.Advance(milliseconds(5100));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kDone);
}

// Guards against taking the runs of an earlier owner for over: the upstream was
// silent for so long that it counted as settled, answers once, and is silent
// again while the earlier owner's lease goes on.
TEST_CASE("an upstream settled without a reply has an unknown lease") {
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(9000), run_end::kDone);
  };
  auto lease = [&] { return upstream_time{f.upstream->Clock().ms + 850}; };
  f.upstream->Start({kTask, run_number(1), "10000", fencing_token(1), lease()});
  f.upstream->down = true;
  f.Open(2);
  for (int i = 0; i < 28; ++i) {
    f.upstream->Hold({fencing_token(1), 0, lease(), duration::zero()});
    f.clock.Advance(milliseconds(100));
  }
  REQUIRE(f.session->settled());
  CHECK(!f.session->heard());
  f.upstream->down = false;
  for (int i = 0; i < 2000 && f.log.found.empty(); ++i) {
    f.upstream->Hold({fencing_token(1), 0, lease(), duration::zero()});
    f.clock.Advance(milliseconds(1));
  }
  REQUIRE(f.log.found.size() == 1);
  f.upstream->down = true;
  for (int i = 0; i < 3000 && f.log.ends.empty(); ++i)
    f.clock.Advance(milliseconds(1));
  REQUIRE(f.log.ends.size() == 1);
  f.upstream->Settle();
  CHECK(f.upstream->running.empty());
}

// Guards against runs that go on until a hold lists them again, as an order to
// stop was lost.
TEST_CASE("an order to stop that goes unanswered is repeated") {
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(5000), run_end::kDone);
  };
  f.Open();
  f.Start(kTask);
  f.clock.Advance(milliseconds(700));
  int lost = 2;
  f.port.lose_stops = [&] { return lost-- > 0; };
  f.session->Stop(kTask);
  f.clock.Advance(milliseconds(250));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kStopped);
}

// Guards against leases that are prolonged for a run whose owner may be lost.
TEST_CASE("a lease ends by the time by which a run must be over") {
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(5000), run_end::kDone);
  };
  f.Open();
  f.Start(kTask);
  f.clock.Advance(milliseconds(700));
  REQUIRE(f.session->usable());
  f.log.end_of_runs = f.clock.boot_now() + milliseconds(1250);
  f.clock.Advance(milliseconds(1000));
  // A start would prolong the lease of the run.
  CHECK(f.session->IsLeaseCut());
  f.clock.Advance(milliseconds(251));
  f.upstream->Settle();
  CHECK(f.upstream->running.empty());
}

// Guards against runs that end although their owner is heard again in time.
TEST_CASE("a lease is prolonged again once its runs may go on") {
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(5000), run_end::kDone);
  };
  f.Open();
  f.Start(kTask);
  f.clock.Advance(milliseconds(700));
  f.log.end_of_runs = f.clock.boot_now() + milliseconds(1250);
  f.clock.Advance(milliseconds(1100));
  f.log.end_of_runs = time_point::max();
  f.clock.Advance(milliseconds(4000));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kDone);
}

TEST_CASE("a start whose reply is lost") {
  // The session must not report the run as not started while the order may
  // still take effect, or the task would start elsewhere and could run twice at
  // a time. It must wait until the order's time limit has passed or the
  // upstream has confirmed the stop, and a hold then shows that the run is not
  // there.
  session_fixture f;
  f.Open();
  call_fate fate = call_fate::kDelayed;
  bool stops_arrive = true;
  duration not_before = milliseconds(25);
  duration by = milliseconds(40);
  SUBCASE("because the order never arrived") {
    fate = call_fate::kRequestLost;
  }
  SUBCASE("because the order arrives after seconds") {}
  SUBCASE("and stop orders are lost too") {
    stops_arrive = false;
    not_before = milliseconds(480);
    by = milliseconds(1250);
  }
  bool first = true;
  f.port.lose_stops = [&] { return !stops_arrive; };
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return std::exchange(first, false) ? fate : call_fate::kAnswered;
  };
  f.Start(kTask);
  f.clock.Advance(not_before);
  CHECK(f.log.not_started.empty());
  CHECK(f.session->room().cpu_millis == 22'000);
  f.clock.Advance(by - not_before);
  REQUIRE(f.log.not_started.size() == 1);
  CHECK((f.upstream->refused_up_to[kTask] == run_number(1)) == stops_arrive);
  CHECK(f.session->usable());
  f.clock.Advance(milliseconds(5000));
  CHECK(f.upstream->starts[kTask] == 0);
  CHECK(f.log.ends.empty());
}

TEST_CASE("a start whose reply is lost after it took effect") {
  // The run is listed, so it counts as started, and its end is reported like
  // any other.
  session_fixture f;
  f.Open();
  bool first = true;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return std::exchange(first, false) ? call_fate::kReplyLost
                                       : call_fate::kAnswered;
  };
  f.Start(kTask);
  f.clock.Advance(milliseconds(1500));
  CHECK(f.log.not_started.empty());
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kDone);
}

TEST_CASE("ends are learnt in time while replies are lost") {
  // One call in ten is lost, including holds that wait for a run's end. Without
  // a second hold and polls, callers of short tasks would wait until the lost
  // hold times out: 8 % of orders unanswered have cost as much service as three
  // times the usual load. Runs tasks of 50 ms, one after the other.
  session_fixture f;
  f.Open();
  std::mt19937 random(7);
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return random() % 10 == 0 ? call_fate::kRequestLost : call_fate::kAnswered;
  };
  int in_time = 0;
  constexpr int kTasks = 200;
  for (int i = 0; i < kTasks; ++i) {
    task_name task = kTask;
    task.position.index = static_cast<uint32_t>(i);
    f.Start(task);
    f.clock.Advance(milliseconds(150));
    in_time += f.log.ends.empty() ? 0 : 1;
    while (f.log.ends.empty() && f.log.not_started.empty())
      f.clock.Advance(milliseconds(10));
    while (!f.session->usable())
      f.clock.Advance(milliseconds(1));
    f.log.ends.clear();
    f.log.not_started.clear();
  }
  // Nine starts in ten are answered; the owner would restart the other tasks.
  CHECK(in_time >= kTasks * 85 / 100);
}

TEST_CASE(
    "a hold answered before a run started, and read after it was listed") {
  // Guards against a second start of a task that still runs. Of two concurrent
  // holds, the earlier one lists a run that has just started. The later one,
  // which was answered before the run started, arrives afterwards without it.
  // The run must not count as lapsed.
  session_fixture f;
  scripted_port port;
  upstream_session session(
      f.clock, port, f.fleet.registry.at(upstream_id("u1")), fencing_token(1),
      upstream_session::limits(), f.times, f.late, f.log);
  f.clock.Advance(milliseconds(1));
  port.holds.at(0)(ListedAt(1000, {}));
  f.clock.Advance(milliseconds(10));
  session.Start(kTask, run_number(1), "10000", kNeed);
  f.clock.Advance(milliseconds(31));
  REQUIRE(port.holds.size() == 3);
  listed_run here{kTask, run_number(1), std::nullopt};
  port.holds.at(1)(ListedAt(1043, {here}));
  port.holds.at(2)(ListedAt(1041, {}));
  CHECK(f.log.ends.empty());
  CHECK(f.log.not_started.empty());
}

TEST_CASE("an old listing of a task's earlier run") {
  // Guards against a second start of a task that still runs. The task's first
  // run was stopped, and its second one was ordered on the same upstream. Then
  // a reply arrives that was written while the first run was there. If it were
  // taken for a listing of the second run, the next reply without that run
  // would prove its end.
  session_fixture f;
  scripted_port port;
  upstream_session session(
      f.clock, port, f.fleet.registry.at(upstream_id("u1")), fencing_token(1),
      upstream_session::limits(), f.times, f.late, f.log);
  f.clock.Advance(milliseconds(1));
  port.holds.at(0)(ListedAt(1000, {}));
  f.clock.Advance(milliseconds(10));
  session.Start(kTask, run_number(1), "10000", kNeed);
  f.clock.Advance(milliseconds(31));
  REQUIRE(port.holds.size() == 3);
  hold_reply with_end = ListedAt(1100, {});
  with_end.ended.push_back({1, kTask, run_number(1), run_end::kStopped});
  port.holds.at(1)(with_end);
  REQUIRE(f.log.ends.size() == 1);
  session.Start(kTask, run_number(2), "10000", kNeed);
  f.clock.Advance(milliseconds(1));
  // Two holds wait at the upstream, as a call went unanswered.
  REQUIRE(port.holds.size() == 5);
  port.holds.at(2)(ListedAt(1050, {{kTask, run_number(1), std::nullopt}}));
  f.clock.Advance(milliseconds(1));
  port.holds.at(3)(ListedAt(1101, {}));
  f.clock.Advance(milliseconds(1));
  REQUIRE(port.holds.size() == 6);
  port.holds.at(5)(ListedAt(1102, {}));
  CHECK(f.log.ends.size() == 1);
  CHECK(f.log.not_started.empty());
}

TEST_CASE("replies out of order reveal no runs of an earlier owner") {
  // A reply that was written before a run's end may arrive after the one that
  // contains the end. If the run were taken for one of an earlier owner, the
  // upstream would become unusable.
  session_fixture f;
  f.Open();
  std::mt19937 random(11);
  f.fleet.detour = [&] { return std::chrono::microseconds(random() % 8000); };
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return random() % 12 == 0 ? call_fate::kRequestLost : call_fate::kAnswered;
  };
  for (uint32_t i = 0; i < 1000; ++i) {
    task_name task = kTask;
    task.position.index = i;
    if (f.session->usable() && kNeed.Fits(f.session->room()))
      f.Start(task);
    f.clock.Advance(milliseconds(1 + random() % 40));
    REQUIRE(f.log.found.empty());
  }
  for (const auto& [task, how] : f.log.ends)
    CHECK(how != run_end::kLapsed);
  CHECK(f.log.ends.size() > 400);
}

TEST_CASE("an upstream that becomes unreachable") {
  // All calls are lost while a task runs. The run must be reported as lapsed
  // only when the last lease has expired, even on a clock that is 2 % slow.
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(60'000), run_end::kDone);
  };
  f.Open();
  f.Start(kTask);
  f.clock.Advance(milliseconds(100));
  f.fleet.fate = [](const upstream_id&, const std::string&) {
    return call_fate::kRequestLost;
  };
  // The waiting hold is still answered; its lease began up to 0.4 s ago.
  while (f.log.ends.empty()) {
    f.upstream->Settle();
    f.clock.Advance(milliseconds(10));
    REQUIRE(f.clock.now().time_since_epoch() < std::chrono::hours(2));
  }
  CHECK(f.log.ends[0].second == run_end::kLapsed);
  CHECK(f.upstream->running.empty());
  CHECK(!f.session->usable());
}

TEST_CASE("the next owner of an upstream") {
  // A home has failed while its task ran. Its successor must find the run, and
  // must not extend its lease before the run's job has claimed it, as the job
  // may have been submitted again and be running elsewhere.
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(3000), run_end::kDone);
  };
  f.Open(1);
  f.Start(kTask);
  f.clock.Advance(milliseconds(100));
  f.session.reset();
  SUBCASE("that finds no claim lets the run lapse") {
    f.Open(2);
    REQUIRE(f.log.found.size() == 1);
    CHECK(!f.session->usable());
    f.clock.Advance(milliseconds(1100));
    CHECK(f.upstream->running.empty());
    CHECK(f.session->usable());
  }
  SUBCASE("that finds a claim lets the run finish") {
    f.log.adopt = true;
    f.Open(2);
    f.clock.Advance(milliseconds(3000));
    REQUIRE(f.log.ends.size() == 1);
    CHECK(f.log.ends[0].second == run_end::kDone);
  }
}

TEST_CASE("a run of an earlier owner on an upstream that becomes unreachable") {
  // The successor has found the run and has not requested a lease, but the
  // earlier owner's last lease may have begun just before. The run must count
  // as over only when that lease has expired.
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(60'000), run_end::kDone);
  };
  f.Open(1);
  f.Start(kTask);
  f.clock.Advance(milliseconds(300));
  f.session.reset();
  f.Open(2);
  REQUIRE(f.log.found.size() == 1);
  f.fleet.fate = [](const upstream_id&, const std::string&) {
    return call_fate::kRequestLost;
  };
  while (f.log.ends.empty())
    f.clock.Advance(milliseconds(5));
  f.upstream->Settle();
  CHECK(f.upstream->running.empty());
}

TEST_CASE("calls of a replaced owner are refused") {
  // A home resumes from a pause after its successor has sent holds. All its
  // calls must be refused, and the session must report that it is fenced.
  session_fixture f;
  f.upstream->highest_token = fencing_token(9);
  f.Open(5);
  CHECK(f.log.fenced > 0);
  CHECK(!f.session->settled());
}

TEST_CASE("refusals of starts") {
  session_fixture f;
  f.Open();
  SUBCASE("an unwell upstream is given no starts for a while") {
    f.upstream->unwell = true;
    f.Start(kTask);
    f.clock.Advance(milliseconds(5));
    REQUIRE(f.log.not_started.size() == 1);
    CHECK(f.log.not_started[0].second == start_result::kUnwell);
    CHECK(!f.session->usable());
    f.clock.Advance(milliseconds(250));
    CHECK(f.session->usable());
  }
  SUBCASE("a run number that has been used") {
    f.upstream->refused_up_to[kTask] = run_number(3);
    f.Start(kTask);
    f.clock.Advance(milliseconds(5));
    REQUIRE(f.log.not_started.size() == 1);
    CHECK(f.log.not_started[0].second == start_result::kOldRun);
    CHECK(f.session->usable());
  }
  SUBCASE("another incarnation at the address") {
    f.upstream->Crash();
    f.Start(kTask);
    f.clock.Advance(milliseconds(5));
    REQUIRE(f.log.ends.size() == 1);
    CHECK(f.log.ends[0].second == run_end::kLapsed);
    CHECK(f.session->gone());
  }
}

TEST_CASE("a lost stop order is sent again") {
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(60'000), run_end::kDone);
  };
  f.Open();
  f.Start(kTask);
  f.clock.Advance(milliseconds(50));
  bool first = true;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return std::exchange(first, false) ? call_fate::kRequestLost
                                       : call_fate::kAnswered;
  };
  f.session->Stop(kTask);
  f.clock.Advance(milliseconds(1500));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kStopped);
}

// Guards against orders that are lost on a calm day and make the task late: the
// order is sent again to the same upstream, without a stop before.
TEST_CASE("a start that goes unanswered is sent again") {
  session_fixture f;
  f.log.repeats = true;
  f.Open();
  int lost = 0;
  SUBCASE("once") {
    lost = 1;
  }
  SUBCASE("twice") {
    lost = 2;
  }
  int calls = 0;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return calls++ < lost ? call_fate::kRequestLost : call_fate::kAnswered;
  };
  f.Start(kTask);
  f.clock.Advance(milliseconds(lost == 1 ? 50 : 120));
  CHECK(f.upstream->starts[kTask] == 1);
  CHECK(f.log.not_started.empty());
  f.clock.Advance(milliseconds(100));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kDone);
}

// Guards against a second run when the first order arrives after all, and the
// run of the second has ended.
TEST_CASE("a start that was sent again is carried out once") {
  session_fixture f;
  f.log.repeats = true;
  f.Open();
  f.fleet.late = milliseconds(200);
  int calls = 0;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return calls++ == 0 ? call_fate::kDelayed : call_fate::kAnswered;
  };
  f.Start(kTask);
  f.clock.Advance(milliseconds(1000));
  CHECK(f.upstream->starts[kTask] == 1);
  CHECK(f.log.ends.size() == 1);
  CHECK(f.session->idle());
}

// Guards against a task that stays on an upstream which takes no start: where
// its promise to refuse them holds for good, the task is moved.
TEST_CASE("a start that goes unanswered again and again") {
  session_fixture f;
  f.log.repeats = true;
  f.upstream->birth = upstream_birth(1'700'000'000'000);
  bool moves = false;
  SUBCASE("is moved if no other incarnation may take it") {
    f.upstream->birth = upstream_birth();
    moves = true;
  }
  SUBCASE("is not moved otherwise") {}
  f.Info().birth = f.upstream->birth;
  f.Open();
  f.fleet.loses_starts = true;
  f.Start(kTask);
  f.clock.Advance(milliseconds(1000));
  CHECK((f.log.not_started.size() == 1) == moves);
  CHECK(f.session->idle() == moves);
}

}  // namespace jasminedyke
