// Tests of the election of a home while the store is unreachable.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the time after which a home gives up a call to the store.
constexpr duration kSilentStore = seconds(1);
constexpr duration kRunTime = milliseconds(50);

// One failure domain of three instances, the first of which is the strongest
// and is home.
class silent_store_domain : public run_nodes {
 public:
  silent_store_domain() {
    fake_upstream& upstream = fleet.Add("u1", "north");
    upstream.plan = [](const task_name&) {
      return std::pair(kRunTime, run_end::kDone);
    };
    Add("north", 1, 2);
    Add("north", 2);
    Add("north", 3);
    Run(seconds(1));
  }

  void SilenceStore() {
    store.outage = true;
    store.delay = kSilentStore;
  }

  bool ServedNow(const std::string& key) {
    Submit(*Find("north-3"), key, 1);
    Run(milliseconds(400));
    return !answers[key].empty() &&
           answers[key].front().outcome == run_outcome::kSucceeded;
  }
};

}  // namespace

TEST_CASE("a home lost in the dark that restarts as the strongest candidate") {
  // Guards against a domain without a home until the store is back: the other
  // instances waited for the restarted one, which knew neither the token nor
  // the upstreams.
  silent_store_domain d;
  CHECK(d.ServedNow("before"));
  d.SilenceStore();
  d.Kill(*d.Find("north-1"), true);
  d.Run(milliseconds(700));
  d.Add("north", 1, 2);
  d.Run(milliseconds(1200));
  CHECK(d.ServedNow("after"));
  CHECK_FALSE(d.ran_twice);
}

TEST_CASE("a home lost in the dark is replaced before calls time out") {
  // Guards against a successor that waits for a second store call to time out.
  silent_store_domain d;
  d.SilenceStore();
  d.Kill(*d.Find("north-1"), true);
  d.Run(milliseconds(1700));
  CHECK(d.ServedNow("after"));
}

TEST_CASE("the two strongest instances are lost in the dark") {
  // Both restart before the store is back, and neither knows the last home.
  silent_store_domain d;
  d.Add("north", 4, 1.9);
  d.Add("north", 5);
  d.Run(seconds(1));
  d.SilenceStore();
  for (const char* name : {"north-1", "north-4"})
    d.Kill(*d.Find(name), true);
  d.Run(milliseconds(700));
  d.Add("north", 1, 2);
  d.Add("north", 4, 1.9);
  d.Run(milliseconds(1200));
  CHECK(d.ServedNow("after"));
  CHECK_FALSE(d.ran_twice);
}

TEST_CASE("two claimants behind a cut and when it heals") {
  // Both instances restarted while the store was silent, have had a link only
  // to the home, which then loses power, and have no list of members. A caller
  // that got no answer retries through the other instance.
  silent_store_domain d;
  d.SilenceStore();
  d.linked_from_start = false;
  run_node& home = *d.Find("north-1");
  std::vector<run_node*> candidates;
  for (int number : {2, 3}) {
    d.Kill(*d.Find("north-" + std::to_string(number)), true);
    candidates.push_back(&d.Add("north", number));
    d.Heal(home, *candidates.back());
    d.Run(milliseconds(400));
  }
  for (run_node* node : candidates)
    node->cluster->SetMembers({{node->self.instance, node->self}});
  d.Kill(home, true);
  bool both_began[2] = {false, false};
  for (int i = 0; i < 60; ++i) {
    std::string key = "job" + std::to_string(i);
    d.Submit(*candidates[i % 2], key, 2);
    std::string earlier = "job" + std::to_string(i - 14);
    if (i >= 14 && (d.answers[earlier].empty() ||
                    d.answers[earlier][0].outcome != run_outcome::kSucceeded))
      d.Submit(*candidates[(i + 1) % 2], earlier, 2);
    d.Run(milliseconds(100));
    for (int n : {0, 1}) {
      both_began[n] = both_began[n] || candidates[n]->cluster->home().serving();
    }
  }
  CHECK(both_began[0]);
  CHECK(both_began[1]);
  d.store.outage = false;
  d.store.delay = milliseconds(3);
  d.Heal(*candidates[0], *candidates[1]);
  d.Run(seconds(3));
  CHECK(candidates[0]->cluster->home().serving() !=
        candidates[1]->cluster->home().serving());
  CHECK(d.ServedNow("after"));
  CHECK_FALSE(d.ran_twice);
}

TEST_CASE("a home that is fenced while it waits for a silent store") {
  // Guards against a home that keeps serving beside its successor until its
  // store call times out.
  silent_store_domain d;
  d.SilenceStore();
  run_node& cut = *d.Find("north-1");
  d.Cut(cut, *d.Find("north-2"));
  d.Cut(cut, *d.Find("north-3"));
  auto successor = [&] {
    return d.Find("north-2")->cluster->home().serving() ||
           d.Find("north-3")->cluster->home().serving();
  };
  for (int i = 0; i < 5000 && !successor(); ++i)
    d.Run(milliseconds(1));
  REQUIRE(successor());
  d.Run(milliseconds(10));
  d.Submit(cut, "late", 1);
  d.Run(milliseconds(10));
  CHECK_FALSE(cut.cluster->home().serving());
  CHECK_FALSE(d.ran_twice);
}

TEST_CASE("a home that is heard of while the silent store is asked") {
  // Guards against an instance that has just started and takes the upstreams
  // from a home that is alive, whose status arrives during the store call.
  silent_store_domain d;
  d.SilenceStore();
  d.linked_from_start = false;
  run_node& late = d.Add("north", 4, 3);
  d.Run(milliseconds(600));
  for (const char* name : {"north-1", "north-2", "north-3"})
    d.Heal(late, *d.Find(name));
  d.Run(seconds(2));
  CHECK(d.ServedNow("after"));
  CHECK_FALSE(late.cluster->home().serving());
}

TEST_CASE("two homes that begin in the dark never start a task twice") {
  // A restarted candidate learns of the home from its peers, and so does not
  // become home as well when the store is back.
  silent_store_domain d;
  d.SilenceStore();
  d.Kill(*d.Find("north-1"), true);
  d.Run(milliseconds(700));
  d.Add("north", 1, 2);
  for (int i = 0; i < 10; ++i) {
    d.Submit(*d.Find("north-3"), "job" + std::to_string(i), 1);
    d.Run(milliseconds(300));
  }
  d.store.outage = false;
  d.store.delay = milliseconds(3);
  d.Run(seconds(5));
  CHECK(d.ServedNow("after"));
  CHECK_FALSE(d.ran_twice);
}

}  // namespace jasminedyke
