// The places that a server has for connections: who gets one, and which
// connection goes when a new caller finds none free.

#ifndef SRC_HTTP_CONNECTION_PLACES_H_
#define SRC_HTTP_CONNECTION_PLACES_H_

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

#include "base/base.h"

namespace jasminedyke {

// What a connection is to its server; never dereferenced.
using connection_key = const void*;

struct place_limits {
  // Connections at once; 0: no bound.
  size_t most = 0;
  // From a request's first byte until it is whole. A sender that dribbles is
  // never idle and would keep its place for ever.
  duration arrival = std::chrono::seconds(60);
  // The same while others find no place.
  duration arrival_when_full = std::chrono::seconds(5);
};

struct place_metrics {
  uint64_t admitted = 0;
  // Idle ones, or slow senders, that were closed for a new caller.
  uint64_t replaced = 0;
  // New callers that found all connections in use.
  uint64_t turned_away = 0;
  // Closed since a request didn't become whole in time.
  uint64_t too_slow = 0;
};

// A connection waits for a request, then one arrives, is served and replied
// to, and the next one is waited for. Only in the first two states it may lose
// its place.
class connection_places {
 public:
  // `close` ends a connection that has just lost its place; it may call
  // `OnClosed`.
  connection_places(scheduler& clock,
                    const place_limits& limits,
                    std::function<void(connection_key)> close);

  // Gives a new connection a place, at the bound that of the one that has
  // waited the longest for a request. False if there is none.
  bool Admit(connection_key connection);

  // Connections that have no place are ignored from here on.
  void OnBytes(connection_key connection);
  // A request is whole.
  void OnRequest(connection_key connection);
  void OnReply(connection_key connection);
  // The kernel has taken the reply. `bytes_ahead`: a part of the next request
  // is here already.
  void OnReplySent(connection_key connection, bool bytes_ahead);
  void OnClosed(connection_key connection);
  // From now on it goes by another name.
  void Rename(connection_key connection, connection_key name);

  size_t open() const { return places_.size(); }
  const place_limits& limits() const { return limits_; }
  const place_metrics& metrics() const { return metrics_; }

 private:
  enum class state { kWaiting, kArriving, kServed, kReplying };

  struct place {
    state now_in = state::kWaiting;
    time_point since;
    // In the list of its state; the latter two have none.
    std::list<connection_key>::iterator at;
  };

  // Null if it has none.
  place* Find(connection_key connection);
  std::list<connection_key>* ListOf(state s);
  void Enter(connection_key connection, place& p, state next);
  bool MakeRoom();
  void Drop(connection_key connection);
  void WatchArrivals();
  void DropSlow();

  scheduler& clock_;
  place_limits limits_;
  std::function<void(connection_key)> close_;
  std::unordered_map<connection_key, place> places_;
  // In the order in which they entered the state.
  std::list<connection_key> waiting_;
  std::list<connection_key> arriving_;
  place_metrics metrics_;
  scoped_timer arrival_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_CONNECTION_PLACES_H_
