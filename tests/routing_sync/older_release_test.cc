// A peer of a release that knows only whole documents.

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"
#include "routing_document.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const std::string kOlder = R"({"version":1,"services":[],"routes":[
  {"hostname":"h.example","path_prefix":"/a/","service":"parts"}]})";
const std::string kNewer = R"({"version":2,"services":[],"routes":[
  {"hostname":"h.example","path_prefix":"/a/","service":"parts"},
  {"hostname":"h.example","path_prefix":"/b/","service":"parts"}]})";

// The older peer of one instance.
struct older_peer : peer_listener {
  explicit older_peer(run_nodes& d)
      : port(d.network,
             {instance_id("north-9"), incarnation_id("9"),
              failure_domain_id("north")}) {
    port.SetListener(this);
  }

  void OnPeerUp(const peer_identity&) override {}
  void OnPeerDown(const instance_id&) override {}
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override {
    if (const auto* got = std::get_if<peer_document>(&message))
      documents.push_back(*got);
    // It skips what it does not know of the request.
    if (std::holds_alternative<document_request>(message))
      port.Send(peer, peer_document{document_kind::kConfiguration, 2, kNewer});
  }

  fake_peer_port port;
  std::vector<peer_document> documents;
};

}  // namespace

TEST_CASE("routing_sync: a peer of an older release sends all") {
  run_nodes d;
  run_node& node = d.Add("north", 1);
  node.cluster->OnConfigDocument(kOlder, "store");
  older_peer older(d);
  d.network.Connect(node.peers, older.port);
  peer_status status;
  status.config = config_version(2);
  older.port.Send(node.self.instance, status);
  d.Run(milliseconds(50));
  CHECK(node.cluster->routes().Find("h.example", "/b/1") != nullptr);
  CHECK(node.cluster->config_behind() == duration::zero());
}

TEST_CASE("routing_sync: a peer of an older release gets all") {
  run_nodes d;
  run_node& node = d.Add("north", 1);
  node.cluster->OnConfigDocument(kNewer, "store");
  older_peer older(d);
  d.network.Connect(node.peers, older.port);
  older.port.Send(node.self.instance, document_request());
  d.Run(milliseconds(50));
  REQUIRE(older.documents.size() == 1);
  CHECK(older.documents[0].version == 2);
  auto config = ParseRoutingConfig(older.documents[0].json);
  REQUIRE(config);
  CHECK(config->routes.size() == 2);
}

}  // namespace jasminedyke
