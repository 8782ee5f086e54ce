#include "http/connection_places.h"

#include <utility>

namespace jasminedyke {

connection_places::connection_places(scheduler& clock,
                                     const place_limits& limits,
                                     std::function<void(connection_key)> close)
    : clock_(clock),
      limits_(limits),
      close_(std::move(close)),
      arrival_timer_(clock) {}

bool connection_places::Admit(connection_key connection) {
  if (limits_.most > 0 && places_.size() >= limits_.most && !MakeRoom()) {
    ++metrics_.turned_away;
    return false;
  }
  ++metrics_.admitted;
  place& p = places_[connection];
  p.since = clock_.now();
  p.at = waiting_.insert(waiting_.end(), connection);
  return true;
}

void connection_places::OnBytes(connection_key connection) {
  place* p = Find(connection);
  if (p && p->now_in == state::kWaiting)
    Enter(connection, *p, state::kArriving);
}

void connection_places::OnRequest(connection_key connection) {
  if (place* p = Find(connection))
    Enter(connection, *p, state::kServed);
}

void connection_places::OnReply(connection_key connection) {
  if (place* p = Find(connection))
    Enter(connection, *p, state::kReplying);
}

void connection_places::OnReplySent(connection_key connection,
                                    bool bytes_ahead) {
  place* p = Find(connection);
  if (p && p->now_in == state::kReplying)
    Enter(connection, *p, bytes_ahead ? state::kArriving : state::kWaiting);
}

void connection_places::OnClosed(connection_key connection) {
  place* p = Find(connection);
  if (!p)
    return;
  if (auto* list = ListOf(p->now_in))
    list->erase(p->at);
  places_.erase(connection);
}

void connection_places::Rename(connection_key connection, connection_key name) {
  auto node = places_.extract(connection);
  if (!node)
    return;
  if (ListOf(node.mapped().now_in))
    *node.mapped().at = name;
  node.key() = name;
  places_.insert(std::move(node));
}

connection_places::place* connection_places::Find(connection_key connection) {
  auto found = places_.find(connection);
  return found == places_.end() ? nullptr : &found->second;
}

std::list<connection_key>* connection_places::ListOf(state s) {
  switch (s) {
    case state::kWaiting:
      return &waiting_;
    case state::kArriving:
      return &arriving_;
    case state::kServed:
    case state::kReplying:
      break;
  }
  return nullptr;
}

void connection_places::Enter(connection_key connection, place& p, state next) {
  if (auto* list = ListOf(p.now_in))
    list->erase(p.at);
  p.now_in = next;
  p.since = clock_.now();
  if (auto* list = ListOf(next))
    p.at = list->insert(list->end(), connection);
  if (next == state::kArriving)
    WatchArrivals();
}

bool connection_places::MakeRoom() {
  connection_key leaves = nullptr;
  if (!waiting_.empty())
    leaves = waiting_.front();
  else if (!arriving_.empty() &&
           clock_.now() - Find(arriving_.front())->since >=
               limits_.arrival_when_full)
    leaves = arriving_.front();
  if (!leaves)
    return false;
  ++metrics_.replaced;
  Drop(leaves);
  return true;
}

void connection_places::Drop(connection_key connection) {
  OnClosed(connection);
  close_(connection);
}

void connection_places::WatchArrivals() {
  if (arrival_timer_.active() || arriving_.empty())
    return;
  arrival_timer_.StartAt(Find(arriving_.front())->since + limits_.arrival,
                         [this] { DropSlow(); });
}

void connection_places::DropSlow() {
  while (!arriving_.empty() &&
         clock_.now() - Find(arriving_.front())->since >= limits_.arrival) {
    ++metrics_.too_slow;
    Drop(arriving_.front());
  }
  WatchArrivals();
}

}  // namespace jasminedyke
