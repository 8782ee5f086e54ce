#include "cluster/reader_choice.h"

#include <tuple>
#include <utility>

namespace jasminedyke {

namespace {

// Of a failure domain, so that one may fail before the others notice.
constexpr int kReaders = 2;
// While the store answers none of them, more try, as it may turn away just
// these. Not all: at the end of an outage each reads the whole table.
constexpr int kMostTrying = 4;
// Reading begins with the whole table; it goes on for a while when it seems not
// to be needed any more, as links come and go in series.
constexpr duration kReadOn = std::chrono::seconds(5);

}  // namespace

reader_choice::reader_choice(scheduler& clock,
                             const peer_port& peers,
                             const entry_member& self,
                             std::function<bool(const instance_id&)> is_home,
                             std::function<void(bool)> on_change)
    : clock_(clock),
      peers_(peers),
      self_(self),
      is_home_(std::move(is_home)),
      on_change_(std::move(on_change)) {}

void reader_choice::SetMembers(
    const std::map<instance_id, entry_member>& members) {
  members_ = members;
}

void reader_choice::OnStatus(const instance_id& peer, store_reading reading) {
  if (reading == store_reading::kNone)
    readers_.erase(peer);
  else
    readers_[peer] = reading;
}

void reader_choice::OnPeerDown(const instance_id& peer) {
  readers_.erase(peer);
}

void reader_choice::Review(bool must_read) {
  bool needed = must_read || IsNeeded();
  if (needed)
    needed_at_ = clock_.now();
  bool reads = needed || (reads_ && clock_.now() - needed_at_ < kReadOn);
  if (reads == reads_)
    return;
  reads_ = reads;
  LogEvent(
      log_level::kInfo,
      reads ? "configuration_read_from_store" : "configuration_left_to_peers",
      {});
  on_change_(reads);
}

bool reader_choice::IsNeeded() const {
  int following = 0;
  int trying = 0;
  for (const auto& [peer, reading] : readers_) {
    auto member = members_.find(peer);
    auto identity = peers_.Identity(peer);
    bool counts = member != members_.end() && identity &&
                  identity->failure_domain == self_.domain &&
                  IsBefore(member->second, self_);
    if (!counts)
      continue;
    ++trying;
    following += reading == store_reading::kFollowing;
  }
  return following < kReaders && trying < kMostTrying;
}

bool reader_choice::IsBefore(const entry_member& a,
                             const entry_member& b) const {
  bool a_is_home = is_home_(a.instance);
  bool b_is_home = is_home_(b.instance);
  return std::tie(a_is_home, b.weight, a.instance) <
         std::tie(b_is_home, a.weight, b.instance);
}

}  // namespace jasminedyke
