// Tests of homes that may have been replaced while they could not know it, and
// of homes that were not.

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kLimit = seconds(15);
constexpr milliseconds kStoreDelay(3);

// One failure domain of three instances and four upstreams. The first instance
// is the strongest and has become home after the others had learnt of all
// upstreams.
class replaced_home_domain : public run_nodes {
 public:
  explicit replaced_home_domain(duration run_time) {
    estimate = run_time;
    for (const char* id : {"u1", "u2", "u3", "u4"}) {
      fleet.Add(id, "north").plan = [run_time](const task_name&) {
        return std::pair(run_time, run_end::kDone);
      };
    }
    Add("north", 2);
    Add("north", 3);
    ListAtAll();
    Add("north", 1, 2);
    Run(seconds(3));
    ListAtAll();
    REQUIRE(first().cluster->home().serving());
  }

  // Afterwards the instances take the store's list for whole.
  void ListAtAll() {
    Run(milliseconds(2600));
    for (run_node* node : Live())
      node->cluster->SetUpstreams(fleet.registry);
  }

  run_node& first() { return *Find("north-1"); }

  // Whether a write takes effect stays unknown.
  void SilenceStore() {
    store.outage = true;
    store.outage_fate = fake_tables::write_fate::kRequestLost;
    store.delay = seconds(1);
  }

  void EndSilence() {
    store.outage = false;
    store.delay = kStoreDelay;
  }

  // The instance reaches no upstream but these.
  void LetReachOnly(const run_node& node, std::vector<std::string> upstreams) {
    reachable_[node.self.instance.str()] = std::move(upstreams);
    fleet.fate = [this](const upstream_id& id, const std::string& home) {
      auto limited = reachable_.find(home);
      bool reached = limited == reachable_.end() ||
                     std::ranges::count(limited->second, id.str()) > 0;
      return reached ? call_fate::kAnswered : call_fate::kRequestLost;
    };
  }

  void CutFromInstances(run_node& node) {
    for (run_node* other : Live()) {
      if (other != &node)
        Cut(node, *other);
    }
  }

  void HealInstances(run_node& node) {
    for (run_node* other : Live())
      Heal(node, *other);
  }

  // Returns the home besides `other` once there is one, or null.
  run_node* AwaitHomeBesides(const run_node& other) {
    for (int i = 0; i < 5000; ++i) {
      Run(milliseconds(1));
      for (run_node* node : Live()) {
        if (node != &other && node->cluster->home().serving())
          return node;
      }
    }
    return nullptr;
  }

  // Returns the live instance that is neither of the two.
  run_node& OneBesides(const run_node& a, const run_node& b) {
    for (run_node* node : Live()) {
      if (node != &a && node != &b)
        return *node;
    }
    return first();
  }

  std::vector<std::string> IdleUpstreams() {
    std::vector<std::string> idle;
    for (const auto& [id, upstream] : fleet.upstreams) {
      if (upstream->running.empty())
        idle.push_back(id.str());
    }
    return idle;
  }

  bool Succeeded(const std::string& key) {
    return !answers[key].empty() &&
           answers[key].back().outcome == run_outcome::kSucceeded;
  }

  int Homes() {
    return static_cast<int>(std::ranges::count_if(Live(), [](run_node* node) {
      return node->cluster->home().serving();
    }));
  }

  fencing_token TokenOf(const run_node& node) {
    return node.cluster->home().Status().token;
  }

  // Runs short jobs one after another and returns the longest time that one of
  // them took.
  duration LongestJob(run_node& owner, duration length) {
    duration longest = duration::zero();
    for (time_point end = clock.now() + length; clock.now() < end;) {
      std::string key = "short" + std::to_string(++short_jobs_);
      time_point sent = clock.now();
      Submit(owner, key, 1);
      while (answers[key].empty() && clock.now() - sent < seconds(2))
        Run(milliseconds(1));
      CHECK(Succeeded(key));
      longest = std::max(longest, clock.now() - sent);
    }
    return longest;
  }

 private:
  std::map<std::string, std::vector<std::string>> reachable_;
  int short_jobs_ = 0;
};

}  // namespace

