// An upstream that crashes and is back under its id: what is over, what is not
// proven yet, and that nothing of one incarnation is taken for another's.

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

hold_reply TellsAt(upstream_birth birth,
                   int64_t clock_ms,
                   std::vector<listed_run> running = {}) {
  hold_reply reply = ListedAt(clock_ms, std::move(running));
  reply.birth = birth;
  return reply;
}

// The upstream tells its birth, and its tasks take a second.
struct rebirth_fixture : session_fixture {
  rebirth_fixture() {
    upstream->birth = kFirst;
    Info().birth = kFirst;
    upstream->plan = [](const task_name&) {
      return std::pair<duration, run_end>(milliseconds(1000), run_end::kDone);
    };
    Open();
  }

  // Runs `task` until a hold has listed it.
  void RunListed(const task_name& task) {
    Start(task);
    clock.Advance(milliseconds(60));
  }

  void Register(upstream_birth birth) {
    Info().birth = birth;
    session->SetInfo(Info());
  }

  void CutOff(bool cut) {
    fleet.fate = [cut](const upstream_id&, const std::string&) {
      return cut ? call_fate::kRequestLost : call_fate::kAnswered;
    };
  }
};

}  // namespace

TEST_CASE("an upstream that is back before its registration lapsed") {
  // Taken for the old one, it would hold the tasks of the old one until their
  // leases ran out.
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
  // It may be of another kind.
  CHECK(!f.session->usable());
  f.Register(kSecond);
  CHECK(f.log.reborn == 1);
  CHECK(f.session->usable());
}

TEST_CASE("a registration is the first to tell of an incarnation") {
  // The proof must not wait for a call that happens to fail.
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

TEST_CASE("an upstream that crashes and returns behind a cut") {
  // Its registration proves the crash before a lease has run out.
  rebirth_fixture f;
  f.RunListed(kTask);
  f.CutOff(true);
  f.upstream->Rebirth(kSecond);
  f.clock.Advance(milliseconds(200));
  CHECK(f.log.ends.empty());
  f.Register(kSecond);
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.log.lost_crashed);
  f.clock.Advance(milliseconds(3000));
  CHECK(!f.session->usable());
  f.CutOff(false);
  f.clock.Advance(milliseconds(1500));
  CHECK(f.session->usable());
  CHECK(f.log.ends.size() == 1);
}

TEST_CASE("a crash that is learnt after the cut") {
  // The runs were told as lost; that they were lost by a crash comes later.
  rebirth_fixture f;
  f.RunListed(kTask);
  f.CutOff(true);
  f.clock.Advance(milliseconds(3000));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(!f.log.lost_crashed);
  f.upstream->Rebirth(kSecond);
  f.CutOff(false);
  f.clock.Advance(milliseconds(1500));
  CHECK(f.log.found_again == std::vector{kTask});
  CHECK(f.log.found_crashed);
  CHECK(f.log.ends.size() == 1);
}

TEST_CASE("a list of ends that starts anew") {
  // With the old one's number kept, the first ends of the new one would count
  // as told, and the acknowledgement would have it forget them.
  rebirth_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(20), run_end::kDone);
  };
  for (uint32_t i = 0; i < 5; ++i) {
    f.Start(Task(i));
    f.clock.Advance(milliseconds(30));
  }
  REQUIRE(f.log.ends.size() == 5);
  bool lose = false;
  SUBCASE("") {}
  SUBCASE("while answers get lost") {
    lose = true;
  }
  f.upstream->Rebirth(kSecond);
  f.Register(kSecond);
  f.clock.Advance(milliseconds(10));
  int call = 0;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return lose && ++call % 2 == 0 ? call_fate::kReplyLost
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
  f.CutOff(false);
  f.clock.Advance(milliseconds(1500));
  CHECK(f.upstream->ended.empty());
}

TEST_CASE("no acknowledgement goes to whoever may be the next incarnation") {
  // After a call without an answer another incarnation may get the next one.
  // With the old one's number it would forget ends of its own unseen.
  session_fixture f;
  f.Info().birth = kFirst;
  scripted_port port;
  upstream_session session(f.clock, port, f.Info(), fencing_token(1),
                           upstream_session::limits(), f.times, f.log);
  hold_reply with_end = TellsAt(kFirst, 1000);
  with_end.ended.push_back({7, kTask, run_number(1), run_end::kDone});
  port.holds.at(0)(with_end);
  f.clock.Advance(milliseconds(1001));
  REQUIRE(port.orders.size() == 2);
  CHECK(port.orders[1].acknowledged == 7);
  port.holds.at(1)(hold_reply());
  f.clock.Advance(milliseconds(100));
  REQUIRE(port.orders.size() == 3);
  CHECK(port.orders[2].acknowledged == 0);
  port.holds.at(2)(TellsAt(kFirst, 2100));
  f.clock.Advance(milliseconds(1));
  CHECK(port.orders.back().acknowledged == 7);
}

