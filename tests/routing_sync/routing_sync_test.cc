// One instance that gets changes of the configuration from its peers: whom it
// asks, and what happens when they fail it.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "base/manual_scheduler.h"
#include "cluster/cluster.h"
#include "fakes/fake_peers.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

routing_config Config(uint64_t version, int routes) {
  routing_config config;
  config.version = config_version(version);
  for (int i = 0; i < routes; ++i) {
    route each;
    each.host = "h.example";
    each.path_prefix = "/r" + std::to_string(i) + "/";
    config.routes.push_back(each);
  }
  return config;
}

// An instance with its routes and nothing else.
struct sync_node : peer_listener {
  sync_node(fake_network& network, const std::string& name)
      : self{instance_id(name), {}, failure_domain_id("north")},
        port(network, self),
        sync(network.clock,
             port,
             self,
             routes,
             [this](const instance_id& from) {
               updates_from.push_back(from.str());
             }) {
    port.SetListener(this);
  }

  void OnPeerUp(const peer_identity&) override {}
  void OnPeerDown(const instance_id& peer) override { sync.OnPeerDown(peer); }
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override {
    if (const auto* request = std::get_if<document_request>(&message)) {
      ++requests;
      if (!mute)
        sync.OnRequest(peer, *request);
    }
    if (const auto* piece = std::get_if<routing_piece>(&message))
      sync.OnPiece(peer, *piece);
  }

  peer_identity self;
  fake_peer_port port;
  route_table routes;
  std::vector<std::string> updates_from;
  int requests = 0;
  // Takes requests and does not answer.
  bool mute = false;
  routing_sync sync;
};

struct sync_fixture {
  explicit sync_fixture(int peers) {
    for (int i = 0; i <= peers; ++i)
      nodes.push_back(
          std::make_unique<sync_node>(network, "n-" + std::to_string(i)));
    for (int i = 1; i <= peers; ++i)
      network.Connect(self().port, Peer(i).port);
  }

  sync_node& self() { return *nodes[0]; }
  sync_node& Peer(int number) { return *nodes[static_cast<size_t>(number)]; }

  // Peers with that configuration tell this instance so.
  void PeersHave(std::initializer_list<int> peers,
                 const routing_config& config) {
    for (int number : peers) {
      Peer(number).routes.Update(config);
      self().sync.OnStatus(Peer(number).self.instance, config.version);
    }
  }

  int RequestsToPeers() const {
    int requests = 0;
    for (const auto& node : nodes)
      requests += node->requests;
    return requests;
  }

  manual_scheduler clock;
  fake_network network{clock};
  std::vector<std::unique_ptr<sync_node>> nodes;
};

}  // namespace

TEST_CASE("routing_sync: one of many peers is asked") {
  sync_fixture f(4);
  f.self().routes.Update(Config(1, 3));
  f.PeersHave({1, 2, 3, 4}, Config(2, 4));
  f.clock.Advance(milliseconds(10));
  CHECK(f.self().routes.version() == config_version(2));
  CHECK(f.RequestsToPeers() == 1);
  CHECK(f.self().sync.behind() == duration::zero());
  f.PeersHave({1}, Config(2, 4));
  f.clock.Advance(seconds(1));
  CHECK(f.RequestsToPeers() == 1);
}

// Guards against an instance that stays behind with a peer that hangs.
TEST_CASE("routing_sync: a peer that does not answer is passed over") {
  sync_fixture f(2);
  for (int number : {1, 2})
    f.Peer(number).mute = true;
  f.PeersHave({1, 2}, Config(2, 4));
  f.clock.Advance(milliseconds(100));
  int asked = f.Peer(1).requests > 0 ? 1 : 2;
  f.Peer(3 - asked).mute = false;
  f.clock.Advance(milliseconds(1500));
  CHECK(f.self().routes.version() == config_version(2));
  CHECK(f.self().sync.metrics().timeouts == 1);
}

TEST_CASE("routing_sync: the peer's link breaks in the middle") {
  sync_fixture f(2);
  f.network.bytes_per_second = 100e3;
  f.PeersHave({1, 2}, Config(2, 4000));
  f.clock.Advance(milliseconds(300));
  REQUIRE(f.self().routes.version() == config_version());
  int asked = f.Peer(1).requests > 0 ? 1 : 2;
  f.network.Disconnect(f.self().port, f.Peer(asked).port);
  f.clock.Advance(seconds(10));
  CHECK(f.self().routes.size() == 4000);
  REQUIRE(f.self().updates_from.size() == 1);
  CHECK(f.self().updates_from[0] == f.Peer(3 - asked).self.instance.str());
}

