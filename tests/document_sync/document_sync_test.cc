// Configuration and membership between instances without the platform.

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "cluster/cluster.h"
#include "fakes/fake_attempts.h"
#include "fakes/fake_peers.h"
#include "fakes/fake_tables.h"

namespace jasminedyke {
namespace {

struct fake_directory : instance_directory {
  explicit fake_directory(scheduler& c) : clock(c) {}
  void List(membership_version, list_callback done) override {
    clock.CallAfter(std::chrono::milliseconds(1),
                    [done] { done(store_error::kUnavailable); });
  }
  scheduler& clock;
};

// An instance with only the parts that keep documents.
struct node : peer_listener {
  node(fake_network& network, fake_tables& tables, int number)
      : directory(network.clock),
        port(network,
             {instance_id("e" + std::to_string(number)), incarnation_id("aa"),
              failure_domain_id("d")}),
        config(network.clock, tables),
        membership(network.clock, directory),
        sync(network.clock, port, config, membership, port.self) {
    port.SetListener(this);
    config.OnChange([this] { sync.OnVersionsChanged(); });
    membership.OnChange([this] { sync.OnVersionsChanged(); });
    sync.Start();
  }
  void OnPeerUp(const peer_identity& peer) override {
    sync.OnPeerUp(peer.instance);
  }
  void OnPeerDown(const instance_id& peer) override { sync.OnPeerDown(peer); }
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override {
    if (const auto* status = std::get_if<peer_status>(&message))
      sync.OnStatus(peer, *status);
    if (const auto* request = std::get_if<document_request>(&message))
      sync.OnRequest(peer, *request);
    if (const auto* document = std::get_if<peer_document>(&message))
      sync.OnDocument(*document);
  }

  fake_directory directory;
  fake_peer_port port;
  configuration_store config;
  membership_poller membership;
  document_sync sync;
};

// `count` instances in a chain, so that news has to be passed on.
struct fixture {
  explicit fixture(int count) : tables(clock), network(clock) {
    tables.outage = true;
    for (int i = 0; i < count; ++i)
      nodes.push_back(std::make_unique<node>(network, tables, i));
    for (int i = 0; i + 1 < count; ++i)
      network.Connect(nodes[i]->port, nodes[i + 1]->port);
  }
  nlohmann::json Document(int target) {
    return {{"classes", {{"a", {{"target_ms", target}}}}}};
  }

  manual_scheduler clock;
  fake_tables tables;
  fake_network network;
  std::vector<std::unique_ptr<node>> nodes;
};

// The platform is down. One instance has a new configuration; within seconds
// all have it, and all know that all have it.
TEST_CASE("document_sync: a change reaches all without the platform") {
  fixture f(8);
  f.nodes[0]->membership.Offer(MakeMembership(3, 1, 8));
  f.nodes[0]->config.Offer(config_version(5), f.Document(100));
  f.clock.Advance(std::chrono::seconds(7));
  for (auto& n : f.nodes) {
    CHECK(n->config.version() == config_version(5));
    CHECK(n->membership.view().version() == membership_version(3));
    in_force_count count = n->sync.CountInForce(config_version(5));
    CHECK(count.in_force == 8);
    CHECK(count.live == 8);
  }
}

// Guards against copies of one document that pile up on a thin link.
TEST_CASE("document_sync: a large document is asked for once") {
  fixture f(2);
  for (int i = 2; i < 8; ++i) {
    f.nodes.push_back(std::make_unique<node>(f.network, f.tables, i));
    f.network.Connect(f.nodes[0]->port, f.nodes[i]->port);
  }
  nlohmann::json document = f.Document(100);
  document["unused"] = std::string(250'000, 'x');
  for (int i = 1; i < 8; ++i) {
    f.nodes[i]->port.bytes_per_second = 100e3;
    f.nodes[i]->config.Offer(config_version(5), document);
  }
  f.clock.Advance(std::chrono::seconds(10));
  CHECK(f.nodes[0]->config.version() == config_version(5));
  CHECK(f.network.bytes < 2 * 250'000);
}

TEST_CASE("document_sync: the asked peer's link breaks") {
  fixture f(3);
  f.network.Connect(f.nodes[0]->port, f.nodes[2]->port);
  nlohmann::json document = f.Document(100);
  document["unused"] = std::string(250'000, 'x');
  f.nodes[1]->port.bytes_per_second = 100e3;
  f.nodes[1]->config.Offer(config_version(5), document);
  f.clock.Advance(std::chrono::seconds(1));
  f.nodes[2]->config.Offer(config_version(5), document);
  REQUIRE(f.nodes[0]->config.version() == config_version());
  f.network.Disconnect(f.nodes[0]->port, f.nodes[1]->port);
  f.clock.Advance(std::chrono::seconds(5));
  CHECK(f.nodes[0]->config.version() == config_version(5));
}

// Two halves are cut off from each other; one gets a newer version. After
// healing all agree on it, and none ever went back.
TEST_CASE("document_sync: after a partition all agree on the newest") {
  fixture f(6);
  f.nodes[0]->config.Offer(config_version(5), f.Document(100));
  f.clock.Advance(std::chrono::seconds(7));
  f.network.Disconnect(f.nodes[2]->port, f.nodes[3]->port);
  f.nodes[5]->config.Offer(config_version(6), f.Document(200));
  f.clock.Advance(std::chrono::seconds(7));
  CHECK(f.nodes[0]->config.version() == config_version(5));
  CHECK(f.nodes[3]->config.version() == config_version(6));
  f.network.Connect(f.nodes[2]->port, f.nodes[3]->port);
  f.clock.Advance(std::chrono::seconds(7));
  for (auto& n : f.nodes) {
    CHECK(n->config.version() == config_version(6));
    CHECK(n->config.settings().classes.at(class_id("a")).target ==
          std::chrono::milliseconds(200));
  }
}

// A new instance has neither platform nor configuration; one peer is enough.
TEST_CASE("document_sync: a new instance learns all from one peer") {
  fixture f(2);
  f.nodes[0]->config.Offer(config_version(5), f.Document(100));
  f.nodes[0]->membership.Offer(MakeMembership(3, 2, 2));
  f.clock.Advance(std::chrono::seconds(3));
  node fresh(f.network, f.tables, 9);
  CHECK_FALSE(fresh.config.known());
  f.network.Connect(fresh.port, f.nodes[1]->port);
  f.clock.Advance(std::chrono::seconds(2));
  CHECK(fresh.config.version() == config_version(5));
  CHECK(fresh.membership.view().known());
  f.network.Disconnect(fresh.port, f.nodes[1]->port);
}

// News is sent once per link, not with every heartbeat.
TEST_CASE("document_sync: a quiet minute costs a few bytes a second") {
  fixture f(9);
  f.nodes[0]->membership.Offer(MakeMembership(3, 70, 9));
  f.nodes[0]->config.Offer(config_version(5), f.Document(100));
  f.clock.Advance(std::chrono::seconds(10));
  uint64_t before = f.network.bytes;
  f.clock.Advance(std::chrono::seconds(60));
  // 8 links, both ways, a heartbeat a second.
  CHECK((f.network.bytes - before) / (60 * 16) < 20);
}

}  // namespace
}  // namespace jasminedyke
