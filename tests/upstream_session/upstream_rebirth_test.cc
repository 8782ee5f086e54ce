// Tests of sessions whose upstream crashes and restarts under the same id:
// which runs are over, which may not be, and that the state of two incarnations
// is kept apart.

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/session_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const upstream_birth kFirst(1'700'000'000'000);
const upstream_birth kSecond(1'700'000'005'000);
const upstream_birth kThird(1'700'000'005'400);

task_name Task(uint32_t index) {
  task_name task = kTask;
  task.position.index = index;
  return task;
}

hold_reply ListedAtWithBirth(upstream_birth birth,
                             int64_t clock_ms,
                             std::vector<listed_run> running = {}) {
  hold_reply reply = ListedAt(clock_ms, std::move(running));
  reply.birth = birth;
  return reply;
}

// The upstream includes its birth in replies, and its tasks take one second.
struct rebirth_fixture : session_fixture {
  rebirth_fixture() {
    upstream->birth = kFirst;
    Info().birth = kFirst;
    upstream->plan = [](const task_name&) {
      return std::pair<duration, run_end>(milliseconds(1000), run_end::kDone);
    };
    Open();
  }

  // Starts `task` and waits until a hold has listed it.
  void RunListed(const task_name& task) {
    Start(task);
    clock.Advance(milliseconds(60));
  }

  void Register(upstream_birth birth) {
    Info().birth = birth;
    session->SetInfo(Info());
  }

  void SetUnreachable(bool unreachable) {
    fleet.fate = [unreachable](const upstream_id&, const std::string&) {
      return unreachable ? call_fate::kRequestLost : call_fate::kAnswered;
    };
  }
};

}  // namespace

TEST_CASE("an upstream that restarts before its registration lapses") {
  // If the new incarnation were taken for the old one, tasks lost in the crash
  // would count as running until their lease expired.
  rebirth_fixture f;
  f.RunListed(kTask);
  f.upstream->Rebirth(kSecond);
  f.clock.Advance(milliseconds(100));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kLapsed);
  CHECK(f.log.lost == std::vector{kTask});
  CHECK(f.log.lost_crashed);
  CHECK(f.log.reborn == 1);
  CHECK(f.session->idle());
  // The capacity of the new incarnation is unknown until it registers.
  CHECK(!f.session->usable());
  f.Register(kSecond);
  CHECK(f.log.reborn == 1);
  CHECK(f.session->usable());
}

TEST_CASE("a start that was refused arrives at the next incarnation") {
  // Guards against a run beside the task's next one: a confirmed stop counted
  // as proof for all incarnations, and the next one knows nothing of it.
  rebirth_fixture f;
  // The order's limit lies ahead on the clock of the next incarnation.
  f.clock.Advance(milliseconds(8000));
  f.fleet.late = milliseconds(3000);
  f.fleet.fate = [](const upstream_id&, const std::string&) {
    return call_fate::kDelayed;
  };
  f.Start(kTask);
  f.SetUnreachable(false);
  f.clock.Advance(milliseconds(600));
  REQUIRE(f.log.not_started.size() == 1);
  f.upstream->Rebirth(kSecond);
  SUBCASE("which a hold reveals") {}
  SUBCASE("which its registration reveals") {
    f.Register(kSecond);
  }
  SUBCASE("which is out of reach at first") {
    f.SetUnreachable(true);
    f.Register(kSecond);
    f.clock.Advance(milliseconds(1200));
    f.SetUnreachable(false);
  }
  SUBCASE("after one more") {
    f.clock.Advance(milliseconds(800));
    f.upstream->Rebirth(kThird);
  }
  f.clock.Advance(milliseconds(4000));
  CHECK(f.upstream->starts.empty());
  CHECK(f.session->idle());
}

TEST_CASE("a registration reveals a new incarnation first") {
  // The end of the old runs must not be delayed until a call fails.
  rebirth_fixture f;
  f.RunListed(kTask);
  f.upstream->Rebirth(kSecond);
  f.Register(kSecond);
  CHECK(f.log.ends.size() == 1);
  CHECK(f.log.lost_crashed);
  CHECK(!f.session->usable());
  f.clock.Advance(milliseconds(10));
  CHECK(f.session->usable());
  CHECK(f.log.reborn == 1);
}

