// Tests of how the instances of a failure domain apply their home's list of
// upstreams.

#include <string>

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

}  // namespace jasminedyke
