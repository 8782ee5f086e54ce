// Who follows the operators' table: some of each failure domain, and always
// somebody.

#include <map>
#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "base/manual_scheduler.h"
#include "cluster/cluster.h"
#include "fakes/fake_peers.h"

namespace jasminedyke {

namespace {

using std::chrono::seconds;

// The choice of "n-3", with peers "n-1" to "n-5" of its failure domain and
// "s-1" of another.
struct choice_fixture {
  choice_fixture() {
    for (const char* name : {"n-1", "n-2", "n-3", "n-4", "n-5", "s-1"}) {
      entry_member member;
      member.instance = instance_id(name);
      member.domain = failure_domain_id(std::string(1, name[0]));
      members[member.instance] = member;
    }
    self = members[instance_id("n-3")];
    for (const auto& [id, member] : members) {
      ports[id] = std::make_unique<fake_peer_port>(
          network, peer_identity{id, {}, member.domain});
    }
    for (auto& [id, port] : ports) {
      if (id != self.instance)
        network.Connect(*ports[self.instance], *port);
    }
    choice = std::make_unique<reader_choice>(
        clock, *ports[self.instance], self,
        [this](const instance_id& id) { return id == home; },
        [this](bool) { ++changes; });
    choice->SetMembers(members);
  }

  bool ReadsWith(std::initializer_list<const char*> followers,
                 std::initializer_list<const char*> trying = {}) {
    for (const auto& [id, member] : members)
      choice->OnStatus(id, store_reading::kNone);
    for (const char* name : followers)
      choice->OnStatus(instance_id(name), store_reading::kFollowing);
    for (const char* name : trying)
      choice->OnStatus(instance_id(name), store_reading::kTrying);
    choice->Review(false);
    return choice->reads();
  }

  manual_scheduler clock;
  fake_network network{clock};
  std::map<instance_id, entry_member> members;
  entry_member self;
  instance_id home;
  std::map<instance_id, std::unique_ptr<fake_peer_port>> ports;
  int changes = 0;
  std::unique_ptr<reader_choice> choice;
};

}  // namespace

TEST_CASE("reader_choice: two before it in its own failure domain are enough") {
  choice_fixture f;
  CHECK(!f.ReadsWith({"n-1", "n-2"}));
  CHECK(f.ReadsWith({"n-1"}));
}

TEST_CASE("reader_choice: those behind it and elsewhere don't count") {
  choice_fixture f;
  CHECK(f.ReadsWith({"n-1", "n-4", "n-5", "s-1"}));
}

TEST_CASE("reader_choice: the strongest read") {
  choice_fixture f;
  f.members[instance_id("n-5")].weight = 2;
  f.choice->SetMembers(f.members);
  CHECK(!f.ReadsWith({"n-1", "n-5"}));
}

TEST_CASE("reader_choice: the home reads last") {
  choice_fixture f;
  f.home = instance_id("n-1");
  CHECK(f.ReadsWith({"n-1", "n-2"}));
  f.clock.Advance(seconds(6));
  f.home = f.self.instance;
  CHECK(!f.ReadsWith({"n-4", "n-5"}));
}

TEST_CASE("reader_choice: a reader whose link breaks is replaced at once") {
  choice_fixture f;
  REQUIRE(!f.ReadsWith({"n-1", "n-2"}));
  f.choice->OnPeerDown(instance_id("n-2"));
  f.choice->Review(false);
  CHECK(f.choice->reads());
}

TEST_CASE("reader_choice: an instance that peers can't help reads") {
  choice_fixture f;
  REQUIRE(!f.ReadsWith({"n-1", "n-2"}));
  f.choice->Review(true);
  CHECK(f.choice->reads());
}

// Guards against an outage of the store after which all instances read all.
TEST_CASE("reader_choice: while the store is away, a few try") {
  choice_fixture f;
  f.members[instance_id("n-4")].weight = 2;
  f.members[instance_id("n-5")].weight = 2;
  f.choice->SetMembers(f.members);
  CHECK(!f.ReadsWith({}, {"n-1", "n-2", "n-4", "n-5"}));
  CHECK(f.ReadsWith({"n-1"}, {"n-2", "n-4"}));
}

// Guards against reading the whole table anew each time a link comes and goes.
TEST_CASE("reader_choice: reading goes on for a while") {
  choice_fixture f;
  REQUIRE(f.ReadsWith({"n-1"}));
  for (int i = 0; i < 4; ++i) {
    f.clock.Advance(seconds(1));
    CHECK(f.ReadsWith({"n-1", "n-2"}));
    f.clock.Advance(seconds(1));
    CHECK(f.ReadsWith({"n-1"}));
  }
  CHECK(f.changes == 1);
  f.clock.Advance(seconds(6));
  CHECK(!f.ReadsWith({"n-1", "n-2"}));
}

}  // namespace jasminedyke
