// Tests of the exchange of upstreams' speeds between the instances of a failure
// domain.

#include <string>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const upstream_id kUpstream("u0");

struct three_instances : run_nodes {
  three_instances() {
    fleet.Add(kUpstream.str(), "north");
    for (int i = 1; i <= 3; ++i)
      Add("north", i);
    Run(milliseconds(1500));
  }

  run_node& Home() {
    for (run_node* node : Live()) {
      if (node->cluster->home().serving())
        return *node;
    }
    throw std::runtime_error("no instance is home");
  }
  // Returns an instance that is neither home nor `excluded`.
  run_node& Other(const run_node* excluded = nullptr) {
    for (run_node* node : Live()) {
      if (!node->cluster->home().serving() && node != excluded)
        return *node;
    }
    throw std::runtime_error("no other instance lives");
  }
  void SendSpeed(run_node& from, run_node& to, double speed) {
    from.peers.Send(to.self.instance,
                    speed_news{{{kUpstream, upstream_birth(), speed}}});
    Run(milliseconds(10));
  }
  double SpeedAt(run_node& node) {
    return node.cluster->home().speeds().Of(fleet.registry.at(kUpstream));
  }
};

}  // namespace

TEST_CASE("speed news: those of a home that was replaced come late") {
  three_instances nodes;
  run_node& third = nodes.Other();
  run_node& replaced = nodes.Other(&third);
  nodes.SendSpeed(replaced, third, 0.5);
  CHECK(nodes.SpeedAt(third) == 1);
  SUBCASE("the home itself ignores them too") {
    nodes.SendSpeed(replaced, nodes.Home(), 0.5);
    CHECK(nodes.SpeedAt(nodes.Home()) == 1);
  }
  SUBCASE("those of the home are applied") {
    nodes.SendSpeed(nodes.Home(), third, 0.5);
    CHECK(nodes.SpeedAt(third) == doctest::Approx(0.5));
  }
}

TEST_CASE("speed news: the home dies, its successor has them") {
  three_instances nodes;
  for (run_node* node : nodes.Live()) {
    if (node != &nodes.Home())
      nodes.SendSpeed(nodes.Home(), *node, 0.5);
  }
  nodes.Kill(nodes.Home());
  nodes.Run(seconds(3));
  CHECK(nodes.SpeedAt(nodes.Home()) == doctest::Approx(0.5));
  SUBCASE("and sends them to an instance whose link opens later") {
    run_node& late = nodes.Add("north", 4, 0.5);
    nodes.Run(milliseconds(100));
    CHECK(nodes.SpeedAt(late) == doctest::Approx(0.5));
  }
}

}  // namespace jasminedyke
