// Changes of the configuration under faults of the table service.

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_tables.h"

namespace jasminedyke {
namespace {

using fate = fake_tables::write_fate;
using result = outcome<config_version, change_failure>;

configuration_change PutTarget(const std::string& id, int target_ms) {
  configuration_change change;
  change.id = change_id(id);
  change.author = "operator";
  change.summary = "put";
  change.edit = [target_ms, id](nlohmann::json& document) {
    document["classes"]["stock-check"] = {{"target_ms", target_ms}};
    // Counts how often the change was applied.
    document["classes"]["applied-" + id] = {
        {"target_ms", document["classes"].contains("applied-" + id) ? 2 : 1}};
    return std::optional<problem>();
  };
  return change;
}

struct fixture {
  fixture() : tables(clock), store(clock, tables) {}

  result Change(const configuration_change& change) {
    std::optional<result> got;
    store.Change(change, [&](const result& r) { got = r; });
    for (int i = 0; i < 20'000 && !got; ++i)
      clock.Advance(std::chrono::milliseconds(1));
    REQUIRE(got);
    return *got;
  }
  nlohmann::json& stored() {
    return tables.rows[{"configuration", "current"}].value;
  }

  manual_scheduler clock;
  fake_tables tables;
  configuration_store store;
};

// The store's answer to the first write takes each possible course. Whatever
// the operator is told must be true, and nothing may be applied twice.
TEST_CASE("configuration_store: one change under each fate of its write") {
  struct fate_case {
    const char* name;
    std::vector<fate> fates;
    bool accepted;
  };
  const std::vector<fate_case> cases = {
      {"answered", {fate::kAnswered}, true},
      {"reply lost after the effect", {fate::kReplyLost}, true},
      {"request lost", {fate::kRequestLost, fate::kAnswered}, true},
      {"refused, then answered", {fate::kRefusedAtOnce, fate::kAnswered}, true},
      {"effect delayed beyond the second try",
       {fate::kEffectDelayed, fate::kAnswered},
       true},
      {"effect delayed, then lost",
       {fate::kEffectDelayed, fate::kReplyLost},
       true},
  };
  for (const fate_case& each : cases) {
    CAPTURE(each.name);
    fixture f;
    size_t write = 0;
    f.tables.fate = [&] {
      size_t i = std::min(write++, each.fates.size() - 1);
      return each.fates[i];
    };
    result r = f.Change(PutTarget("c1", 250));
    CHECK(r.ok() == each.accepted);
    f.clock.Advance(std::chrono::seconds(5));
    CHECK(f.stored()["classes"]["applied-c1"]["target_ms"] == 1);
    CHECK(f.tables.writes_in_effect == 1);
    CHECK(f.store.settings().classes.at(class_id("stock-check")).target ==
          std::chrono::milliseconds(250));
  }
}

// The store is away for good. The operator is told that nothing was applied,
// or, if a write may have got through, that nobody knows.
TEST_CASE("configuration_store: an outage is reported as what it is") {
  fixture f;
  f.tables.outage = true;
  result refused = f.Change(PutTarget("c1", 250));
  REQUIRE_FALSE(refused.ok());
  CHECK(refused.error().error == change_error::kUnavailable);

  f.tables.outage = false;
  f.tables.fate = [&] {
    f.tables.outage = true;
    return fate::kRequestLost;
  };
  result unknown = f.Change(PutTarget("c2", 250));
  REQUIRE_FALSE(unknown.ok());
  CHECK(unknown.error().error == change_error::kUnknown);
}

TEST_CASE("configuration_store: a change asked for twice is applied once") {
  fixture f;
  CHECK(f.Change(PutTarget("c1", 250)).ok());
  CHECK(f.Change(PutTarget("c1", 250)).ok());
  CHECK(f.stored()["classes"]["applied-c1"]["target_ms"] == 1);
}

TEST_CASE("configuration_store: a change based on an old version conflicts") {
  fixture f;
  REQUIRE(f.Change(PutTarget("c1", 250)).ok());
  configuration_change late = PutTarget("c2", 500);
  late.expected = config_version(0);
  result r = f.Change(late);
  REQUIRE_FALSE(r.ok());
  CHECK(r.error().error == change_error::kConflict);
  CHECK_FALSE(f.stored()["classes"].contains("applied-c2"));
}

TEST_CASE("configuration_store: a wrong change names its field") {
  fixture f;
  configuration_change wrong = PutTarget("c1", -5);
  result r = f.Change(wrong);
  REQUIRE_FALSE(r.ok());
  CHECK(r.error().error == change_error::kInvalid);
  CHECK(r.error().what.where == "classes.stock-check.target_ms");
  CHECK(f.tables.writes_in_effect == 0);
}

// A peer that was cut off, or an answer that was delayed, brings an old
// document. It must never come back into force.
TEST_CASE("configuration_store: only newer versions come into force") {
  fixture f;
  nlohmann::json newer = {{"classes", {{"a", {{"target_ms", 2}}}}}};
  nlohmann::json older = {{"classes", {{"a", {{"target_ms", 1}}}}}};
  f.store.Offer(config_version(7), newer);
  f.store.Offer(config_version(6), older);
  f.store.Offer(config_version(7), older);
  CHECK(f.store.version() == config_version(7));
  CHECK(f.store.settings().classes.at(class_id("a")).target ==
        std::chrono::milliseconds(2));
  // A newer one that makes no sense is not taken either.
  f.store.Offer(config_version(8), {{"classes", 5}});
  CHECK(f.store.version() == config_version(7));
  // Nor one that is about something else: it would lock everybody out.
  f.store.Offer(config_version(9), {{"routes", nlohmann::json::array()}});
  f.store.Offer(config_version(9), nlohmann::json::object());
  CHECK(f.store.version() == config_version(7));
}

// Eight operators race a thousand changes through three instances, while
// replies are lost and the store is away for a while. Every change that was
// accepted stands in the document once, versions never fall, and all
// instances agree in the end.
TEST_CASE("configuration_store: a thousand raced changes, none reverted") {
  manual_scheduler clock;
  fake_tables tables(clock);
  std::mt19937_64 random(11);
  tables.fate = [&] {
    int dice = std::uniform_int_distribution<int>(0, 19)(random);
    if (dice == 0)
      return fate::kReplyLost;
    if (dice == 1)
      return fate::kRequestLost;
    return dice == 2 ? fate::kEffectDelayed : fate::kAnswered;
  };
  std::vector<std::unique_ptr<configuration_store>> stores;
  std::vector<config_version> seen(3);
  for (int i = 0; i < 3; ++i) {
    stores.push_back(std::make_unique<configuration_store>(clock, tables));
    stores[i]->OnChange([&, i] {
      CHECK(stores[i]->version() > seen[i]);
      seen[i] = stores[i]->version();
    });
    stores[i]->StartPolling(std::chrono::seconds(1));
  }
  std::set<std::string> accepted;
  std::set<std::string> refused;
  int asked = 0;
  std::function<void(int)> ask = [&](int op) {
    if (asked == 1000)
      return;
    std::string id = "c" + std::to_string(asked++);
    configuration_change change = PutTarget(id, 1 + asked);
    stores[op % 3]->Change(change, [&, op, id](const result& r) {
      (r.ok() ? accepted : refused).insert(id);
      if (!r.ok() && r.error().error == change_error::kUnknown)
        refused.erase(id);
      ask(op);
    });
  };
  for (int op = 0; op < 8; ++op)
    ask(op);
  for (int second = 0; second < 2000; ++second) {
    tables.outage = second >= 20 && second < 35;
    clock.Advance(std::chrono::seconds(1));
    if (accepted.size() + refused.size() >= 1000)
      break;
  }
  clock.Advance(std::chrono::seconds(10));
  const nlohmann::json& classes =
      tables.rows[{"configuration", "current"}].value["classes"];
  CHECK(accepted.size() > 900);
  for (const std::string& id : accepted) {
    REQUIRE(classes.contains("applied-" + id));
    CHECK(classes["applied-" + id]["target_ms"] == 1);
  }
  for (const std::string& id : refused)
    CHECK_FALSE(classes.contains("applied-" + id));
  for (const auto& store : stores) {
    CHECK(store->version().value() ==
          tables.version("configuration", "current"));
    CHECK(store->settings() == stores[0]->settings());
  }
}

}  // namespace
}  // namespace jasminedyke
