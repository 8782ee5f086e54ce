// Which connection a server gives up for a new one.

#include <vector>

#include <doctest/doctest.h>

#include "http/http.h"

namespace jasminedyke {
namespace {

struct places_of_two {
  connection_key Connect() {
    connection_key made = &names[next++];
    admitted = places.Admit(made);
    return made;
  }
  // Up to the whole request.
  void Request(connection_key connection) {
    places.OnBytes(connection);
    places.OnRequest(connection);
  }
  void Reply(connection_key connection, bool bytes_ahead = false) {
    places.OnReply(connection);
    places.OnReplySent(connection, bytes_ahead);
  }

  char names[16] = {};
  size_t next = 0;
  bool admitted = false;
  std::vector<connection_key> closed;
  manual_scheduler clock;
  connection_places places{clock, {.most = 2}, [this](connection_key c) {
                             closed.push_back(c);
                           }};
};

// Guards against a crowd of idle connections that keeps callers out.
TEST_CASE("connection_places: the one idle for the longest makes room") {
  places_of_two t;
  connection_key first = t.Connect();
  connection_key second = t.Connect();
  t.clock.Advance(std::chrono::seconds(1));
  t.Request(first);
  t.Reply(first);
  t.Connect();
  CHECK(t.admitted);
  CHECK(t.closed == std::vector<connection_key>{second});
  CHECK(t.places.open() == 2);
  CHECK(t.places.metrics().replaced == 1);
}

// Guards against callers that lose the answer that they wait for.
TEST_CASE("connection_places: a request in progress keeps its place") {
  places_of_two t;
  connection_key served = t.Connect();
  connection_key replied = t.Connect();
  t.Request(served);
  t.Request(replied);
  t.places.OnReply(replied);
  t.clock.Advance(std::chrono::hours(1));
  t.Connect();
  CHECK(!t.admitted);
  CHECK(t.places.metrics().turned_away == 1);
  t.places.OnReplySent(replied, false);
  t.Connect();
  CHECK(t.admitted);
  CHECK(t.closed == std::vector<connection_key>{replied});
}

// Guards against senders that keep a place for ever with a byte now and then.
TEST_CASE("connection_places: a request that dribbles in ends") {
  places_of_two t;
  connection_key slow = t.Connect();
  for (int second = 0; second < 59; ++second) {
    t.places.OnBytes(slow);
    t.clock.Advance(std::chrono::seconds(1));
  }
  CHECK(t.closed.empty());
  t.clock.Advance(std::chrono::seconds(1));
  CHECK(t.closed == std::vector<connection_key>{slow});
  CHECK(t.places.metrics().too_slow == 1);
  CHECK(t.places.open() == 0);
}

// Guards against slow senders that together take all places for a minute, and
// against an upload that is cut off after a moment.
TEST_CASE("connection_places: slow senders make room after a while") {
  places_of_two t;
  connection_key first = t.Connect();
  connection_key second = t.Connect();
  t.places.OnBytes(first);
  t.clock.Advance(std::chrono::seconds(1));
  t.places.OnBytes(second);
  t.clock.Advance(std::chrono::milliseconds(3999));
  t.Connect();
  CHECK(!t.admitted);
  t.clock.Advance(std::chrono::milliseconds(1));
  t.Connect();
  CHECK(t.admitted);
  CHECK(t.closed == std::vector<connection_key>{first});
}

// Guards against a part of the next request that is taken for silence.
TEST_CASE("connection_places: bytes sent ahead begin the next request") {
  places_of_two t;
  connection_key ahead = t.Connect();
  connection_key served = t.Connect();
  t.Request(ahead);
  t.Request(served);
  t.Reply(ahead, true);
  t.Connect();
  CHECK(!t.admitted);
  CHECK(t.closed.empty());
}

// Guards against places that are not given back.
TEST_CASE("connection_places: a closed connection leaves its place") {
  places_of_two t;
  connection_key waiting = t.Connect();
  connection_key served = t.Connect();
  t.Request(served);
  t.places.OnClosed(waiting);
  t.places.OnClosed(served);
  CHECK(t.places.open() == 0);
  t.places.OnReplySent(served, false);
  t.Connect();
  t.Connect();
  CHECK(t.admitted);
  CHECK(t.closed.empty());
}

// Guards against a place that is lost, or kept for ever, with its first name.
TEST_CASE("connection_places: a renamed connection keeps its place and turn") {
  places_of_two t;
  connection_key sends = t.Connect();
  t.places.OnBytes(sends);
  connection_key name = &t.names[t.next++];
  t.places.Rename(sends, name);
  t.places.OnClosed(sends);
  CHECK(t.places.open() == 1);
  t.clock.Advance(std::chrono::seconds(60));
  CHECK(t.closed == std::vector<connection_key>{name});
  CHECK(t.places.open() == 0);
}

}  // namespace
}  // namespace jasminedyke
