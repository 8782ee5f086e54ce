// What requests may take of a server's memory.

#include <deque>
#include <string>

#include <doctest/doctest.h>
#include <malloc.h>

#include "fakes/raw_socket.h"
#include "http/http.h"

namespace jasminedyke {
namespace {

constexpr size_t kBody = 200'000;

std::string Head(size_t body) {
  return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(body) + "\r\n\r\n";
}

struct bounded_server {
  bounded_server() { address = http.Listen({"127.0.0.1", 0}); }

  static http_server_limits Limits() {
    http_server_limits limits;
    limits.max_body_bytes = kBody;
    limits.max_held_bytes = 600'000;
    return limits;
  }

  raw_client& Send(const std::string& bytes) {
    callers.emplace_back(address);
    callers.back().Write(bytes);
    return callers.back();
  }
  bool Gets(raw_client& caller, const std::string& text) {
    return RunUntil(loop, [&] {
      caller.Read();
      return caller.received.find(text) != std::string::npos;
    });
  }
  bool Holds(size_t bytes) {
    return RunUntil(loop, [&] { return http.metrics().held_bytes >= bytes; });
  }

  event_loop loop;
  std::deque<http_exchange_ptr> exchanges;
  http_server http{loop, Limits(), [this](const http_exchange_ptr& e) {
                     exchanges.push_back(e);
                   }};
  socket_address address;
  std::deque<raw_client> callers;
};

// Guards against callers whose bodies together take all of the memory.
TEST_CASE("http_server: bodies beyond the bound are refused as they come") {
  bounded_server s;
  std::string part = Head(kBody) + std::string(190'000, 'x');
  s.Send(part);
  REQUIRE(s.Holds(190'000));
  s.Send(part);
  REQUIRE(s.Holds(380'000));
  raw_client& third = s.Send(part);
  CHECK(s.Gets(third, "503 "));
  CHECK(third.received.find("Retry-After: ") != std::string::npos);
  CHECK(s.http.metrics().held_bytes < 450'000);
  CHECK(s.http.metrics().refused.at(503) == 1);
  // The two before it are served.
  for (int i : {0, 1})
    s.callers[i].Write(std::string(kBody - 190'000, 'x'));
  CHECK(RunUntil(s.loop, [&] { return s.exchanges.size() == 2; }));
}

// Guards against large bodies that keep the many small requests out.
TEST_CASE("http_server: small requests get through beside large ones") {
  bounded_server s;
  size_t held = 0;
  for (size_t part : {190'000, 190'000, 60'000, 60'000}) {
    s.Send(Head(kBody) + std::string(part, 'x'));
    held += part;
    REQUIRE(s.Holds(held));
  }
  s.Send(Head(10'000) + std::string(10'000, 'x'));
  REQUIRE(RunUntil(s.loop, [&] { return s.exchanges.size() == 1; }));
  CHECK(s.exchanges[0]->request().body.size() == 10'000);
}

// Guards against a body that is read to its end only to be refused, and against
// a refusal that its caller can't read.
TEST_CASE("http_server: a body that is too large is refused at once") {
  bounded_server s;
  raw_client& caller = s.Send(Head(100'000'000) + std::string(300'000, 'x'));
  CHECK(s.Gets(caller, "413 "));
  CHECK(s.http.metrics().held_bytes == 0);
  caller.Write(std::string(300'000, 'x'));
  caller.Close();
  CHECK(RunUntil(s.loop, [&] { return s.http.connections() == 0; }));
  CHECK(s.exchanges.empty());
}

// What the process has of the heap. Sanitizers, which have a heap of their own,
// say 0.
size_t HeapBytes() {
  struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

// Guards against refused requests whose parts are kept for as long as their
// callers stay.
TEST_CASE("http_server: bodies in chunks keep nothing once they are refused") {
  bounded_server s;
  constexpr size_t kChunk = 0x2000;
  std::string head =
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string body;
  for (size_t sent = 0; sent + kChunk < kBody; sent += kChunk)
    body += "2000\r\n" + std::string(kChunk, 'x') + "\r\n";
  for (size_t held : {190'000, 380'000}) {
    s.Send(head + body);
    REQUIRE(s.Holds(held));
  }
  size_t before = HeapBytes();
  constexpr size_t kCallers = 40;
  for (size_t i = 0; i < kCallers; ++i)
    REQUIRE(s.Gets(s.Send(head + body), "503 "));
  CHECK(s.http.metrics().refused.at(503) == kCallers);
  CHECK(s.http.metrics().held_bytes < 600'000);
  CHECK(s.http.connections() == kCallers + 2);
  CHECK(HeapBytes() < before + 600'000);
}

// Guards against memory that counts as taken after its request is over.
TEST_CASE("http_server: what a request holds is given back") {
  bounded_server s;
  raw_client& served = s.Send(Head(kBody) + std::string(kBody, 'x'));
  raw_client& left = s.Send(Head(kBody) + std::string(50'000, 'x'));
  REQUIRE(RunUntil(s.loop, [&] { return s.exchanges.size() == 1; }));
  REQUIRE(s.Holds(kBody + 50'000));
  s.exchanges[0]->DropBody();
  CHECK(s.exchanges[0]->request().body.empty());
  s.exchanges[0]->Reply({200, {}, "fine"});
  CHECK(s.Gets(served, "fine"));
  left.Close();
  CHECK(RunUntil(s.loop, [&] { return s.http.metrics().held_bytes == 0; }));
  CHECK(s.Gets(s.Send(Head(kBody) + std::string(kBody, 'x')), ""));
  CHECK(RunUntil(s.loop, [&] { return s.exchanges.size() == 2; }));
}

// Guards against a heap that stays as large as it was at its worst.
TEST_CASE("heap_trimmer: trims once after much was freed") {
  manual_scheduler clock;
  heap_trimmer trimmer(clock);
  trimmer.NoteFreed(1'000'000);
  clock.Advance(std::chrono::seconds(2));
  CHECK(trimmer.trims() == 0);
  trimmer.NoteFreed(4'000'000);
  trimmer.NoteFreed(4'000'000);
  clock.Advance(std::chrono::seconds(2));
  CHECK(trimmer.trims() == 1);
}

}  // namespace
}  // namespace jasminedyke