TEST_CASE("an upstream that crashes twice within a second") {
  rebirth_fixture f;
  f.RunListed(kTask);
  f.upstream->Rebirth(kSecond);
  f.Register(kSecond);
  f.clock.Advance(milliseconds(20));
  f.RunListed(Task(2));
  f.upstream->Rebirth(kThird);
  f.clock.Advance(milliseconds(400));
  f.Register(kThird);
  CHECK(f.log.ends.size() == 2);
  CHECK(f.log.reborn == 2);
  f.RunListed(Task(3));
  f.clock.Advance(milliseconds(1000));
  REQUIRE(f.log.ends.size() == 3);
  CHECK(f.log.ends[2].second == run_end::kDone);
}

TEST_CASE("an upstream that crashes and restarts while it is unreachable") {
  // Its registration proves the crash before the lease has expired.
  rebirth_fixture f;
  f.RunListed(kTask);
  f.SetUnreachable(true);
  f.upstream->Rebirth(kSecond);
  f.clock.Advance(milliseconds(200));
  CHECK(f.log.ends.empty());
  f.Register(kSecond);
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.lost_crashed);
  f.clock.Advance(milliseconds(3000));
  CHECK(!f.session->usable());
  f.SetUnreachable(false);
  f.clock.Advance(milliseconds(1500));
  CHECK(f.session->usable());
  CHECK(f.log.ends.size() == 1);
}

TEST_CASE("a crash that is learnt when the upstream is reachable again") {
  // The runs have been reported as lost; the crash is reported later.
  rebirth_fixture f;
  f.RunListed(kTask);
  f.SetUnreachable(true);
  f.clock.Advance(milliseconds(3000));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(!f.log.lost_crashed);
  f.upstream->Rebirth(kSecond);
  f.SetUnreachable(false);
  f.clock.Advance(milliseconds(1500));
  CHECK(f.log.found_again == std::vector{kTask});
  CHECK(f.log.found_crashed);
  CHECK(f.log.ends.size() == 1);
}

TEST_CASE("a list of ends that restarts") {
  // If the old list's sequence number were kept, the first ends of the new list
  // would be taken for duplicates, and acknowledging the number would make the
  // upstream remove them.
  rebirth_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(20), run_end::kDone);
  };
  for (uint32_t i = 0; i < 5; ++i) {
    f.Start(Task(i));
    f.clock.Advance(milliseconds(30));
  }
  REQUIRE(f.log.ends.size() == 5);
  bool lose_replies = false;
  SUBCASE("") {}
  SUBCASE("while replies are lost") {
    lose_replies = true;
  }
  f.upstream->Rebirth(kSecond);
  f.Register(kSecond);
  f.clock.Advance(milliseconds(10));
  int call = 0;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return lose_replies && ++call % 2 == 0 ? call_fate::kReplyLost
                                           : call_fate::kAnswered;
  };
  for (uint32_t i = 10; i < 13; ++i) {
    while (!f.session->usable())
      f.clock.Advance(milliseconds(5));
    f.Start(Task(i));
    f.clock.Advance(milliseconds(700));
  }
  REQUIRE(f.log.ends.size() == 8);
  for (const auto& [task, how] : f.log.ends)
    CHECK(how == run_end::kDone);
  f.SetUnreachable(false);
  f.clock.Advance(milliseconds(1500));
  CHECK(f.upstream->ended.empty());
}

