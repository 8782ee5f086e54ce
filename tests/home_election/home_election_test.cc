// Which instance becomes home while the store can't be reached.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than a home waits for the store before it gives a call up.
constexpr duration kSilentStore = seconds(1);
constexpr duration kRunTime = milliseconds(50);

// One failure domain whose first instance is the strongest and home.
class dark_domain : public run_nodes {
 public:
  dark_domain() {
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
  // Nobody became home until the store was back: the others waited for one that
  // knew neither token nor upstreams.
  dark_domain d;
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
  // The successor waited for a second call that nobody answered.
  dark_domain d;
  d.SilenceStore();
  d.Kill(*d.Find("north-1"), true);
  d.Run(milliseconds(1700));
  CHECK(d.ServedNow("after"));
}

TEST_CASE("the two strongest instances are lost in the dark") {
  // Both are back before the store is, and neither knows the last home.
  dark_domain d;
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
  // Both restarted there, met only the home that is lost then, and have no list
  // of members. Callers whose answer broke come again through the other one.
  dark_domain d;
  d.SilenceStore();
  d.linked_from_start = false;
  run_node& home = *d.Find("north-1");
  std::vector<run_node*> claimants;
  for (int number : {2, 3}) {
    d.Kill(*d.Find("north-" + std::to_string(number)), true);
    claimants.push_back(&d.Add("north", number));
    d.Heal(home, *claimants.back());
    d.Run(milliseconds(400));
  }
  for (run_node* node : claimants)
    node->cluster->SetMembers({{node->self.instance, node->self}});
  d.Kill(home, true);
  bool both_began[2] = {false, false};
  for (int i = 0; i < 60; ++i) {
    std::string key = "job" + std::to_string(i);
    d.Submit(*claimants[i % 2], key, 2);
    std::string earlier = "job" + std::to_string(i - 14);
    if (i >= 14 && (d.answers[earlier].empty() ||
                    d.answers[earlier][0].outcome != run_outcome::kSucceeded))
      d.Submit(*claimants[(i + 1) % 2], earlier, 2);
    d.Run(milliseconds(100));
    for (int n : {0, 1}) {
      both_began[n] = both_began[n] || claimants[n]->cluster->home().serving();
    }
  }
  CHECK(both_began[0]);
  CHECK(both_began[1]);
  d.store.outage = false;
  d.store.delay = milliseconds(3);
  d.Heal(*claimants[0], *claimants[1]);
  d.Run(seconds(3));
  CHECK(claimants[0]->cluster->home().serving() !=
        claimants[1]->cluster->home().serving());
  CHECK(d.ServedNow("after"));
  CHECK_FALSE(d.ran_twice);
}

TEST_CASE("a home that is fenced while it waits for a silent store") {
  // It went on beside its successor until the call timed out.
  dark_domain d;
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
  // An instance that had just started took the upstreams from a living home.
  dark_domain d;
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
  // A candidate that restarted learns of the home from its peers and does not
  // begin beside it once the store is back.
  dark_domain d;
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
