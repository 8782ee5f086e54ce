// Tests of slots that a home grants over a link that breaks.

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include <doctest/doctest.h>

#include "cluster/cluster.h"
#include "fakes/fake_attempts.h"
#include "fakes/fake_peers.h"

namespace jasminedyke {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 4;
const failure_domain_id kDomain("d");

// One process of an entry instance, with the parts that share slots.
struct entry_process : peer_listener {
  entry_process(fake_network& network,
                const std::string& id,
                const std::string& incarnation,
                const membership_view& view)
      : clock(network.clock),
        port(network, {instance_id(id), incarnation_id(incarnation), kDomain}),
        table(kDomain),
        jobs(clock, attempts, usage, table, DefaultOrderRule(), queue_caps()),
        home(clock,
             instance_id(id),
             kDomain,
             DefaultOrderRule(),
             [this](const instance_id& to, const slot_grant& grant) {
               Send(to, grant);
             }),
        slots(new granted_slots(clock, table, jobs, DefaultOrderRule(), 1)),
        homes(clock, port.self, port, *slots, home) {
    jobs.SetStrategy(
        std::unique_ptr<slot_strategy>(slots),
        [this](const instance_id& to, const slot_message& message) {
          Send(to, message);
        });
    table.SetMembership(view);
    homes.OnMembershipChanged(view);
    port.SetListener(this);
  }

  void Send(const instance_id& to, const slot_message& message) {
    if (to == port.self.instance) {
      clock.CallAfter(duration::zero(),
                      [this, to, message] { Take(to, message); });
      return;
    }
    std::visit([&](const auto& each) { port.Send(to, each); }, message);
  }

  void Take(const instance_id& from, const slot_message& message) {
    if (const auto* demand = std::get_if<slot_demand>(&message))
      home.OnDemand(from, *demand);
    else if (const auto* release = std::get_if<slot_release>(&message))
      home.OnRelease(from, *release);
    else
      slots->OnPeerMessage(from, message);
  }

  void OnPeerUp(const peer_identity& peer) override {
    homes.OnPeerUp(peer.instance);
  }
  void OnPeerDown(const instance_id& peer) override { homes.OnPeerDown(peer); }
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override {
    if (const auto* demand = std::get_if<slot_demand>(&message))
      Take(peer, *demand);
    else if (const auto* grant = std::get_if<slot_grant>(&message))
      Take(peer, *grant);
    else if (const auto* release = std::get_if<slot_release>(&message))
      Take(peer, *release);
  }

  void Submit(int tasks) {
    job_spec spec;
    spec.name = "job";
    spec.team = team_id("lahore");
    spec.tasks.resize(tasks);
    jobs.Submit(std::move(spec), [](const job_outcome&) {});
  }

  scheduler& clock;
  fake_peer_port port;
  fake_attempts attempts;
  fake_usage usage;
  upstream_table table;
  dispatcher jobs;
  slot_home home;
  granted_slots* slots;
  home_selector homes;
};

// Two instances of which one is home, and two upstreams with two slots each.
struct linked_instances {
  linked_instances() {
    network.names.Load({"u0", "u1", "e0", "e1", "lahore"});
    view.Update(MakeMembership(1, 2, 2, kSlots / 2));
    a = std::make_unique<entry_process>(network, "e0", "1", view);
    b = std::make_unique<entry_process>(network, "e1", "2", view);
    network.Connect(a->port, b->port);
    // While they were not linked, each reserved slots for the other.
    clock.Advance(std::chrono::seconds(6));
    REQUIRE(a->homes.home() == b->homes.home());
    if (a->homes.home() == a->port.self.instance)
      std::swap(a, b);
  }

  // The holder of slots that is not home.
  entry_process& Holder() { return *a; }
  entry_process& Home() { return *b; }

  manual_scheduler clock;
  fake_network network{clock};
  membership_view view;
  std::unique_ptr<entry_process> a;
  std::unique_ptr<entry_process> b;
};

}  // namespace

// Guards against slots that stay unused after a link broke: the home counts
// grants that were lost with the link as held, and their tasks as started.
TEST_CASE("slot_home: the link breaks while grants are on their way") {
  linked_instances d;
  d.Holder().Submit(kSlots);
  d.clock.Advance(milliseconds(1));
  REQUIRE(d.Home().home.held() == kSlots);
  REQUIRE(d.Holder().attempts.attempts.empty());
  d.network.Disconnect(d.Holder().port, d.Home().port);
  d.clock.Advance(milliseconds(5));
  d.network.Connect(d.Holder().port, d.Home().port);
  d.clock.Advance(milliseconds(50));
  CHECK(d.Holder().attempts.attempts.size() == kSlots);
}

// Guards against slots that are kept for a process that is gone: its instance
// is back at once, and the home takes the grants of the old process for its.
TEST_CASE("slot_home: a holder of lost grants is back at once and idle") {
  linked_instances d;
  d.Holder().Submit(kSlots);
  d.clock.Advance(milliseconds(1));
  REQUIRE(d.Home().home.held() == kSlots);
  d.network.Disconnect(d.Holder().port, d.Home().port);
  std::string id = d.Holder().port.self.instance.str();
  d.Holder().port.listener = nullptr;
  entry_process next(d.network, id, "3", d.view);
  d.clock.Advance(milliseconds(5));
  d.network.Connect(next.port, d.Home().port);
  d.clock.Advance(milliseconds(10));
  d.Home().Submit(kSlots);
  d.clock.Advance(milliseconds(50));
  CHECK(d.Home().attempts.attempts.size() == kSlots);
}

}  // namespace jasminedyke
