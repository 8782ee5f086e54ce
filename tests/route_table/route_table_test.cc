// Tests of route lookup and of updates between versions of the configuration.

#include <random>
#include <string>

#include <doctest/doctest.h>

#include "policy/policy.h"

namespace jasminedyke {

namespace {

route Route(const std::string& prefix, int priority = 0) {
  route each;
  each.name = "r" + prefix;
  each.host = "h.example";
  each.path_prefix = prefix;
  each.service = "parts";
  each.priority = priority;
  return each;
}

routing_config Config(uint64_t version, std::vector<route> routes) {
  routing_config config;
  config.version = config_version(version);
  config.routes = std::move(routes);
  config.services["parts"] = {};
  return config;
}

// All routes of the table, in an order that does not depend on their history.
routing_config Content(const route_table& table) {
  return table.ChangesSince(config_version()).to;
}

}  // namespace

TEST_CASE("route_table: the longest prefix wins, by whole path segments") {
  route_table table;
  CHECK(table.Find("h.example", "/a/b/1") == nullptr);
  table.Update(Config(1, {Route("/a/"), Route("/a/b/")}));
  CHECK(table.Find("h.example", "/a/b/1")->path_prefix == "/a/b/");
  CHECK(table.Find("h.example", "/a/c/1")->path_prefix == "/a/");
  CHECK(table.Find("h.example", "/ab/1") == nullptr);
  CHECK(table.Find("other.example", "/a/1") == nullptr);
}

TEST_CASE("route_table: versions only rise") {
  route_table table;
  CHECK(table.Update(Config(2, {Route("/a/")})));
  CHECK(!table.Update(Config(2, {})));
  CHECK(!table.Update(Config(1, {})));
  CHECK(table.size() == 1);
}

TEST_CASE("route_table: an update holds what changed") {
  route_table ahead;
  ahead.Update(Config(1, {Route("/a/"), Route("/b/"), Route("/c/")}));
  route_table behind = ahead;
  ahead.Update(Config(2, {Route("/a/"), Route("/b/", 1), Route("/d/")}));
  routing_update update = ahead.ChangesSince(config_version(1));
  CHECK(update.base == config_version(1));
  CHECK(update.to.routes == std::vector{Route("/b/", 1), Route("/d/")});
  CHECK(update.removed == std::vector{route_key{"h.example", "/c/"}});
  CHECK(behind.Apply(update) == update_outcome::kApplied);
  CHECK(behind.version() == config_version(2));
  CHECK(Content(behind) == Content(ahead));
  CHECK(behind.size() == 3);
  CHECK(behind.Find("h.example", "/c/1") == nullptr);
  CHECK(behind.Apply(update) == update_outcome::kNotNewer);
}

TEST_CASE("route_table: services and limits go along") {
  route_table ahead;
  ahead.Update(Config(1, {Route("/a/")}));
  route_table behind = ahead;
  routing_config next = Config(2, {Route("/a/")});
  next.services["parts"].guarded = false;
  next.max_body_bytes = 7;
  ahead.Update(next);
  CHECK(behind.Apply(ahead.ChangesSince(config_version(1))) ==
        update_outcome::kApplied);
  CHECK(!behind.services().at("parts").guarded);
  CHECK(Content(behind) == Content(ahead));
}

// Guards against an update that leaves an instance with a mixture of versions:
// the receiver has a change that the sender never received.
TEST_CASE("route_table: a change that the sender never saw is not lost") {
  struct unseen_change {
    const char* what;
    std::vector<route> at_2;
  };
  const unseen_change kCases[] = {
      {"changed and changed back", {Route("/a/", 1)}},
      {"added and removed again", {Route("/a/"), Route("/b/")}},
      {"removed and added again", {}},
  };
  for (const unseen_change& each : kCases) {
    CAPTURE(each.what);
    route_table sender;
    sender.Update(Config(1, {Route("/a/")}));
    route_table receiver = sender;
    receiver.Update(Config(2, each.at_2));
    sender.Update(Config(3, {Route("/a/")}));
    routing_config before = Content(receiver);
    CHECK(receiver.Apply(sender.ChangesSince(config_version(2))) ==
          update_outcome::kMismatch);
    CHECK(Content(receiver) == before);
    CHECK(receiver.Apply(sender.ChangesSince(config_version())) ==
          update_outcome::kApplied);
    CHECK(Content(receiver) == Content(sender));
  }
}

TEST_CASE("route_table: random changes, seen by some, agree in the end") {
  std::mt19937_64 random(11);
  route_table source;
  std::vector<route_table> tables(5);
  routing_config config = Config(1, {});
  for (uint64_t version = 1; version <= 400; ++version) {
    config.version = config_version(version);
    std::string prefix = "/" + std::to_string(random() % 12) + "/";
    std::erase_if(config.routes,
                  [&](const route& r) { return r.path_prefix == prefix; });
    if (random() % 3 != 0)
      config.routes.push_back(Route(prefix, static_cast<int>(random() % 2)));
    source.Update(config);
    for (route_table& table : tables) {
      if (random() % 4 == 0)
        table.Update(config);
    }
    const route_table& sender = tables[random() % tables.size()];
    route_table& receiver = tables[random() % tables.size()];
    if (sender.version() <= receiver.version())
      continue;
    routing_update update = sender.ChangesSince(receiver.version());
    if (receiver.Apply(update) == update_outcome::kMismatch)
      CHECK(receiver.Apply(sender.ChangesSince(config_version())) ==
            update_outcome::kApplied);
    CHECK(Content(receiver) == Content(sender));
    CHECK(receiver.size() == Content(receiver).routes.size());
  }
}

}  // namespace jasminedyke