TEST_CASE("no acknowledgement is sent to a possible new incarnation") {
  // After an unanswered call another incarnation may receive the next one. The
  // old incarnation's sequence number would make it remove ends of its own that
  // the owner has not received.
  session_fixture f;
  f.Info().birth = kFirst;
  scripted_port port;
  upstream_session session(f.clock, port, f.Info(), fencing_token(1),
                           upstream_session::limits(), f.times, f.late, f.log);
  hold_reply with_end = ListedAtWithBirth(kFirst, 1000);
  with_end.ended.push_back({7, kTask, run_number(1), run_end::kDone});
  port.holds.at(0)(with_end);
  f.clock.Advance(milliseconds(1001));
  REQUIRE(port.orders.size() == 2);
  CHECK(port.orders[1].acknowledged == 7);
  port.holds.at(1)(hold_reply());
  f.clock.Advance(milliseconds(100));
  REQUIRE(port.orders.size() == 3);
  CHECK(port.orders[2].acknowledged == 0);
  port.holds.at(2)(ListedAtWithBirth(kFirst, 2100));
  f.clock.Advance(milliseconds(1));
  CHECK(port.orders.back().acknowledged == 7);
}

TEST_CASE("leases and time limits are computed for the new clock") {
  // If they were computed for the old clock, orders would have a time limit
  // that is hours ahead on the new one, and leases would not expire.
  rebirth_fixture f;
  f.clock.Advance(std::chrono::hours(2));
  f.upstream->Rebirth(kSecond);
  f.Register(kSecond);
  f.clock.Advance(milliseconds(20));
  f.RunListed(kTask);
  CHECK(f.upstream->lease_end.ms - f.upstream->Clock().ms <= 1001);
  f.SetUnreachable(true);
  f.clock.Advance(milliseconds(2500));
  REQUIRE(f.log.ends.size() == 1);
  f.upstream->Settle();
  CHECK(f.upstream->running.empty());
}

TEST_CASE("a reply of the old incarnation that arrives after one of the new") {
  // If it were applied, ended runs would be added again, ends of the old
  // incarnation would be accepted, and its clock would be taken for the new
  // one.
  session_fixture f;
  f.Info().birth = kFirst;
  scripted_port port;
  upstream_session session(f.clock, port, f.Info(), fencing_token(1),
                           upstream_session::limits(), f.times, f.late, f.log);
  port.holds.at(0)(ListedAtWithBirth(kFirst, 50'000));
  session.Start(kTask, run_number(1), "10000", kNeed);
  f.clock.Advance(milliseconds(40));
  REQUIRE(port.holds.size() == 3);
  port.holds.at(2)(ListedAtWithBirth(kSecond, 100));
  CHECK(f.log.reborn == 1);
  hold_reply old =
      ListedAtWithBirth(kFirst, 50'030, {{kTask, run_number(1), {}}});
  old.ended.push_back({9, Task(2), run_number(1), run_end::kDone});
  port.holds.at(1)(old);
  CHECK(f.log.reborn == 1);
  CHECK(f.log.ends.empty());
  CHECK(f.log.found.empty());
}

TEST_CASE("an order for the old incarnation that the new one executes late") {
  // The order's time limit is in the future on the new clock, and the new
  // incarnation has seen no token that would fence the order. The task must not
  // start elsewhere before the new incarnation has refused the run. The run
  // must not be reported as never started, as the old incarnation may have
  // started it.
  rebirth_fixture f;
  f.clock.Advance(std::chrono::hours(1));
  f.fleet.late = milliseconds(700);
  bool first = true;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return std::exchange(first, false) ? call_fate::kDelayed
                                       : call_fate::kAnswered;
  };
  bool stops_arrive = true;
  SUBCASE("after it has confirmed the stop") {}
  SUBCASE("before it has confirmed the stop") {
    stops_arrive = false;
  }
  f.port.lose_stops = [&] { return !stops_arrive; };
  f.Start(kTask);
  f.clock.Advance(milliseconds(5));
  f.upstream->Rebirth(kSecond);
  f.Register(kSecond);
  CHECK(f.log.ends.empty());
  f.clock.Advance(milliseconds(600));
  CHECK(f.log.not_started.empty());
  CHECK(f.session->idle() == stops_arrive);
  f.clock.Advance(milliseconds(2000));
  CHECK(f.log.not_started.empty());
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.upstream->starts[kTask] == (stops_arrive ? 0 : 1));
  CHECK(f.log.ends[0].second ==
        (stops_arrive ? run_end::kLapsed : run_end::kDone));
}

TEST_CASE("an order that may reach an unreachable new incarnation") {
  // The expiry of the lease on the old clock does not prove that the run is
  // over.
  rebirth_fixture f;
  f.clock.Advance(std::chrono::hours(1));
  f.fleet.late = milliseconds(5000);
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return call_fate::kDelayed;
  };
  f.Start(kTask);
  f.SetUnreachable(true);
  f.clock.Advance(milliseconds(1000));
  f.upstream->Rebirth(kSecond);
  f.clock.Advance(milliseconds(4100));
  CHECK(f.log.ends.empty());
  REQUIRE(f.upstream->running.size() == 1);
  f.SetUnreachable(false);
  f.clock.Advance(milliseconds(3000));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.upstream->running.empty());
}

