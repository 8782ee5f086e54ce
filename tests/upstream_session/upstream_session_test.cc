// One upstream under ownership: what counts as proof that a run is over.

#include <optional>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_upstreams.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

struct session_log : upstream_session::owner {
  void OnRunEnded(upstream_session&,
                  const task_name& task,
                  run_number,
                  run_end how) override {
    ends.emplace_back(task, how);
  }
  void OnNotStarted(upstream_session&,
                    const task_name& task,
                    run_number,
                    start_result why) override {
    not_started.emplace_back(task, why);
  }
  void OnFound(upstream_session& session,
               const task_name& task,
               run_number) override {
    found.push_back(task);
    if (adopt)
      session.Adopt(task, {10'000, 0, 0});
  }
  void OnRoom(upstream_session&) override {}
  void OnFenced(upstream_session&) override { ++fenced; }

  std::vector<std::pair<task_name, run_end>> ends;
  std::vector<std::pair<task_name, start_result>> not_started;
  std::vector<task_name> found;
  bool adopt = false;
  int fenced = 0;
};

struct session_fixture {
  session_fixture() : fleet(clock), port(fleet, "home") {
    upstream = &fleet.Add("u1", "north");
  }

  void Open(uint64_t token = 1) {
    session = std::make_unique<upstream_session>(
        clock, port, fleet.registry.at(upstream_id("u1")), fencing_token(token),
        upstream_session::limits(), log);
    clock.Advance(milliseconds(10));
  }

  void Start(const task_name& task) {
    session->Start(task, run_number(1), "10000", {10'000, 0, 0});
  }

  manual_scheduler clock;
  fake_fleet fleet;
  fake_upstream_port port;
  fake_upstream* upstream;
  session_log log;
  std::unique_ptr<upstream_session> session;
};

const task_name kTask{job_key("00000000000000aa"), 0, {0, 1}};

}  // namespace

TEST_CASE("a run's end is told once and acknowledged") {
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

TEST_CASE("a long run's lease is kept alive") {
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

TEST_CASE("a start whose answer is lost") {
  // The caller's task was started, or not, and no answer comes. The session
  // must not say "not started" before the order's own time is over and a hold
  // shows that the run is not there; otherwise the task would start elsewhere
  // and could run twice at one time.
  session_fixture f;
  f.Open();
  std::vector<call_fate> fates;
  SUBCASE("because the order never arrived") {
    fates = {call_fate::kRequestLost};
  }
  SUBCASE("because it arrives after seconds") {
    fates = {call_fate::kDelayed};
  }
  bool first = true;
  f.fleet.fate = [&](const upstream_id&, const std::string&) {
    return std::exchange(first, false) ? fates[0] : call_fate::kAnswered;
  };
  f.Start(kTask);
  f.clock.Advance(milliseconds(250));
  CHECK(f.log.not_started.empty());
  CHECK(f.session->room().cpu_millis == 22'000);
  f.clock.Advance(milliseconds(1000));
  REQUIRE(f.log.not_started.size() == 1);
  f.clock.Advance(milliseconds(5000));
  CHECK(f.upstream->starts[kTask] == 0);
  CHECK(f.log.ends.empty());
}

TEST_CASE("a start whose answer is lost after it took effect") {
  // No answer comes, but the run is listed: it counts as started, and its end
  // is told like any other.
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

TEST_CASE("an upstream that is cut off") {
  // All calls are lost while a task runs. Only when the lease that was last
  // given is over, also on a clock that is 2 % slow, is the run told as lapsed.
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
  // The hold that waits now still answers; its lease began up to 0.4 s ago.
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
  // A home died while its task ran. Its successor must see the run, and must
  // not prolong it before the run's job has claimed it: the job may have been
  // sent again, and be running elsewhere.
  session_fixture f;
  f.upstream->plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(3000), run_end::kDone);
  };
  f.Open(1);
  f.Start(kTask);
  f.clock.Advance(milliseconds(100));
  f.session.reset();
  SUBCASE("that finds no claim lets it lapse") {
    f.Open(2);
    REQUIRE(f.log.found.size() == 1);
    CHECK(!f.session->usable());
    f.clock.Advance(milliseconds(1100));
    CHECK(f.upstream->running.empty());
    CHECK(f.session->usable());
  }
  SUBCASE("that finds a claim brings it to its end") {
    f.log.adopt = true;
    f.Open(2);
    f.clock.Advance(milliseconds(3000));
    REQUIRE(f.log.ends.size() == 1);
    CHECK(f.log.ends[0].second == run_end::kDone);
  }
}

TEST_CASE("a run of an earlier owner on an upstream that is then cut off") {
  // The successor has seen the run and given no lease itself, but the earlier
  // owner's last lease may have begun just before. The run counts as over only
  // when that one is over too.
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

TEST_CASE("an owner that was replaced can do nothing") {
  // A paused home wakes up after its successor has held the upstream: every
  // call of its own is refused, and it is told so.
  session_fixture f;
  f.upstream->highest_token = fencing_token(9);
  f.Open(5);
  CHECK(f.log.fenced > 0);
  CHECK(!f.session->settled());
}

TEST_CASE("refusals of starts") {
  session_fixture f;
  f.Open();
  SUBCASE("an unwell upstream gets nothing for a while") {
    f.upstream->unwell = true;
    f.Start(kTask);
    f.clock.Advance(milliseconds(5));
    REQUIRE(f.log.not_started.size() == 1);
    CHECK(f.log.not_started[0].second == start_result::kUnwell);
    CHECK(!f.session->usable());
    f.clock.Advance(milliseconds(250));
    CHECK(f.session->usable());
  }
  SUBCASE("a run number that was used") {
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

TEST_CASE("a stop whose order is lost is repeated") {
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

}  // namespace jasminedyke
