#include "daemon/address_opener.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// A predecessor that is ending leaves its ports within milliseconds.
constexpr duration kFirstPause = std::chrono::milliseconds(50);
constexpr duration kLongestPause = std::chrono::seconds(1);
// Between two lines on one address, unless the error changes.
constexpr duration kLogPause = std::chrono::seconds(30);

// The one of `addresses` that the daemon can't be without and that is where
// this one is; null if there is none.
const listen_address* FindNeeded(const std::vector<listen_address>& addresses,
                                 const socket_address& where) {
  auto found = std::ranges::find_if(addresses, [&](const listen_address& each) {
    return each.when != listen_when::kOptional && each.address == where &&
           where.port != 0;
  });
  return found == addresses.end() ? nullptr : &*found;
}

}  // namespace

address_opener::address_opener(scheduler& clock, handlers then, bind_call bind)
    : clock_(clock),
      then_(std::move(then)),
      bind_(std::move(bind)),
      pause_(kFirstPause),
      timer_(clock) {}

void address_opener::Open(const std::vector<listen_address>& addresses,
                          bool may_end) {
  if (over_)
    return;
  may_end_ = may_end;
  std::vector<entry> before = std::exchange(entries_, {});
  for (const listen_address& each : addresses) {
    auto same = std::ranges::find(before, each, &entry::wanted);
    if (same == before.end())
      entries_.push_back({each, {}, {}, {}, {}});
    else
      entries_.push_back(std::move(*same));
    const listen_address* needed = FindNeeded(addresses, each.address);
    if (each.when == listen_when::kOptional && needed)
      GiveUp(entries_.back(),
             each.address.ToString() + " is for " + needed->use);
  }
  before.clear();
  pause_ = kFirstPause;
  Try();
}

std::vector<std::string> address_opener::awaited() const {
  std::vector<std::string> uses;
  for (const entry& each : entries_) {
    if (each.awaited())
      uses.push_back(each.wanted.use);
  }
  return uses;
}

void address_opener::Try() {
  timer_.Stop();
  if (!BindAll() || !ListenEarly())
    return;
  bool may_open =
      !over_ && may_end_ && std::ranges::none_of(entries_, &entry::awaited);
  if (may_open && ListenOnOthers())
    HandOver();
  if (std::ranges::none_of(entries_, &entry::lacking))
    return;
  timer_.StartAfter(pause_, [this] { Try(); });
  pause_ = std::min(2 * pause_, kLongestPause);
}

bool address_opener::BindAll() {
  for (entry& each : entries_) {
    if (!each.lacking())
      continue;
    auto bound = bind_(each.wanted.address);
    if (bound.ok())
      each.socket = std::move(bound.value());
    else if (!OnError(each, bound.error()))
      return false;
  }
  return true;
}

bool address_opener::ListenEarly() {
  for (entry& each : entries_) {
    if (!each.socket || each.wanted.when == listen_when::kWithOthers)
      continue;
    if (std::optional<socket_error> error = each.socket->Listen()) {
      each.socket.reset();
      if (!OnError(each, *error))
        return false;
      continue;
    }
    each.done = true;
    then_.on_early(each.wanted, Take(each));
  }
  return true;
}

// Two sockets may be bound to one address while neither listens. The one that
// is late lets go of all that callers and peers use, so that nobody reaches
// half a daemon.
bool address_opener::ListenOnOthers() {
  for (entry& each : entries_) {
    if (!each.socket)
      continue;
    std::optional<socket_error> error = each.socket->Listen();
    if (!error)
      continue;
    if (!OnError(each, *error))
      return false;
    for (entry& held : entries_)
      held.socket.reset();
    return false;
  }
  return true;
}

bool address_opener::OnError(entry& failed, const socket_error& error) {
  if (error.passes()) {
    LogWaiting(failed, error);
    return true;
  }
  std::string reason = "can't listen on " + failed.wanted.address.ToString() +
                       " for " + failed.wanted.use + ": " + error.ToString();
  if (failed.wanted.when == listen_when::kOptional) {
    GiveUp(failed, reason);
    return true;
  }
  over_ = true;
  entries_.clear();
  then_.on_failed(reason);
  return false;
}

void address_opener::GiveUp(entry& optional, const std::string& reason) {
  if (optional.done)
    return;
  optional.done = true;
  LogEvent(log_level::kError, "no_" + optional.wanted.use,
           {{"reason", reason}});
}

void address_opener::LogWaiting(entry& waiting, const socket_error& error) {
  time_point now = clock_.now();
  if (!waiting.waits_since)
    waiting.waits_since = now;
  bool known = waiting.error == error && now - waiting.logged_at < kLogPause;
  if (known)
    return;
  waiting.error = error;
  waiting.logged_at = now;
  LogEvent(log_level::kWarning, "address_unavailable",
           {{"use", waiting.wanted.use},
            {"address", waiting.wanted.address.ToString()},
            {"error", error.ToString()},
            {"waiting_ms", WholeMilliseconds(now - *waiting.waits_since)}});
}

server_socket address_opener::Take(entry& open) {
  if (open.waits_since)
    LogEvent(
        log_level::kInfo, "address_available",
        {{"use", open.wanted.use},
         {"address", open.wanted.address.ToString()},
         {"waited_ms", WholeMilliseconds(clock_.now() - *open.waits_since)}});
  server_socket taken = std::move(*open.socket);
  open.socket.reset();
  return taken;
}

void address_opener::HandOver() {
  over_ = true;
  open_sockets open;
  for (entry& each : entries_) {
    if (each.socket)
      open.emplace(each.wanted.use, Take(each));
  }
  // Optional ones that lack are tried further.
  std::erase_if(entries_, [](const entry& each) {
    return each.wanted.when != listen_when::kOptional;
  });
  then_.on_open(std::move(open));
}

}  // namespace jasminedyke
