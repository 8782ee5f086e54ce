// What evhttp's server does with callers that misbehave.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/raw_socket.h"
#include "http/http.h"

namespace jasminedyke {
namespace {

constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

struct server {
  explicit server(const http_server_limits& limits = http_server_limits())
      : http(loop, limits, [this](const http_exchange_ptr& e) {
          exchanges.push_back(e);
          e->OnHangUp([this] { ++hang_ups; });
        }) {
    address = http.Listen({"127.0.0.1", 0});
  }

  bool WaitForExchanges(size_t count) {
    return RunUntil(loop, [&] { return exchanges.size() >= count; });
  }

  event_loop loop;
  std::vector<http_exchange_ptr> exchanges;
  int hang_ups = 0;
  http_server http;
  socket_address address;
};

// The caller closes while its job is queued. Without notice the job's tasks
// would run for nobody.
TEST_CASE("http_server: a hang-up is noticed while the reply is due") {
  server s;
  raw_client caller(s.address);
  caller.Write(kGet);
  REQUIRE(s.WaitForExchanges(1));
  CHECK(s.hang_ups == 0);
  caller.Close();
  REQUIRE(RunUntil(s.loop, [&] { return s.hang_ups == 1; }));
  // The late reply goes nowhere and harms nothing.
  s.exchanges[0]->Reply({200, {}, "late"});
  CHECK(s.http.open_exchanges() == 0);
}

// The caller sends two more requests before the first reply. evhttp ends the
// process if such bytes reach it then; they must wait their turn.
TEST_CASE("http_server: pipelined requests are answered in order") {
  server s;
  raw_client caller(s.address);
  caller.Write(std::string(kGet) + kGet + kGet);
  for (size_t number = 1; number <= 3; ++number) {
    REQUIRE(s.WaitForExchanges(number));
    CHECK(s.exchanges.size() == number);
    caller.Write("");
    s.exchanges[number - 1]->Reply({200, {}, "reply" + std::to_string(number)});
  }
  REQUIRE(RunUntil(s.loop, [&] {
    caller.Read();
    return caller.received.find("reply3") != std::string::npos;
  }));
  CHECK(caller.received.find("reply1") < caller.received.find("reply2"));
  CHECK(caller.received.find("reply2") < caller.received.find("reply3"));
}

// A caller that floods while its reply is due is held at a bound, and the
// flood is no danger to the process when the reply goes out.
TEST_CASE("http_server: a flood of pipelined bytes is bounded") {
  server s;
  raw_client caller(s.address);
  caller.Write(kGet);
  REQUIRE(s.WaitForExchanges(1));
  caller.Write(std::string(100'000, 'x'));
  for (int i = 0; i < 10; ++i)
    RunUntil(s.loop,
             [once = false]() mutable { return std::exchange(once, true); });
  s.exchanges[0]->Reply({200, {}, "reply1"});
  REQUIRE(RunUntil(s.loop, [&] {
    caller.Read();
    return caller.received.find("reply1") != std::string::npos;
  }));
}

// A caller waits for a job that takes longer than idle callers are kept. Its
// connection must live until the answer.
TEST_CASE("http_server: a caller that waits is not idle") {
  http_server_limits limits;
  limits.idle_timeout = std::chrono::seconds(1);
  server s(limits);
  raw_client caller(s.address);
  caller.Write(kGet);
  REQUIRE(s.WaitForExchanges(1));
  bool later = false;
  s.loop.CallAfter(std::chrono::milliseconds(1500), [&] { later = true; });
  REQUIRE(RunUntil(s.loop, [&] { return later; }));
  CHECK(s.hang_ups == 0);
  s.exchanges[0]->Reply({200, {}, "long awaited"});
  REQUIRE(RunUntil(s.loop, [&] {
    caller.Read();
    return caller.received.find("long awaited") != std::string::npos;
  }));
}

TEST_CASE("http_server: an exchange that nobody answers gets status 500") {
  server s;
  raw_client caller(s.address);
  caller.Write(kGet);
  REQUIRE(s.WaitForExchanges(1));
  s.exchanges.clear();
  REQUIRE(RunUntil(s.loop, [&] {
    caller.Read();
    return caller.received.find("500") != std::string::npos;
  }));
}

// Bytes that are no request get an error or are cut off, and the server goes
// on serving others.
TEST_CASE("http_server: malformed requests harm nobody else") {
  const std::vector<std::string> cases = {
      "\r\n\r\n",
      "GARBAGE\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "GET /a HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n",
      std::string("GET /\0a HTTP/1.1\r\n\r\n", 20),
  };
  server s;
  for (const std::string& bytes : cases) {
    raw_client bad(s.address);
    bad.Write(bytes);
    size_t before = s.exchanges.size();
    raw_client good(s.address);
    good.Write(kGet);
    REQUIRE(s.WaitForExchanges(before + 1));
    for (const http_exchange_ptr& exchange : s.exchanges)
      exchange->Reply({200, {}, "fine"});
    REQUIRE(RunUntil(s.loop, [&] {
      good.Read();
      return good.received.find("fine") != std::string::npos;
    }));
  }
}

}  // namespace
}  // namespace jasminedyke