TEST_CASE("a start that the new incarnation executes") {
  // Only the reply to the start shows that the run has started. The run must
  // not count as lost with the old incarnation when the new one's registration
  // arrives.
  rebirth_fixture f;
  f.clock.Advance(milliseconds(400));
  f.upstream->Rebirth(kSecond);
  f.Start(kTask);
  f.clock.Advance(std::chrono::microseconds(700));
  REQUIRE(f.upstream->running.size() == 1);
  f.Register(kSecond);
  CHECK(f.log.ends.empty());
  f.clock.Advance(milliseconds(900));
  CHECK(f.log.ends.empty());
  f.clock.Advance(milliseconds(200));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.ends[0].second == run_end::kDone);
}

TEST_CASE("a home that finds an incarnation unknown to its predecessor") {
  rebirth_fixture f;
  f.RunListed(kTask);
  f.session.reset();
  f.upstream->Rebirth(kSecond);
  f.log = session_log();
  f.Open(2);
  CHECK(f.session->settled());
  CHECK(f.log.reborn == 1);
  CHECK(f.log.found.empty());
  CHECK(f.log.lost.empty());
  f.Register(kSecond);
  CHECK(f.session->usable());
  CHECK(f.upstream->highest_token == fencing_token(2));
}

TEST_CASE("incorrect births") {
  rebirth_fixture f;
  f.RunListed(kTask);
  SUBCASE("a registration that is read late") {
    f.upstream->Rebirth(kSecond);
    f.Register(kSecond);
    f.clock.Advance(milliseconds(10));
    f.RunListed(Task(2));
    f.log.ends.clear();
    f.Register(kFirst);
    CHECK(f.session->usable());
    f.clock.Advance(milliseconds(200));
    CHECK(f.session->usable());
    CHECK(f.log.ends.empty());
    CHECK(f.log.reborn == 1);
  }
  SUBCASE("missing in some replies") {
    f.upstream->birth = upstream_birth();
    f.clock.Advance(milliseconds(320));
    f.upstream->birth = kFirst;
    f.clock.Advance(milliseconds(200));
    CHECK(f.session->usable());
    CHECK(f.log.ends.empty());
    CHECK(f.log.reborn == 0);
  }
  SUBCASE("missing in a registration") {
    f.Register(upstream_birth());
    CHECK(f.session->usable());
    f.clock.Advance(milliseconds(200));
    f.Register(kFirst);
    CHECK(f.session->usable());
    CHECK(f.log.ends.empty());
    CHECK(f.log.reborn == 0);
  }
  SUBCASE("of an incarnation whose time of day was set back") {
    f.upstream->Rebirth(upstream_birth(kFirst.value() - 5000));
    f.clock.Advance(milliseconds(100));
    f.Register(upstream_birth(kFirst.value() - 5000));
    f.clock.Advance(milliseconds(10));
    CHECK(f.session->usable());
    CHECK(f.log.reborn == 1);
    CHECK(f.log.ends.size() == 1);
  }
}

TEST_CASE("an instance of an older release omits births") {
  // The runs must not count as lost when the store's row later contains a
  // birth.
  rebirth_fixture f;
  f.session.reset();
  f.Info().birth = upstream_birth();
  f.Open(2);
  f.RunListed(kTask);
  f.Register(kFirst);
  f.clock.Advance(milliseconds(100));
  CHECK(f.log.reborn == 0);
  CHECK(f.log.ends.empty());
  CHECK(f.session->usable());
}

}  // namespace jasminedyke
