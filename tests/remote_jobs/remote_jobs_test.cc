// Tests of requests about jobs that another entry instance owns.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "cluster/cluster.h"
#include "fakes/fake_attempts.h"
#include "fakes/fake_peers.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const instance_id kOwner("e1");
const incarnation_id kOwnerProcess("bb");

// One process of an instance, with only the part that forwards requests. It
// keeps the forwarded requests that it gets until the test answers them.
struct process : peer_listener {
  process(fake_network& network,
          const instance_id& self,
          const incarnation_id& incarnation)
      : port(network, {self, incarnation, failure_domain_id("d")}),
        jobs(network.clock,
             self,
             port,
             membership,
             [this](const forwarded_job&,
                    std::function<void(const http_reply&)> done) {
               received.push_back(std::move(done));
             }) {
    membership.Update(MakeMembership(1, 0, 2));
    port.SetListener(this);
  }

  void OnPeerUp(const peer_identity& peer) override {
    jobs.OnPeerUp(peer.instance);
  }
  void OnPeerDown(const instance_id& peer) override { jobs.OnPeerDown(peer); }
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override {
    if (const auto* request = std::get_if<remote_job_request>(&message))
      jobs.OnRequest(peer, *request);
    if (const auto* reply = std::get_if<remote_job_reply>(&message))
      jobs.OnReply(peer, *reply);
  }

  // Returns where the body of the answer will be.
  std::shared_ptr<std::optional<std::string>> Wait(uint64_t sequence) {
    auto body = std::make_shared<std::optional<std::string>>();
    job_id job{kOwner, kOwnerProcess, sequence, "cc"};
    jobs.Forward({job_operation::kWait, job, team_id("lahore"), ""},
                 [body](const outcome<http_reply, forward_error>& reply) {
                   *body = reply.ok() ? reply.value().body : "no answer";
                 });
    return body;
  }

  membership_view membership;
  fake_peer_port port;
  std::vector<std::function<void(const http_reply&)>> received;
  remote_jobs jobs;
};

}  // namespace

// Guards against giving a caller the answer of another job, perhaps of another
// team: the owner answers a request that an earlier process had forwarded.
TEST_CASE("remote_jobs: a reply for an earlier process of the instance") {
  manual_scheduler clock;
  fake_network network{clock};
  process owner(network, kOwner, kOwnerProcess);
  auto first = std::make_unique<process>(network, instance_id("e0"),
                                         incarnation_id("1"));
  network.Connect(first->port, owner.port);
  first->Wait(1);
  clock.Advance(milliseconds(10));
  REQUIRE(owner.received.size() == 1);
  network.Disconnect(first->port, owner.port);
  first.reset();
  process second(network, instance_id("e0"), incarnation_id("2"));
  network.Connect(second.port, owner.port);
  auto answer = second.Wait(3);
  clock.Advance(milliseconds(10));
  REQUIRE(owner.received.size() == 2);
  owner.received[0]({200, {}, "of the first job"});
  clock.Advance(milliseconds(10));
  CHECK(!answer->has_value());
  owner.received[1]({200, {}, "of the second job"});
  clock.Advance(milliseconds(10));
  REQUIRE(answer->has_value());
  CHECK(**answer == "of the second job");
}

}  // namespace jasminedyke
