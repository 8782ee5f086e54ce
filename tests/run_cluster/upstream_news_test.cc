// What instances of a failure domain make of their homes' lists of upstreams.

#include <string>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

// An instance with a home and four upstreams, and a peer that claims to be the
// next home.
struct news_fixture : run_nodes {
  news_fixture() {
    for (int i = 0; i < 4; ++i)
      fleet.Add("u" + std::to_string(i), "north");
    Add("north", 1, 4);
    Add("north", 2);
    Run(milliseconds(1500));
  }

  void Tell(const peer_message& message) {
    Find("north-2")->cluster->OnPeerMessage(instance_id("north-1"), message);
  }
};

}  // namespace

// Guards against a successor that starts tasks again which run on upstreams
// that a home with lapsed registrations had not heard of.
TEST_CASE("a home's list of upstreams is short as registrations lapsed") {
  news_fixture d;
  REQUIRE(d.Find("north-2")->cluster->upstreams().size() == 4);
  REQUIRE(d.Find("north-1")->cluster->home().serving());
  upstream_news news;
  news.full = true;
  news.rows = {d.fleet.registry.begin()->second};
  d.Tell(news);
  d.Run(milliseconds(100));
  CHECK(d.Find("north-2")->cluster->upstreams().size() == 4);
}

}  // namespace jasminedyke
