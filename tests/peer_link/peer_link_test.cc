// Links between instances over real sockets.

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/raw_socket.h"
#include "protocol/protocol.h"

namespace jasminedyke {
namespace {

struct recorder : peer_listener {
  void OnPeerUp(const peer_identity& peer) override {
    up.push_back(peer.instance);
  }
  void OnPeerDown(const instance_id& peer) override { down.push_back(peer); }
  void OnPeerMessage(const instance_id&, const peer_message& m) override {
    messages.push_back(m);
  }
  std::vector<instance_id> up;
  std::vector<instance_id> down;
  std::vector<peer_message> messages;
};

struct node {
  node(event_loop& loop,
       const std::string& id,
       const std::string& key,
       const std::string& incarnation = "aa")
      : mesh(loop,
             {{instance_id(id), incarnation_id(incarnation),
               failure_domain_id("d")},
              key},
             server_socket::Open({"127.0.0.1", 0}),
             names) {
    mesh.SetListener(&seen);
  }
  wire_names names;
  recorder seen;
  peer_mesh mesh;
};

uint64_t Ends(const node& n, link_end end) {
  auto found = n.mesh.ends().find(end);
  return found == n.mesh.ends().end() ? 0 : found->second;
}

const std::string kKey(32, 'k');

TEST_CASE("peer_mesh: peers with the key talk both ways over one link") {
  event_loop loop;
  node a(loop, "e0", kKey);
  node b(loop, "e1", kKey);
  a.mesh.SetWanted({{instance_id("e1"), b.mesh.address()}});
  b.mesh.SetWanted({{instance_id("e0"), a.mesh.address()}});
  REQUIRE(RunUntil(
      loop, [&] { return a.seen.up.size() == 1 && b.seen.up.size() == 1; }));
  CHECK(a.mesh.Send(instance_id("e1"), document_request()));
  CHECK(b.mesh.Send(instance_id("e0"), peer_status()));
  REQUIRE(RunUntil(loop, [&] {
    return a.seen.messages.size() == 1 && b.seen.messages.size() == 1;
  }));
  CHECK(b.mesh.Identity(instance_id("e0"))->incarnation ==
        incarnation_id("aa"));
  CHECK(a.seen.up.size() == 1);
}

// A process with another key says it is a peer. It is cut off and counted,
// and nothing that it sends is heard.
TEST_CASE("peer_mesh: a peer without the key is cut off") {
  event_loop loop;
  node a(loop, "e0", kKey);
  node b(loop, "e1", std::string(32, 'x'));
  a.mesh.SetWanted({{instance_id("e1"), b.mesh.address()}});
  REQUIRE(RunUntil(loop, [&] {
    return Ends(a, link_end::kUnauthorized) + Ends(b, link_end::kUnauthorized) >
           0;
  }));
  CHECK(a.seen.up.empty());
  CHECK(b.seen.up.empty());
}

// A stranger sends bytes that are no frames, or sends our own hello back.
TEST_CASE("peer_mesh: strangers are cut off") {
  event_loop loop;
  node a(loop, "e0", kKey);
  const std::vector<std::string> cases = {
      std::string("\xff\xff\xff\xff", 4),
      std::string("\0\0\0\x04"
                  "abcd",
                  8),
      std::string("\0\0\0\0", 4),
      "GET / HTTP/1.1\r\n\r\n",
  };
  for (const std::string& bytes : cases) {
    raw_client stranger(a.mesh.address());
    stranger.Write(bytes);
    REQUIRE(RunUntil(loop, [&] {
      stranger.Read();
      return stranger.ended;
    }));
  }
  raw_client mirror(a.mesh.address());
  REQUIRE(RunUntil(loop, [&] {
    mirror.Read();
    return !mirror.received.empty();
  }));
  mirror.Write(mirror.received);
  REQUIRE(RunUntil(loop, [&] {
    mirror.Read();
    return mirror.ended;
  }));
  CHECK(Ends(a, link_end::kMalformed) == 5);
  CHECK(a.seen.up.empty());
}

// A peer restarted where it can't learn of anybody, so it does not connect,
// though its id is the lesser one. The other side comes to it after a moment.
TEST_CASE("peer_mesh: a peer that knows nobody is met by the other side") {
  event_loop loop;
  node lost(loop, "e0", kKey);
  node b(loop, "e1", kKey);
  b.mesh.SetWanted({{instance_id("e0"), lost.mesh.address()}});
  REQUIRE(RunUntil(loop, [&] { return lost.seen.up.size() == 1; }));
  CHECK(b.mesh.peers_up().size() == 1);
}

// An instance is replaced under its id while the old link still stands. The
// new incarnation takes its place.
TEST_CASE("peer_mesh: a new incarnation replaces the old link") {
  event_loop loop;
  node a(loop, "e1", kKey);
  node old_b(loop, "e0", kKey, "aa");
  old_b.mesh.SetWanted({{instance_id("e1"), a.mesh.address()}});
  REQUIRE(RunUntil(loop, [&] { return a.seen.up.size() == 1; }));
  node new_b(loop, "e0", kKey, "bb");
  new_b.mesh.SetWanted({{instance_id("e1"), a.mesh.address()}});
  old_b.mesh.SetWanted({});
  REQUIRE(RunUntil(loop, [&] { return a.seen.up.size() >= 2; }));
  CHECK(a.mesh.Identity(instance_id("e0"))->incarnation ==
        incarnation_id("bb"));
  CHECK(a.mesh.peers_up().size() == 1);
}

peer_document Document(size_t bytes) {
  return {document_kind::kMembership, 1, std::string(bytes, 'x')};
}

// Guards against peers that read too little and together take all of the
// memory, and against the others' links ending for it.
TEST_CASE("peer_mesh: beyond the bound of all links the largest one ends") {
  event_loop loop;
  node a(loop, "e0", kKey);
  node b(loop, "e1", kKey);
  node c(loop, "e2", kKey);
  a.mesh.SetLimits({.max_held = 1'000'000});
  a.mesh.SetWanted({{instance_id("e1"), b.mesh.address()},
                    {instance_id("e2"), c.mesh.address()}});
  REQUIRE(RunUntil(loop, [&] {
    return a.mesh.peers_up().size() == 2 && !c.seen.up.empty();
  }));
  for (int i = 0; i < 2; ++i)
    a.mesh.Send(instance_id("e1"), Document(400'000));
  a.mesh.Send(instance_id("e2"), Document(300'000));
  CHECK(a.mesh.held_bytes() > 1'000'000);
  REQUIRE(RunUntil(loop, [&] { return !c.seen.messages.empty(); }));
  CHECK(Ends(a, link_end::kMemory) == 1);
  CHECK(a.seen.down == std::vector<instance_id>{instance_id("e1")});
  REQUIRE(RunUntil(loop, [&] { return a.mesh.held_bytes() == 0; }));
  // The peer is back over a new link.
  a.mesh.Send(instance_id("e2"), Document(10));
  CHECK(RunUntil(loop, [&] { return a.seen.up.size() == 3; }));
}

// Guards against a peer's frame that takes all of the memory.
TEST_CASE("peer_mesh: a frame beyond the bound ends its link") {
  event_loop loop;
  node a(loop, "e0", kKey);
  node b(loop, "e1", kKey);
  a.mesh.SetLimits({.max_frame = 100'000});
  a.mesh.SetWanted({{instance_id("e1"), b.mesh.address()}});
  REQUIRE(RunUntil(
      loop, [&] { return a.seen.up.size() == 1 && b.seen.up.size() == 1; }));
  b.mesh.Send(instance_id("e0"), Document(90'000));
  b.mesh.Send(instance_id("e0"), Document(110'000));
  REQUIRE(RunUntil(loop, [&] { return Ends(a, link_end::kTooLarge) == 1; }));
  CHECK(a.seen.messages.size() == 1);
  CHECK(a.seen.down.size() == 1);
}

}  // namespace
}  // namespace jasminedyke