TEST_CASE("a home that was replaced while the store was silent") {
  // Guards against a home that takes its unchanged row for proof that no other
  // one has served, and starts the tasks of its successor again.
  // The time from the store's return to the end of the cut.
  for (int ms : {800, 1100, 1300, 1500, 1700}) {
    CAPTURE(ms);
    replaced_home_domain d(seconds(3));
    run_node& replaced = d.first();
    d.SilenceStore();
    d.CutFromInstances(replaced);
    d.LetReachOnly(replaced, {});
    run_node* successor = d.AwaitHomeBesides(replaced);
    REQUIRE(successor);
    run_node& owner = d.OneBesides(replaced, *successor);
    d.Run(milliseconds(100));
    d.Submit(owner, "a", 1, kLimit);
    d.Submit(owner, "b", 1, kLimit);
    d.Run(milliseconds(500));
    CHECK(d.Starts("a") + d.Starts("b") == 2);

    d.EndSilence();
    d.Run(milliseconds(ms));
    d.LetReachOnly(replaced, d.IdleUpstreams());
    d.HealInstances(replaced);
    d.Run(seconds(1));
    d.LetReachOnly(replaced, {"u1", "u2", "u3", "u4"});
    d.Run(seconds(6));
    CHECK(d.Succeeded("a"));
    CHECK(d.Succeeded("b"));
    CHECK(d.Homes() == 1);
    CHECK_FALSE(d.ran_twice);
  }
}

TEST_CASE(
    "a home that was replaced and shares no upstream with its successor") {
  // Guards against a home that starts a task beside its successor's run, as no
  // upstream tells it of the successor.
  replaced_home_domain d(seconds(3));
  run_node& replaced = d.first();
  d.SilenceStore();
  d.CutFromInstances(replaced);
  d.LetReachOnly(replaced, {"u3", "u4"});
  d.LetReachOnly(*d.Find("north-2"), {"u1", "u2"});
  d.LetReachOnly(*d.Find("north-3"), {"u1", "u2"});
  run_node* successor = d.AwaitHomeBesides(replaced);
  REQUIRE(successor);
  run_node& owner = d.OneBesides(replaced, *successor);
  // Until the upstreams that the successor can't reach count as settled.
  d.Run(seconds(3));
  d.Submit(owner, "a", 1, kLimit);
  d.Run(milliseconds(500));
  CHECK(d.Starts("a") == 1);

  d.EndSilence();
  d.Run(milliseconds(800));
  d.Heal(replaced, owner);
  d.Run(milliseconds(100));
  d.Kill(*successor);
  d.Run(seconds(8));
  CHECK(d.Succeeded("a"));
  CHECK(d.Homes() == 1);
  CHECK_FALSE(d.ran_twice);
  // The owner uses the domain's home again.
  d.Submit(owner, "later", 1, kLimit);
  d.Run(seconds(4));
  CHECK(d.Succeeded("later"));
}

TEST_CASE("a home that loses only the store serves on") {
  // Guards against a home that begins anew when the store is back, which holds
  // up all jobs of its group.
  replaced_home_domain d(milliseconds(50));
  run_node& home = d.first();
  run_node& owner = *d.Find("north-2");
  fencing_token token = d.TokenOf(home);
  duration usual = d.LongestJob(owner, seconds(2));
  SUBCASE("the store is silent for a while") {
    d.SilenceStore();
    CHECK(d.LongestJob(owner, seconds(4)) <= usual);
    d.EndSilence();
  }
  SUBCASE("only the home can't reach the store") {
    home.tables.cut = true;
    CHECK(d.LongestJob(owner, seconds(4)) <= usual);
    home.tables.cut = false;
  }
  SUBCASE("the store's answers to writes are lost") {
    d.store.fate = [] { return fake_tables::write_fate::kReplyLost; };
    CHECK(d.LongestJob(owner, seconds(4)) <= usual);
    d.store.fate = [] { return fake_tables::write_fate::kAnswered; };
  }
  SUBCASE("writes are carried out late") {
    d.store.fate = [] { return fake_tables::write_fate::kEffectDelayed; };
    CHECK(d.LongestJob(owner, seconds(4)) <= usual);
    d.store.fate = [] { return fake_tables::write_fate::kAnswered; };
  }
  CHECK(d.LongestJob(owner, seconds(4)) <= usual);
  CHECK(home.cluster->home().serving());
  CHECK(d.TokenOf(home) == token);
  CHECK(d.Homes() == 1);
}

TEST_CASE("a home that began without the store takes its predecessor's row") {
  // Guards against a pause when the store is back.
  replaced_home_domain d(milliseconds(50));
  run_node& owner = *d.Find("north-2");
  duration usual = d.LongestJob(owner, seconds(2));
  d.SilenceStore();
  run_node& lost = d.first();
  d.Kill(lost);
  run_node* home = d.AwaitHomeBesides(lost);
  REQUIRE(home);
  d.Run(seconds(2));
  fencing_token token = d.TokenOf(*home);
  d.EndSilence();
  CHECK(d.LongestJob(owner, seconds(4)) <= usual);
  CHECK(home->cluster->home().serving());
  CHECK(d.TokenOf(*home) == token);
  auto row = d.store.rows.find({"homes", "north/0"});
  REQUIRE(row != d.store.rows.end());
  CHECK(row->second.value["holder"] == home->self.instance.str());
}

}  // namespace jasminedyke
