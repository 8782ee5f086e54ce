// What evhttp's client does with a request when its connection fails.

#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/descriptor_limit.h"
#include "fakes/raw_socket.h"
#include "http/http.h"

namespace jasminedyke {
namespace {

constexpr duration kLong = std::chrono::seconds(60);
constexpr char kReply[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

http_request Post(const std::string& body) {
  return {http_method::kPost, "/v1/tasks", {}, body};
}

struct client {
  explicit client(const socket_address& address)
      : connection(loop, address, http_client_limits()) {}

  void Send(const std::string& body) {
    result.reset();
    connection.Send(Post(body), kLong,
                    [this](http_result r) { result = std::move(r); });
  }
  bool WaitForResult() {
    return RunUntil(loop, [this] { return result.has_value(); });
  }

  event_loop loop;
  http_connection connection;
  std::optional<http_result> result;
};

// Runs until the server has the whole request with this body.
bool WaitForRequest(client& c, raw_server& server, const std::string& body) {
  return RunUntil(c.loop, [&] {
    server.Accept();
    server.Read();
    return server.received.find("\r\n\r\n" + body) != std::string::npos;
  });
}

// Guards against a log that takes a reply beyond the limit for a connection
// that broke.
TEST_CASE("http_connection: a reply beyond the limit is told as such") {
  raw_server server;
  client c(server.address());
  c.Send("one");
  REQUIRE(WaitForRequest(c, server, "one"));
  server.Write("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n");
  REQUIRE(c.WaitForResult());
  REQUIRE_FALSE(c.result->ok());
  CHECK(c.result->error().kind == http_failure_kind::kTooLarge);
  CHECK_FALSE(c.result->error().nothing_sent);
  server.Close();
  c.Send("two");
  REQUIRE(WaitForRequest(c, server, "two"));
  server.Write(kReply);
  REQUIRE(c.WaitForResult());
  CHECK(c.result->ok());
}

// What the caller sees: one failure, outcome unknown. The upstream answers a
// first request and keeps the connection; it reads the second one and closes
// just then. A client that sent the request again over a new connection
// would run the task twice.
TEST_CASE("http_connection: a request is never sent twice") {
  raw_server server;
  client c(server.address());
  c.Send("one");
  REQUIRE(WaitForRequest(c, server, "one"));
  server.Write(kReply);
  REQUIRE(c.WaitForResult());
  CHECK(c.result->ok());

  c.Send("two");
  REQUIRE(WaitForRequest(c, server, "two"));
  server.Close();
  REQUIRE(c.WaitForResult());
  REQUIRE_FALSE(c.result->ok());
  CHECK(c.result->error().kind == http_failure_kind::kReset);
  CHECK_FALSE(c.result->error().nothing_sent);
  // Whoever would send again would do it now.
  for (int i = 0; i < 20; ++i)
    RunUntil(c.loop,
             [once = false]() mutable { return std::exchange(once, true); });
  CHECK_FALSE(server.Accept());
}

// Guards against a sender that is called back within its own call, and so sends
// its whole queue from within itself, while the process has no descriptor left.
TEST_CASE("http_connection: without a socket a request fails later") {
  raw_server server;
  client c(server.address());
  c.Send("zero");
  REQUIRE(WaitForRequest(c, server, "zero"));
  server.Close();
  REQUIRE(c.WaitForResult());
  {
    descriptor_limit none(descriptor_limit::NoneLeft());
    c.Send("one");
    CHECK_FALSE(c.result.has_value());
    CHECK(c.connection.busy());
    REQUIRE(c.WaitForResult());
    REQUIRE_FALSE(c.result->ok());
    CHECK(c.result->error().kind == http_failure_kind::kConnect);
    CHECK(c.result->error().nothing_sent);
  }
  c.Send("two");
  CHECK(WaitForRequest(c, server, "two"));
}

TEST_CASE("http_connection: a refused connection proves that nothing left") {
  socket_address nobody;
  {
    raw_server server;
    nobody = server.address();
  }
  client c(nobody);
  c.Send("one");
  REQUIRE(c.WaitForResult());
  REQUIRE_FALSE(c.result->ok());
  CHECK(c.result->error().nothing_sent);
}

// The upstream closed an idle connection. The close is seen before the next
// request, which then goes out on a new connection.
TEST_CASE("http_connection: a connection closed while idle is replaced") {
  raw_server server;
  client c(server.address());
  c.Send("one");
  REQUIRE(WaitForRequest(c, server, "one"));
  server.Write(kReply);
  REQUIRE(c.WaitForResult());
  server.Close();
  for (int i = 0; i < 5; ++i)
    RunUntil(c.loop,
             [once = false]() mutable { return std::exchange(once, true); });
  c.Send("two");
  REQUIRE(WaitForRequest(c, server, "two"));
  server.Write(kReply);
  REQUIRE(c.WaitForResult());
  CHECK(c.result->ok());
  CHECK(server.accepted == 2);
}

// Replies that are no whole reply to this request. Taking one of them for
// whole would hand a caller a cut answer, or another caller's.
TEST_CASE("http_connection: broken replies") {
  struct broken_reply {
    const char* name;
    std::string bytes;
    bool reset;
  };
  const std::vector<broken_reply> cases = {
      {"closed before any byte", "", false},
      {"reset before any byte", "", true},
      {"closed within the headers", "HTTP/1.1 200 OK\r\nContent-Le", false},
      {"body shorter than said",
       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", false},
      {"reset within the body",
       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", true},
      {"chunks without the last one",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
       false},
      {"no length at all", "HTTP/1.1 200 OK\r\n\r\nshort", false},
      {"no HTTP", "SSH-2.0-server\r\n\r\n", false},
      {"giant header",
       "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x') +
           "\r\nContent-Length: 0\r\n\r\n",
       false},
  };
  for (const broken_reply& each : cases) {
    CAPTURE(each.name);
    raw_server server;
    client c(server.address());
    c.Send("one");
    REQUIRE(WaitForRequest(c, server, "one"));
    server.Write(each.bytes);
    if (each.reset)
      server.Reset();
    else
      server.Close();
    REQUIRE(c.WaitForResult());
    REQUIRE_FALSE(c.result->ok());
    CHECK_FALSE(c.result->error().nothing_sent);
  }
}

// The upstream sends its reply twice. The second copy must not be taken for
// the reply to the next request on this connection.
TEST_CASE("http_connection: a doubled reply is not the next one's") {
  raw_server server;
  client c(server.address());
  c.Send("one");
  REQUIRE(WaitForRequest(c, server, "one"));
  server.Write(std::string(kReply) + kReply);
  REQUIRE(c.WaitForResult());
  CHECK(c.result->ok());
  c.Send("two");
  REQUIRE(WaitForRequest(c, server, "two"));
  server.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  REQUIRE(c.WaitForResult());
  REQUIRE(c.result->ok());
  CHECK(c.result->value().body == "two");
  CHECK(server.accepted == 2);
}

TEST_CASE("http_connection: a timeout closes and says what had left") {
  raw_server server;
  event_loop loop;
  http_connection connection(loop, server.address(), http_client_limits());
  std::optional<http_result> result;
  connection.Send(Post("one"), std::chrono::milliseconds(20),
                  [&](http_result r) { result = std::move(r); });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  REQUIRE_FALSE(result->ok());
  CHECK(result->error().kind == http_failure_kind::kTimeout);
  CHECK_FALSE(connection.busy());
}

// What the caller sees: the whole reply. It is large and the process busy, so
// its parts come in over more than the request's timeout. Given up for that, it
// would be asked for again when it is larger still. The first part comes well
// within the timeout, and the rest only after it has passed.
TEST_CASE("http_connection: a reply that comes in slowly is read to its end") {
  constexpr duration kTimeout = std::chrono::seconds(1);
  raw_server server;
  client c(server.address());
  http_client_limits limits;
  SUBCASE("while bytes come") {
    limits.stall = kLong;
  }
  SUBCASE("but not without a stall time") {}
  http_connection connection(c.loop, server.address(), limits);
  connection.Send(Post("one"), kTimeout,
                  [&](http_result r) { c.result = std::move(r); });
  REQUIRE(WaitForRequest(c, server, "one"));
  server.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
  bool passed = false;
  c.loop.CallAfter(kTimeout + kTimeout / 4, [&] { passed = true; });
  REQUIRE(RunUntil(c.loop, [&] { return passed; }));
  CHECK(c.result.has_value() == (limits.stall == duration::zero()));
  server.Write("k");
  REQUIRE(c.WaitForResult());
  CHECK(c.result->ok() == (limits.stall == kLong));
}

}  // namespace
}  // namespace jasminedyke
