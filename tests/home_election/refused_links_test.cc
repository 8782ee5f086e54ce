// Homes of instances that refuse each other's connections and live.

#include <string>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One failure domain of two instances, both with the store in reach.
class refusing_domain : public run_nodes {
 public:
  refusing_domain() {
    linked_from_start = false;
    fleet.Add("u1", "north").plan = [](const task_name&) {
      return std::pair(duration(milliseconds(50)), run_end::kDone);
    };
    Add("north", 1);
    Add("north", 2);
  }

  // As links are tried again and again.
  void RunRefusing(duration length) {
    constexpr duration kBetween = milliseconds(100);
    for (duration past = duration::zero(); past < length; past += kBetween) {
      for (run_node* node : Live()) {
        for (run_node* other : Live()) {
          if (node != other)
            node->cluster->OnPeerRefused(other->self.instance);
        }
      }
      Run(kBetween);
    }
  }

  run_node* Home() {
    for (run_node* node : Live()) {
      if (node->cluster->home().serving())
        return node;
    }
    return nullptr;
  }
};

}  // namespace

// Guards against a domain that serves nobody: each instance took the other for
// ended, and took its row as soon as it was written.
TEST_CASE("a home that refuses connections and lives keeps its role") {
  refusing_domain d;
  d.RunRefusing(seconds(5));
  run_node* home = d.Home();
  REQUIRE(home);
  for (int i = 0; i < 20; ++i) {
    CAPTURE(i);
    d.Submit(*home, "job" + std::to_string(i), 1);
    d.RunRefusing(milliseconds(300));
    CHECK(d.Home() == home);
  }
  for (const auto& [key, answers] : d.answers) {
    REQUIRE_FALSE(answers.empty());
    CHECK(answers.front().outcome == run_outcome::kSucceeded);
  }
  CHECK(d.answers.size() == 20);
  CHECK_FALSE(d.ran_twice);
}

// Guards against a home that has ended and is waited for, as it was alive when
// it refused a connection.
TEST_CASE("a home that refused connections and has ended is replaced") {
  refusing_domain d;
  d.RunRefusing(seconds(5));
  run_node* home = d.Home();
  REQUIRE(home);
  d.Kill(*home);
  d.RunRefusing(seconds(3));
  REQUIRE(d.Home());
  CHECK(d.Home() != home);
}

}  // namespace jasminedyke
