// Charging under faults of the table service.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_tables.h"

namespace jasminedyke {
namespace {

using fate = fake_tables::write_fate;

const team_id kTeam("lahore");

struct fixture {
  fixture() : tables(clock), ledger(clock, tables, incarnation_id("aa")) {
    ledger.StartFlushing(std::chrono::seconds(4));
  }
  uint64_t Charged(const std::string& team) {
    auto found = tables.rows.find({"usage_totals", team});
    return found == tables.rows.end()
               ? 0
               : found->second.value["run_us"].get<uint64_t>();
  }

  manual_scheduler clock;
  fake_tables tables;
  usage_ledger ledger;
};

// Each fate of a batch's write must lead to exactly one charge.
TEST_CASE("usage_ledger: a batch is charged once whatever its write's fate") {
  const std::vector<std::vector<fate>> cases = {
      {fate::kAnswered},
      {fate::kReplyLost, fate::kAnswered},
      {fate::kReplyLost, fate::kReplyLost, fate::kAnswered},
      {fate::kRequestLost, fate::kAnswered},
      {fate::kEffectDelayed, fate::kAnswered},
      {fate::kEffectDelayed, fate::kRequestLost, fate::kAnswered},
      {fate::kRefusedAtOnce, fate::kEffectDelayed, fate::kAnswered},
  };
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    fixture f;
    size_t write = 0;
    f.tables.fate = [&] {
      return cases[i][std::min(write++, cases[i].size() - 1)];
    };
    f.ledger.Book(kTeam, std::chrono::milliseconds(150));
    f.ledger.Book(team_id("karachi"), std::chrono::milliseconds(50));
    f.clock.Advance(std::chrono::seconds(10));
    f.ledger.Book(kTeam, std::chrono::milliseconds(100));
    f.clock.Advance(std::chrono::seconds(20));
    CHECK(f.Charged("lahore") == 250'000);
    CHECK(f.Charged("karachi") == 50'000);
    CHECK(f.ledger.unflushed().empty());
  }
}

// The store is down for an hour while work goes on. Nothing is forgotten.
TEST_CASE("usage_ledger: an outage delays charges and loses none") {
  fixture f;
  f.tables.outage = true;
  for (int i = 0; i < 3600; ++i) {
    f.ledger.Book(kTeam, std::chrono::milliseconds(10));
    f.clock.Advance(std::chrono::seconds(1));
  }
  CHECK(f.Charged("lahore") == 0);
  f.tables.outage = false;
  f.clock.Advance(std::chrono::seconds(20));
  CHECK(f.Charged("lahore") == 36'000'000);
}

// Many instances write the same totals at once; none overwrites another.
TEST_CASE("usage_ledger: instances that write together lose nothing") {
  manual_scheduler clock;
  fake_tables tables(clock);
  std::mt19937_64 random(5);
  tables.fate = [&] {
    return std::bernoulli_distribution(0.1)(random) ? fate::kReplyLost
                                                    : fate::kAnswered;
  };
  std::vector<std::unique_ptr<usage_ledger>> ledgers;
  for (int i = 0; i < 9; ++i) {
    ledgers.push_back(std::make_unique<usage_ledger>(
        clock, tables, incarnation_id("i" + std::to_string(i))));
    ledgers.back()->StartFlushing(std::chrono::seconds(4));
  }
  for (int second = 0; second < 120; ++second) {
    for (auto& ledger : ledgers)
      ledger->Book(kTeam, std::chrono::milliseconds(1));
    clock.Advance(std::chrono::seconds(1));
  }
  clock.Advance(std::chrono::seconds(60));
  CHECK(tables.rows[{"usage_totals", "lahore"}].value["tasks"] == 9 * 120);
}

TEST_CASE("usage_ledger: a planned stop flushes what is left") {
  fixture f;
  f.ledger.Book(kTeam, std::chrono::milliseconds(150));
  bool flushed = false;
  f.ledger.FlushAll([&] { flushed = true; });
  CHECK_FALSE(flushed);
  f.clock.Advance(std::chrono::milliseconds(100));
  CHECK(flushed);
  CHECK(f.Charged("lahore") == 150'000);
}

}  // namespace
}  // namespace jasminedyke
