// Tests the speeds that a home learns and sends, and how a receiver applies
// them.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct speeds_fixture {
  speeds_fixture() {
    for (int i = 0; i < 4; ++i) {
      upstream_info info;
      info.id = upstream_id("u" + std::to_string(i));
      info.service = service_id("parts");
      info.birth = upstream_birth(1);
      registered[info.id] = info;
    }
    speeds.SetRegistered(registered);
  }

  upstream_info& Info(int i) {
    return registered.at(upstream_id("u" + std::to_string(i)));
  }
  // Records runs that take twice as long on the first upstream as on the
  // others.
  void RecordRuns() {
    for (int n = 0; n < 40; ++n) {
      for (int i = 0; i < 4; ++i) {
        now += milliseconds(20);
        speeds.RecordRun(Info(i), milliseconds(100),
                         milliseconds(i == 0 ? 200 : 100), now);
      }
    }
  }

  time_point now{std::chrono::hours(1)};
  upstream_registry registered;
  home_speeds speeds;
};

}  // namespace

TEST_CASE("home_speeds: only what changed noticeably is told") {
  speeds_fixture f;
  CHECK(f.speeds.TakeNews(f.now).speeds.empty());
  f.RecordRuns();
  speed_news news = f.speeds.TakeNews(f.now);
  REQUIRE(!news.speeds.empty());
  CHECK(news.speeds[0].id == f.Info(0).id);
  CHECK(news.speeds[0].speed < 0.75);
  CHECK(f.speeds.TakeNews(f.now).speeds.empty());
  CHECK(f.speeds.All().speeds.size() >= 1);
}

TEST_CASE("home_speeds: a successor has the speeds that it was told") {
  speeds_fixture f;
  f.RecordRuns();
  speeds_fixture successor;
  successor.speeds.Apply(f.speeds.All(), successor.registered, f.now);
  CHECK(successor.speeds.Of(f.Info(0)) ==
        doctest::Approx(f.speeds.Of(f.Info(0))).epsilon(0.1));
}

TEST_CASE("home_speeds: news for an upstream that is not known") {
  speeds_fixture f;
  f.speeds.Apply({{{upstream_id("gone"), upstream_birth(1), 0.5}}},
                 f.registered, f.now);
  CHECK(f.speeds.All().speeds.empty());
  CHECK(f.speeds.ByKind().at("parts").upstreams == 4);
}

TEST_CASE("home_speeds: news of an earlier incarnation") {
  speeds_fixture f;
  f.Info(0).birth = upstream_birth(2);
  f.speeds.SetRegistered(f.registered);
  f.speeds.Apply({{{f.Info(0).id, upstream_birth(1), 0.5}}}, f.registered,
                 f.now);
  CHECK(f.speeds.Of(f.Info(0)) == 1);
}

TEST_CASE("home_speeds: an upstream is reborn under its id") {
  // The new incarnation may run on another machine, so the speed of the old one
  // must not be applied to it.
  speeds_fixture f;
  f.RecordRuns();
  upstream_info old = f.Info(0);
  f.Info(0).birth = upstream_birth(2);
  f.speeds.SetRegistered(f.registered);
  CHECK(f.speeds.Of(f.Info(0)) > 0.75);
  SUBCASE("a late end of the old one's runs says nothing either") {
    for (int n = 0; n < 20; ++n)
      f.speeds.RecordRun(old, milliseconds(100), milliseconds(200), f.now);
    CHECK(f.speeds.Of(f.Info(0)) > 0.75);
  }
}

TEST_CASE("home_speeds: an upstream is gone") {
  speeds_fixture f;
  f.RecordRuns();
  f.registered.erase(upstream_id("u0"));
  f.speeds.SetRegistered(f.registered);
  CHECK(f.speeds.ByKind().at("parts").upstreams == 3);
}

// Guards against placing tasks by an outdated speed class.
TEST_CASE("home_speeds: no class of speed changes unseen") {
  speeds_fixture f;
  upstream_info unregistered = f.Info(0);
  unregistered.id = upstream_id("not registered");
  auto classes = [&] {
    std::vector<int> all{f.speeds.ClassOf(unregistered)};
    for (int i = 0; i < 4; ++i) {
      CHECK(f.speeds.ClassOf(f.Info(i)) == SpeedClass(f.speeds.Of(f.Info(i))));
      all.push_back(f.speeds.ClassOf(f.Info(i)));
    }
    return all;
  };
  std::vector<int> before = classes();
  uint64_t seen = f.speeds.changes();
  int changed = 0;
  auto check_counter = [&] {
    std::vector<int> now = classes();
    if (now != before) {
      ++changed;
      CHECK(f.speeds.changes() != seen);
    }
    before = now;
    seen = f.speeds.changes();
  };
  for (int n = 0; n < 160; ++n) {
    f.now += milliseconds(20);
    f.speeds.RecordRun(f.Info(n % 4), milliseconds(100),
                       milliseconds(n % 4 == 0 ? 200 : 100), f.now);
    check_counter();
  }
  int changed_by_runs = changed;
  CHECK(changed_by_runs > 0);
  f.Info(0).birth = upstream_birth(2);
  f.speeds.SetRegistered(f.registered);
  check_counter();
  CHECK(changed == changed_by_runs + 1);
  f.speeds.Apply({{{f.Info(0).id, upstream_birth(2), 0.4}}}, f.registered,
                 f.now);
  check_counter();
  CHECK(changed == changed_by_runs + 2);
}

}  // namespace jasminedyke