TEST_CASE("leases and time limits are reckoned on the new clock") {
  // On the old one's, orders would have a limit that lies hours ahead, and no
  // lease would ever count as over.
  rebirth_fixture f;
  f.clock.Advance(std::chrono::hours(2));
  f.upstream->Rebirth(kSecond);
  f.Register(kSecond);
  f.clock.Advance(milliseconds(20));
  f.RunListed(kTask);
  CHECK(f.upstream->lease_end.ms - f.upstream->Clock().ms <= 1001);
  f.CutOff(true);
  f.clock.Advance(milliseconds(2500));
  REQUIRE(f.log.ends.size() == 1);
  f.upstream->Settle();
  CHECK(f.upstream->running.empty());
}

TEST_CASE(
    "an answer of the old incarnation that arrives after one of the new") {
  // It would bring back runs that are dead and ends that are not to be counted
  // on, and its clock would be taken for the new one's.
  session_fixture f;
  f.Info().birth = kFirst;
  scripted_port port;
  upstream_session session(f.clock, port, f.Info(), fencing_token(1),
                           upstream_session::limits(), f.times, f.log);
  port.holds.at(0)(TellsAt(kFirst, 50'000));
  session.Start(kTask, run_number(1), "10000", kNeed);
  f.clock.Advance(milliseconds(40));
  REQUIRE(port.holds.size() == 3);
  port.holds.at(2)(TellsAt(kSecond, 100));
  CHECK(f.log.reborn == 1);
  hold_reply old = TellsAt(kFirst, 50'030, {{kTask, run_number(1), {}}});
  old.ended.push_back({9, Task(2), run_number(1), run_end::kDone});
  port.holds.at(1)(old);
  CHECK(f.log.reborn == 1);
  CHECK(f.log.ends.empty());
  CHECK(f.log.found.empty());
}

TEST_CASE(
    "an order for the old incarnation that the new one carries out late") {
  // Its time limit lies in the new clock's future, and the new one has seen no
  // token. The task must not start elsewhere before the new one has refused its
  // run, and "not run" would be a lie: the old one may have begun it.
  rebirth_fixture f;
  f.clock.Advance(std::chrono::hours(1));
  f.fleet.late = milliseconds(700);
  bool first = true;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return std::exchange(first, false) ? call_fate::kDelayed
                                       : call_fate::kAnswered;
  };
  bool stops_arrive = true;
  SUBCASE("after it was told to refuse it") {}
  SUBCASE("before that") {
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

TEST_CASE("an order that may reach the next incarnation behind a cut") {
  // The lease on the old clock says nothing of it.
  rebirth_fixture f;
  f.clock.Advance(std::chrono::hours(1));
  f.fleet.late = milliseconds(5000);
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return call_fate::kDelayed;
  };
  f.Start(kTask);
  f.CutOff(true);
  f.clock.Advance(milliseconds(1000));
  f.upstream->Rebirth(kSecond);
  f.clock.Advance(milliseconds(4100));
  CHECK(f.log.ends.empty());
  REQUIRE(f.upstream->running.size() == 1);
  f.CutOff(false);
  f.clock.Advance(milliseconds(3000));
  REQUIRE(f.log.ends.size() == 1);
  CHECK(f.upstream->running.empty());
}

TEST_CASE("a start that the new incarnation answers") {
  // Known as begun by its start's answer alone, it must not count as lost with
  // the old one when a registration tells of the new one.
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

TEST_CASE("a home that meets an incarnation its predecessor did not know") {
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

TEST_CASE("births that are told wrongly") {
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
  SUBCASE("missing in one of two answers") {
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
  SUBCASE("by an incarnation whose time of day was set back") {
    f.upstream->Rebirth(upstream_birth(kFirst.value() - 5000));
    f.clock.Advance(milliseconds(100));
    f.Register(upstream_birth(kFirst.value() - 5000));
    f.clock.Advance(milliseconds(10));
    CHECK(f.session->usable());
    CHECK(f.log.reborn == 1);
    CHECK(f.log.ends.size() == 1);
  }
}

TEST_CASE("an instance of an older release passes on no births") {
  // The runs there must not count as lost when the store's row tells one.
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
