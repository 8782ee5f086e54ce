// Ports that the kernel gives to outgoing connections, and that a daemon may be
// told to listen on.

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakes/raw_socket.h"
#include "protocol/protocol.h"

namespace jasminedyke {
namespace {

// What others connect to; tells from which port they come.
class far_end {
 public:
  far_end() : listens_(server_socket::Open({"127.0.0.1", 0})) {
    address_ = listens_.address();
    descriptor_ = listens_.Release();
  }
  ~far_end() {
    close(descriptor_);
    if (connection_ >= 0)
      close(connection_);
  }
  far_end(const far_end&) = delete;
  far_end& operator=(const far_end&) = delete;

  const socket_address& address() const { return address_; }

  // Where the first one comes from, which stays connected.
  socket_address WaitForCaller(event_loop& loop) {
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    auto* generic = reinterpret_cast<sockaddr*>(&from);
    REQUIRE(RunUntil(loop, [&] {
      connection_ = accept4(descriptor_, generic, &length, SOCK_CLOEXEC);
      return connection_ >= 0;
    }));
    return {"127.0.0.1", ntohs(from.sin_port)};
  }

 private:
  server_socket listens_;
  socket_address address_;
  int descriptor_ = -1;
  int connection_ = -1;
};

// Whether a listener may have the port of one of a few connections, each of
// which `connect` makes to the far end that it is given. The kernel may have
// given the port of a single one to another program's connection, too.
bool MayListenOnOneOf(
    const std::function<socket_address(far_end& peer)>& connect) {
  constexpr int kConnections = 10;
  for (int i = 0; i < kConnections; ++i) {
    far_end peer;
    auto bound = server_socket::Bind(connect(peer));
    if (!bound.ok())
      MESSAGE(bound.error().ToString());
    else if (!bound.value().Listen())
      return true;
  }
  return false;
}

// Guards against a daemon that can't start for as long as a call of another one
// on its machine has its port.
TEST_CASE("http_connection: its own port can be listened on beside it") {
  event_loop loop;
  std::vector<std::unique_ptr<http_connection>> connections;
  CHECK(MayListenOnOneOf([&](far_end& upstream) {
    connections.push_back(std::make_unique<http_connection>(
        loop, upstream.address(), http_client_limits()));
    connections.back()->Send({http_method::kGet, "/", {}, {}},
                             std::chrono::seconds(60),
                             [](const http_result&) {});
    return upstream.WaitForCaller(loop);
  }));
}

// Guards against a daemon that can't start for as long as a link between two
// others on its machine has its port.
TEST_CASE("peer_mesh: the port of a link to a peer can be listened on") {
  event_loop loop;
  wire_names names;
  peer_mesh mesh(
      loop,
      {{instance_id("e0"), incarnation_id("aa"), failure_domain_id("d")},
       std::string(32, 'k')},
      server_socket::Open({"127.0.0.1", 0}), names);
  CHECK(MayListenOnOneOf([&](far_end& peer) {
    mesh.SetWanted({{instance_id("e1"), peer.address()}});
    return peer.WaitForCaller(loop);
  }));
}

}  // namespace
}  // namespace jasminedyke
