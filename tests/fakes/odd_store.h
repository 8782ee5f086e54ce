// A store that answers as the test says, and the client that calls it.

#ifndef TESTS_FAKES_ODD_STORE_H_
#define TESTS_FAKES_ODD_STORE_H_

#include <functional>
#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "fakes/raw_socket.h"
#include "row_store.h"

namespace jasminedyke {

struct odd_answer {
  int status = 200;
  std::string body;
};

struct odd_store {
  // `limits` are those of the client.
  explicit odd_store(
      const std::function<odd_answer(const std::string& path)>& answer,
      const store_limits& limits = StoreLimits({}))
      : server(loop,
               http_server_limits(),
               [this, answer](const http_exchange_ptr& exchange) {
                 ++calls;
                 odd_answer each = answer(exchange->request().path);
                 exchange->Reply({each.status, {}, each.body});
               }) {
    socket_address address = server.Listen({"127.0.0.1", 0});
    client = std::make_unique<row_store>(loop, address, limits);
  }

  // Of single calls and watched tables.
  uint64_t Refused(const std::string& why) const {
    const auto& refused = client->metrics().refused;
    auto found = refused.find(why);
    return found == refused.end() ? 0 : found->second;
  }

  // Watches a table until answers were refused for that reason.
  bool WatchUntilRefused(const std::string& why, uint64_t times = 1) {
    client->Watch("t", watch_options(),
                  [this](const table_snapshot& t) { seen = t; });
    return RunUntil(loop, [&] { return Refused(why) >= times; });
  }

  event_loop loop;
  int calls = 0;
  // Of the watched table.
  table_snapshot seen;
  http_server server;
  std::unique_ptr<row_store> client;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_ODD_STORE_H_
