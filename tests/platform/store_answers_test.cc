// Answers of the store that can't be used, and what tells of them.

#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/odd_store.h"

namespace jasminedyke {

// Guards against a store whose answers can't be read and nothing that tells.
TEST_CASE("store_answers: refused answers are counted by why") {
  struct odd_case {
    odd_answer answer;
    const char* why;
  };
  const odd_case kCases[] = {
      {{500, "{}"}, "status"},         {{503, ""}, "status"},
      {{200, "<html>"}, "unreadable"}, {{200, "[]"}, "unreadable"},
      {{200, ""}, "unreadable"},
  };
  for (const odd_case& each : kCases) {
    CAPTURE(each.answer.body);
    odd_store s([&](const std::string&) { return each.answer; });
    CHECK(s.WatchUntilRefused(each.why));
    std::optional<store_error> read;
    s.client->Read("homes", "a", [&](const auto& r) { read = r.error(); });
    REQUIRE(RunUntil(s.loop, [&] { return read.has_value(); }));
    CHECK(read == store_error::kUnavailable);
    CHECK(s.Refused(each.why) >= 2);
  }
}

// Guards against a count that takes the store's usual answers for odd ones.
TEST_CASE("store_answers: a conflict is no refused answer") {
  odd_store s([](const std::string&) {
    return odd_answer{412, R"({"rows":[],"row_version":7})"};
  });
  std::optional<store_error> wrote;
  s.client->Write({{"homes", "a", 1, "x"}},
                  [&](const auto& r) { wrote = r.error(); });
  REQUIRE(RunUntil(s.loop, [&] { return wrote.has_value(); }));
  CHECK(wrote == store_error::kConflict);
  CHECK(s.client->metrics().refused.empty());
}

// Guards against an answer that is far larger parsed than as text.
TEST_CASE("store_answers: an answer of very many small rows") {
  std::string rows;
  for (int i = 0; i < 300'000; ++i)
    rows += "{\"k\":1},";
  odd_store s([&](const std::string&) {
    return odd_answer{200, "{\"row_version\":5,\"rows\":[" + rows + "{}]}"};
  });
  CHECK(s.WatchUntilRefused("too_many_values"));
  CHECK(s.client->metrics().snapshots == 0);
}

// Guards against memory that an answer takes before it is looked at.
TEST_CASE("store_answers: an answer beyond the process's share") {
  odd_store s(
      [](const std::string&) {
        return odd_answer{200,
                          "{\"x\":\"" + std::string(5'000'000, 'x') + "\"}"};
      },
      StoreLimits({0, 100 * 1024 * 1024}));
  CHECK(s.WatchUntilRefused("too_large"));
}

// Guards against a core that is spent on nested brackets.
TEST_CASE("store_answers: a nested answer, and a row with a nested value") {
  std::string nested(300'000, '[');
  odd_store s([&](const std::string&) { return odd_answer{200, nested}; });
  CHECK(s.WatchUntilRefused("too_deep"));
  odd_store t([&](const std::string&) {
    return odd_answer{
        200, "{\"row_version\":5,\"rows\":[{\"key\":\"a\",\"value\":\"" +
                 ToBase64(nested) + "\"},{\"key\":\"b\",\"value\":\"" +
                 ToBase64("7") + "\"}]}"};
  });
  CHECK(t.WatchUntilRefused("row_too_deep"));
  REQUIRE(RunUntil(t.loop, [&] { return !t.seen.rows.empty(); }));
  // The other rows are taken.
  CHECK(t.seen.rows.at("a").text.empty());
  CHECK(t.seen.rows.at("b").value() == 7);
}

// Guards against bounds that keep the largest documents out.
TEST_CASE("store_answers: the size designed for fits, and ten times that") {
  store_limits least = StoreLimits({0, 160 * 1024 * 1024});
  nlohmann::json route = {{"name", "stock-check-of-usual-length"},
                          {"hostname", "desk.example"},
                          {"path_prefix", "/parts-of-usual-length/"},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 1500},
                          {"target_latency_ms", 60},
                          {"priority", 0},
                          {"service", "parts"},
                          {"max_attempts", 2},
                          {"stretch", 1.6},
                          {"recommendation", {{"decision_ms", 5}}}};
  nlohmann::json routes = nlohmann::json::array();
  for (int i = 0; i < 10'000; ++i)
    routes.push_back(route);
  std::string configuration = nlohmann::json{{"routes", routes}}.dump();
  CHECK(BeyondBounds(configuration, {least.parsed_bytes}) == nullptr);
  CHECK(ToBase64(configuration).size() < least.answer_bytes);
}

// Guards against pages that are read on and on, of which each is the last one
// again.
TEST_CASE("store_answers: pages without progress") {
  const std::string kPages[][2] = {{"k", "k"}, {"k", "a"}};
  for (const auto& keys : kPages) {
    int page = 0;
    odd_store s([&](const std::string& path) {
      std::string key = keys[path.find("from=") == std::string::npos ? 0 : 1];
      ++page;
      return odd_answer{
          200, R"({"row_version":5,"has_more":true,"rows":[{"key":")" + key +
                   "\"}]}"};
    });
    CHECK(s.WatchUntilRefused("no_progress", 2));
    // Read from the start again, not on.
    CHECK(page == 4);
    CHECK(s.client->metrics().snapshots == 0);
  }
}

// Guards against pages that rise without an end.
TEST_CASE("store_answers: a table beyond the process's share") {
  int page = 100;
  odd_store s(
      [&](const std::string&) {
        return odd_answer{
            200, R"({"row_version":5,"has_more":true,"rows":[{"key":"k)" +
                     std::to_string(++page) + R"(","value":")" +
                     ToBase64(std::string(600'000, '1')) + "\"}]}"};
      },
      StoreLimits({0, 64 * 1024 * 1024}));
  CHECK(s.WatchUntilRefused("table_too_large"));
  CHECK(page < 110);
}

// Guards against changes that are told again and again.
TEST_CASE("store_answers: changes that don't rise, and history that is gone") {
  struct odd_case {
    odd_answer answer;
    const char* why;
  };
  const odd_case kCases[] = {
      {{200, R"({"row_version":5,"rows":[{"key":"a","row_version":5}]})"},
       "no_progress"},
      {{200, R"({"rows":[{"key":"a"}]})"}, "no_progress"},
      {{410, "{}"}, "history_gone"},
  };
  for (const odd_case& each : kCases) {
    CAPTURE(each.why);
    odd_store s([&](const std::string& path) {
      bool feed = path.find("rows-feed") != std::string::npos;
      return feed ? each.answer : odd_answer{200, R"({"row_version":5})"};
    });
    CHECK(s.WatchUntilRefused(each.why, 2));
    // At most a page and a call for changes each time.
    CHECK(s.calls <= 4);
  }
}

// Guards against a store that answers, and whose list counts as unreachable
// since it forgets its history again and again.
TEST_CASE("store_answers: a history that is gone is no loss of contact") {
  odd_store s([](const std::string& path) {
    bool feed = path.find("rows-feed") != std::string::npos;
    return feed ? odd_answer{410, "{}"}
                : odd_answer{200, R"({"row_version":5})"};
  });
  std::vector<bool> contacts;
  s.client->Watch("t",
                  {std::chrono::seconds(1), duration::zero(),
                   [&](bool contact) { contacts.push_back(contact); }},
                  [](const table_snapshot&) {});
  CHECK(RunUntil(s.loop, [&] { return s.Refused("history_gone") >= 3; }));
  CHECK(contacts == std::vector<bool>{true});
}

}  // namespace jasminedyke