// Guards against a large change on a thin link that is taken for a lost one, so
// that everything is read from the store over the same link.
TEST_CASE("routing_sync: a large update over a thin link has not stalled") {
  sync_fixture f(1);
  f.network.bytes_per_second = 50e3;
  f.PeersHave({1}, Config(2, 4000));
  f.clock.Advance(milliseconds(2500));
  REQUIRE(!f.self().routes.known());
  CHECK(f.self().sync.behind() > seconds(2));
  CHECK(f.self().sync.stalled() < seconds(1));
  f.Peer(1).mute = true;
  f.clock.Advance(milliseconds(1400));
  CHECK(f.self().sync.stalled() > seconds(1));
}

// Guards against an instance whose link fills with the configuration for all
// that restart at the same time.
TEST_CASE("routing_sync: a peer serves few large updates at a time") {
  sync_fixture f(9);
  sync_node& server = f.Peer(9);
  server.routes.Update(Config(2, 4000));
  f.network.bytes_per_second = 1e6;
  int begun = 0;
  for (int i = 1; i <= 8; ++i) {
    f.network.Connect(f.Peer(i).port, server.port);
    f.Peer(i).sync.OnStatus(server.self.instance, config_version(2));
  }
  f.clock.Advance(milliseconds(100));
  for (int i = 1; i <= 8; ++i)
    begun += f.Peer(i).sync.metrics().refusals == 0;
  CHECK(begun == 4);
  f.clock.Advance(seconds(10));
  for (int i = 1; i <= 8; ++i)
    CHECK(f.Peer(i).routes.size() == 4000);
}

TEST_CASE("routing_sync: the peer moves on while it sends") {
  sync_fixture f(1);
  f.network.bytes_per_second = 1e6;
  f.PeersHave({1}, Config(2, 4000));
  f.clock.Advance(milliseconds(50));
  REQUIRE(!f.self().routes.known());
  f.PeersHave({1}, Config(3, 4001));
  f.clock.Advance(seconds(5));
  CHECK(f.self().routes.version() == config_version(3));
  CHECK(f.self().routes.size() == 4001);
}

TEST_CASE("routing_sync: the store is faster than the peer") {
  sync_fixture f(1);
  f.network.bytes_per_second = 1e6;
  f.PeersHave({1}, Config(2, 4000));
  f.clock.Advance(milliseconds(50));
  f.self().routes.Update(Config(2, 4000));
  f.self().sync.OnOwnVersion();
  int requests = f.Peer(1).requests;
  f.clock.Advance(seconds(2));
  CHECK(f.Peer(1).requests == requests);
  CHECK(f.self().updates_from.empty());
}

// Guards against asking in a loop.
TEST_CASE("routing_sync: a peer has not what it told of") {
  sync_fixture f(1);
  f.PeersHave({1}, Config(2, 3));
  f.clock.Advance(milliseconds(10));
  REQUIRE(f.self().routes.version() == config_version(2));
  f.self().sync.OnStatus(f.Peer(1).self.instance, config_version(3));
  f.clock.Advance(seconds(1));
  CHECK(f.Peer(1).requests < 15);
}

// Guards against a mixture of versions where a change was undone unseen.
TEST_CASE("routing_sync: what does not fit is asked for whole") {
  sync_fixture f(1);
  f.self().routes.Update(Config(1, 3));
  f.Peer(1).routes.Update(Config(1, 3));
  f.self().routes.Update(Config(2, 5));
  f.PeersHave({1}, Config(3, 3));
  f.clock.Advance(milliseconds(50));
  CHECK(f.self().routes.version() == config_version(3));
  CHECK(f.self().routes.size() == 3);
  CHECK(f.self().sync.metrics().mismatches == 1);
}

TEST_CASE("routing_piece: pieces are small, and make up the whole") {
  route_table table;
  table.Update(Config(2, 4000));
  routing_update update = table.ChangesSince(config_version());
  update.removed = {{"h.example", "/gone/"}};
  std::vector<routing_piece> pieces = SplitIntoPieces(update);
  size_t routes = 0;
  wire_names names;
  for (size_t i = 0; i < pieces.size(); ++i) {
    CHECK(pieces[i].number == i);
    CHECK(pieces[i].last == (i + 1 == pieces.size()));
    routes += pieces[i].update.to.routes.size();
    std::string frame = EncodeFrame(peer_message(pieces[i]), names);
    CHECK(frame.size() < 32 * 1024);
    auto decoded = DecodeFrame(frame, names);
    REQUIRE(decoded.ok());
    CHECK(std::get<routing_piece>(std::get<peer_message>(decoded.value())) ==
          pieces[i]);
  }
  CHECK(routes == 4000);
  CHECK(pieces.back().update.removed == update.removed);
  CHECK(SplitIntoPieces(routing_update()).size() == 1);
}

}  // namespace jasminedyke
