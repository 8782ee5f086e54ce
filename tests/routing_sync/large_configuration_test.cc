// Configurations of thousands of routes on whole instances with thin links.

#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 12;
constexpr int kRoutes = 4000;
// 25 Mbit/s.
constexpr double kThinLink = 25e6 / 8;
// In which a change must be in force everywhere.
constexpr duration kApplyBound = seconds(2);
// After which a peer counts as dead.
constexpr duration kPeerSilence = seconds(1);

// As operators write it; routes are "/r0/" to "/r(routes-1)/".
std::string Document(int version, int routes) {
  nlohmann::json rows = nlohmann::json::array();
  for (int i = 0; i < routes; ++i) {
    std::string number = std::to_string(i);
    rows.push_back({{"name", "r-" + number},
                    {"hostname", "nony24.example"},
                    {"path_prefix", "/r" + number + "/"},
                    {"kind", "non_idempotent"},
                    {"timeout_ms", 1500},
                    {"target_latency_ms", 60},
                    {"priority", i % 3},
                    {"service", "parts"},
                    {"max_attempts", 4},
                    {"stretch", 1.6}});
  }
  return nlohmann::json{
      {"version", version},
      {"routes", rows},
      {"services", {{{"name", "parts"}, {"admission_check", true}}}}}
      .dump();
}

// Three failure domains on thin links, all with version 1 of `kRoutes` routes.
struct large_deployment : run_nodes {
  large_deployment() {
    for (int i = 0; i < kInstances; ++i)
      Add(kDomains[i % 3], i / 3 + 1);
    for (run_node* node : Live())
      node->cluster->OnConfigDocument(Document(1, kRoutes), "store");
    Run(seconds(2));
    network.bytes_per_second = kThinLink;
    network.longest_way = duration::zero();
  }

  static bool Has(const run_node& node, int route) {
    return node.cluster->routes().Find("nony24.example",
                                       "/r" + std::to_string(route) + "/a") !=
           nullptr;
  }

  // How long it takes until all serve the route; the bound if they don't.
  duration UntilAllHave(int route) {
    time_point begin = clock.now();
    while (clock.now() - begin < kApplyBound) {
      Run(milliseconds(5));
      bool all = true;
      for (run_node* node : Live())
        all = all && Has(*node, route);
      if (all)
        return clock.now() - begin;
    }
    return kApplyBound;
  }

  uint64_t RequestsSoFar() {
    uint64_t requests = 0;
    for (run_node* node : Live())
      requests += node->cluster->config_traffic().requests;
    return requests;
  }

  static constexpr const char* kDomains[] = {"north", "south", "west"};
};

}  // namespace

// Guards against instances that fetch a change from every peer that has it.
TEST_CASE("a change of a large configuration: one peer is asked for it") {
  large_deployment d;
  uint64_t before = d.RequestsSoFar();
  d.Find("north-1")->cluster->OnConfigDocument(Document(2, kRoutes + 1),
                                               "store");
  d.Find("south-1")->cluster->OnConfigDocument(Document(2, kRoutes + 1),
                                               "store");
  CHECK(d.UntilAllHave(kRoutes) < kApplyBound);
  d.Run(seconds(2));
  CHECK(d.RequestsSoFar() - before <= kInstances);
}

// Guards against a change that costs as many bytes as the whole configuration.
TEST_CASE("a change of a large configuration: bytes follow the change") {
  constexpr uint64_t kMostPerInstance = 1024;
  large_deployment d;
  d.Run(seconds(1));
  uint64_t quiet_from = d.network.bytes;
  d.Run(seconds(1));
  uint64_t heartbeats = d.network.bytes - quiet_from;
  uint64_t before = d.network.bytes;
  d.Find("north-1")->cluster->OnConfigDocument(Document(2, kRoutes + 1),
                                               "store");
  d.Run(seconds(1));
  CHECK(large_deployment::Has(*d.Find("west-4"), kRoutes));
  uint64_t cost = d.network.bytes - before;
  CHECK(cost < heartbeats + heartbeats / 10 + kInstances * kMostPerInstance);
}

// Guards against heartbeats that wait behind documents until links are given
// up, while instances restart out of the store's reach.
TEST_CASE("a large configuration does not hold up heartbeats") {
  large_deployment d;
  d.store.outage = true;
  for (const char* name : {"north-2", "south-2", "west-2", "north-3"}) {
    run_node& node = *d.Find(name);
    d.Kill(node);
    d.Restart(node);
  }
  CHECK(d.UntilAllHave(kRoutes - 1) < kApplyBound);
  CHECK(d.network.longest_way < kPeerSilence / 4);
}

// Guards against changes in quick succession that pile up on the links.
TEST_CASE("a storm of changes of a large configuration") {
  large_deployment d;
  for (int i = 1; i <= 10; ++i) {
    for (const char* name : {"north-1", "south-1", "west-1"})
      d.Find(name)->cluster->OnConfigDocument(Document(1 + i, kRoutes + i),
                                              "store");
    d.Run(milliseconds(300));
  }
  CHECK(d.UntilAllHave(kRoutes + 9) < kApplyBound);
  CHECK(d.network.longest_way < kPeerSilence / 4);
}

}  // namespace jasminedyke
