// Tests of how the instances of a failure domain apply their home's list of
// upstreams.

#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

// A failure domain of two instances and four upstreams, in which the stronger
// instance north-1 is home.
struct news_fixture : run_nodes {
  news_fixture() {
    for (int i = 0; i < 4; ++i)
      fleet.Add("u" + std::to_string(i), "north");
    Add("north", 1, 4);
    Add("north", 2);
    Run(milliseconds(1500));
  }

  void SendFromHome(const peer_message& message) {
    Find("north-2")->cluster->OnPeerMessage(instance_id("north-1"), message);
  }
};

}  // namespace

// Guards against a successor that starts tasks a second time because it has
// dropped the upstreams on which they run: a home that began after
// registrations had lapsed sent a list without them.
TEST_CASE("a home's list of upstreams is short as registrations lapsed") {
  news_fixture d;
  REQUIRE(d.Find("north-2")->cluster->upstreams().size() == 4);
  REQUIRE(d.Find("north-1")->cluster->home().serving());
  upstream_news news;
  news.full = true;
  news.rows = {d.fleet.registry.begin()->second};
  d.SendFromHome(news);
  d.Run(milliseconds(100));
  CHECK(d.Find("north-2")->cluster->upstreams().size() == 4);
}

// Guards against a successor that keeps upstreams which are gone: it missed the
// news of their removal.
TEST_CASE("a home's whole list of upstreams replaces a longer one") {
  news_fixture d;
  upstream_news news;
  news.full = true;
  news.whole = true;
  news.rows = {d.fleet.registry.begin()->second};
  d.SendFromHome(news);
  d.Run(milliseconds(100));
  CHECK(d.Find("north-2")->cluster->upstreams().size() == 1);
}

// Guards against a second run of tasks on upstreams whose registrations had
// lapsed: the successor of a home that did not know them took the store's list
// for all that its predecessors had used.
TEST_CASE("the successor of a home that knew few upstreams") {
  run_nodes d;
  d.estimate = milliseconds(900);
  for (int i = 0; i < 4; ++i) {
    d.fleet.Add("u" + std::to_string(i), "north").plan = [](const task_name&) {
      return std::pair<duration, run_end>(milliseconds(900), run_end::kDone);
    };
  }
  d.Add("north", 1);
  run_node& owner = d.Add("south", 1);
  d.Run(milliseconds(1500));
  d.Submit(owner, "job", 3, milliseconds(4000));
  d.Run(milliseconds(100));
  std::erase_if(d.fleet.registry, [&](const auto& entry) {
    return !d.fleet.upstreams.at(entry.first)->running.empty();
  });
  REQUIRE(!d.fleet.registry.empty());
  d.Kill(*d.Find("north-1"));
  d.Add("north", 1);
  d.Add("north", 2);
  d.Run(milliseconds(250));
  run_node* first = d.Find("north-1");
  run_node* second = d.Find("north-2");
  if (second->cluster->home().serving())
    std::swap(first, second);
  REQUIRE(first->cluster->home().serving());
  d.Kill(*first);
  d.Run(milliseconds(50));
  REQUIRE(second->cluster->home().serving());
  second->cluster->SetUpstreams(d.fleet.registry);
  d.Run(milliseconds(3000));
  CHECK(!d.ran_twice);
  REQUIRE(d.answers["job"].size() == 1);
  CHECK(d.answers["job"][0].outcome == run_outcome::kSucceeded);
}

}  // namespace jasminedyke
