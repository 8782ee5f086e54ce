// Tests the protocol between `slot_home` and the holders of slots.

#include <map>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_attempts.h"

namespace jasminedyke {
namespace {

const upstream_id kU0("u0");
const team_id kTeam("lahore");
const instance_id kE0("e0");
const instance_id kE1("e1");

struct fixture {
  explicit fixture(int upstreams = 1, int slots = 2)
      : home(clock,
             kE1,
             failure_domain_id("d"),
             DefaultOrderRule(),
             [this](const instance_id& to, const slot_grant& grant) {
               sent[to].push_back(grant);
               for (const granted_slot& slot : grant.slots)
                 granted[to].push_back(slot);
             }) {
    view.Update(MakeMembership(1, upstreams, 2, slots));
    home.SetMembership(view, {kE0, kE1});
    home.Start();
  }

  slot_demand Demand(double rank, int tasks, const team_id& team = kTeam) {
    slot_demand demand;
    demand.full_report = true;
    if (tasks > 0)
      demand.waiting.push_back({team, rank, tasks, 0});
    return demand;
  }
  void WaitForGrants() { clock.Advance(std::chrono::milliseconds(400)); }

  manual_scheduler clock;
  membership_view view;
  std::map<instance_id, std::vector<slot_grant>> sent;
  std::map<instance_id, std::vector<granted_slot>> granted;
  slot_home home;
};

TEST_CASE(
    "slot_home: grants follow the order of all jobs of the failure domain") {
  fixture f;
  f.home.OnDemand(kE0, f.Demand(5, 10));
  f.home.OnDemand(kE1, f.Demand(1, 1));
  f.WaitForGrants();
  CHECK(f.granted[kE1].size() == 1);
  CHECK(f.granted[kE0].size() == 1);
  CHECK(f.home.held(kU0) == 2);
  f.home.OnRelease(kE1, {{{kU0, slot_result::kAnswered}}});
  f.WaitForGrants();
  CHECK(f.granted[kE0].size() == 2);
}

// A new home does not know which slots are held. If it granted slots at once,
// upstreams would get more starts than they have slots.
TEST_CASE("slot_home: a new home waits for reports of held slots") {
  fixture f;
  f.home.OnDemand(kE0, f.Demand(1, 5));
  f.clock.Advance(std::chrono::milliseconds(100));
  CHECK(f.granted[kE0].empty());
  slot_demand holding = f.Demand(1, 0);
  holding.held.push_back({kU0, 2});
  f.home.OnDemand(kE1, holding);
  f.WaitForGrants();
  CHECK(f.granted[kE0].empty());
  f.home.OnRelease(kE1, {{{kU0, slot_result::kAnswered}}});
  f.WaitForGrants();
  CHECK(f.granted[kE0].size() == 1);
}

// A holder dies while it holds slots. They are granted again after the timeout.
TEST_CASE("slot_home: the slots of a silent holder are granted again") {
  fixture f;
  f.home.OnDemand(kE0, f.Demand(1, 2));
  f.home.OnDemand(kE1, f.Demand(1, 0));
  f.WaitForGrants();
  REQUIRE(f.granted[kE0].size() == 2);
  for (int i = 0; i < 10; ++i) {
    f.home.OnDemand(kE1, f.Demand(1, 1));
    f.clock.Advance(std::chrono::milliseconds(500));
  }
  CHECK(f.granted[kE1].size() == 1);
}

TEST_CASE("slot_home: a team below its quota comes first") {
  fixture f(1, 4);
  configuration config;
  config.teams[team_id("small")].quota_slots = 2;
  team_quotas quotas;
  quotas.Set(config, 4, 4);
  f.home.SetQuotas(quotas);
  slot_demand demand = f.Demand(1, 10, team_id("big"));
  demand.waiting.push_back({team_id("small"), 9, 10, 0});
  f.home.OnDemand(kE0, demand);
  f.home.OnDemand(kE1, f.Demand(1, 0));
  f.WaitForGrants();
  std::map<std::string, int> by_team;
  for (const granted_slot& slot : f.granted[kE0])
    ++by_team[slot.team.str()];
  CHECK(by_team["small"] == 2);
  CHECK(by_team["big"] == 2);
}

// Two holders send reports, start tasks and release slots in random order and
// with random delays. While they use the same home, grants never exceed the
// slots of an upstream, and all tasks get a slot in the end.
TEST_CASE("slot_home: never grants more slots than upstreams have") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    auto chance = [&](double p) {
      return std::bernoulli_distribution(p)(random);
    };
    constexpr int kUpstreams = 3;
    constexpr int kSlots = 3;
    fixture f(kUpstreams, kSlots);
    struct holder {
      int waiting = 30;
      uint64_t last_sequence = 0;
      size_t taken = 0;
      std::map<upstream_id, int> running;
    };
    std::map<instance_id, holder> holders = {{kE0, {}}, {kE1, {}}};
    auto report = [&](const instance_id& id, holder& h) {
      slot_demand demand = f.Demand(0, h.waiting);
      demand.last_grant_sequence = h.last_sequence;
      for (const auto& [upstream, count] : h.running)
        demand.held.push_back({upstream, count});
      f.home.OnDemand(id, demand);
    };
    auto take_grants = [&](const instance_id& id, holder& h) {
      auto& grants = f.sent[id];
      for (; h.taken < grants.size(); ++h.taken) {
        h.last_sequence = grants[h.taken].sequence;
        for (const granted_slot& slot : grants[h.taken].slots) {
          if (h.waiting > 0) {
            --h.waiting;
            ++h.running[slot.upstream];
          } else {
            f.home.OnRelease(id, {{{slot.upstream, slot_result::kUnused}}});
          }
        }
      }
    };
    for (int step = 0; step < 400; ++step) {
      for (auto& [id, h] : holders) {
        if (chance(0.3))
          take_grants(id, h);
        if (chance(0.2))
          report(id, h);
        if (chance(0.3)) {
          for (auto& [upstream, count] : h.running) {
            if (count == 0)
              continue;
            --count;
            f.home.OnRelease(id, {{{upstream, slot_result::kAnswered}}});
            break;
          }
        }
      }
      f.clock.Advance(std::chrono::milliseconds(chance(0.1) ? 200 : 3));
      for (int u = 0; u < kUpstreams; ++u) {
        upstream_id id("u" + std::to_string(u));
        int running = holders[kE0].running[id] + holders[kE1].running[id];
        REQUIRE(running <= kSlots);
        REQUIRE(f.home.held(id) <= kSlots);
        REQUIRE(f.home.held(id) >= 0);
      }
    }
    CHECK(holders[kE0].waiting + holders[kE1].waiting == 0);
  }
}

}  // namespace
}  // namespace jasminedyke
