#include "cluster/home_election.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace jasminedyke {

namespace {

constexpr char kTable[] = "homes";
constexpr duration kTick = std::chrono::milliseconds(50);
// Renewed so often that a successor that only sees the row, because the home
// went silent, waits little longer than the upstreams' leases last anyway.
constexpr duration kRenewInterval = std::chrono::milliseconds(500);
// Three renewals missed: one may be lost, one may be slow.
constexpr duration kRowExpiry = std::chrono::milliseconds(1500);
// The next candidates wait for the better ones, a store write each.
constexpr duration kWaitPerRank = std::chrono::milliseconds(200);
// New instances first learn who is home already and which of them is the
// strongest; links between instances are up 20 to 40 ms after their start.
constexpr duration kSettleTime = std::chrono::milliseconds(100);
// Without the store: after a home whose process is known to be gone, and after
// one that is only silent.
constexpr duration kStorelessAfterGone = std::chrono::milliseconds(700);
// The silence itself has lasted a second by then. A home that lives and was
// only out of reach takes its upstreams back when it finds itself fenced.
constexpr duration kStorelessAfterSilence = std::chrono::milliseconds(1500);
// Tokens of a row's version are so far apart, with room between them for those
// of homes that began without the store.
// As many as addresses differ in, within one private network; row versions up
// to 500 million keep tokens within the 53 bits that all JSON readers keep.
constexpr uint64_t kTokenSpacing = 1 << 24;
// A home of a quarter of a core handles about a thousand starts a second; one
// with less fell behind at two thirds of that. Handing over costs some tens of
// milliseconds, so the gain must be worth it and likely to last.
constexpr double kMuchStronger = 1.5;
constexpr duration kStrongerFor = std::chrono::seconds(2);
// A home whose status is older does not count as one.
constexpr duration kStatusExpiry = std::chrono::milliseconds(1500);

// Different for all instances of a deployment: they have addresses of one
// private network, or ports of one machine.
uint64_t AddressNumber(const socket_address& address) {
  in_addr ip{};
  inet_pton(AF_INET, address.ip.c_str(), &ip);
  uint32_t number = ntohl(ip.s_addr);
  bool loopback = number >> 24 == IN_LOOPBACKNET;
  return loopback ? address.port : number;
}

}  // namespace

home_election::home_election(scheduler& clock,
                             table_service& store,
                             const home_directory& homes,
                             const home_group& group,
                             const entry_member& self,
                             events told)
    : clock_(clock),
      store_(store),
      homes_(homes),
      group_(group),
      self_(self),
      events_(std::move(told)),
      tick_timer_(clock) {
  tick_timer_.StartAfter(kTick, [this] { Tick(); });
}

void home_election::SetMembers(
    const std::map<instance_id, entry_member>& members) {
  members_ = members;
  members_[self_.instance] = self_;
}

void home_election::OnPeerUp(const peer_identity& peer) {
  peers_up_.emplace(peer.instance, clock_.now());
  incarnations_[peer.instance] = peer.incarnation;
  refused_.erase(peer.instance);
  leaving_peers_.erase(peer.instance);
}

void home_election::OnPeerDown(const instance_id& peer) {
  peers_up_.erase(peer);
}

void home_election::OnPeerRefused(const instance_id& peer) {
  refused_.insert(peer);
  if (!holding_)
    Watch();
}

void home_election::OnPeerLeaving(const instance_id& peer) {
  leaving_peers_.insert(peer);
}

void home_election::OnHomesChanged() {
  const known_home* home = homes_.Find(group_);
  bool other = home && home->instance != self_.instance;
  if (holding_ && other && home->status.token > token_)
    End("newer_home");
}

void home_election::OnFenced() {
  if (!holding_)
    return;
  // Orders to an upstream that the newer home has not reached would not be
  // refused: nothing may wait for the store here. If that home is gone again,
  // the row tells, and all upstreams are looked at anew.
  End("fenced");
  Watch();
}

void home_election::Leave() {
  leaving_ = true;
  // Until the release is written, also over a renewal that is on its way.
  last_renewal_ = time_point();
  if (holding_)
    Hold();
}

std::optional<home_election::home_row> home_election::ParseRow(
    const nlohmann::json& value) {
  if (!value.is_object())
    return std::nullopt;
  home_row row;
  row.holder = instance_id(TextField(value, "holder"));
  row.incarnation = incarnation_id(TextField(value, "incarnation"));
  row.released = BooleanField(value, "released");
  return row;
}

nlohmann::json home_election::OwnRow(bool released) const {
  return {{"holder", self_.instance.str()},
          {"incarnation", self_.incarnation.str()},
          {"released", released}};
}

void home_election::Tick() {
  tick_timer_.StartAfter(kTick, [this] { Tick(); });
  if (holding_)
    Hold();
  else
    Watch();
}

void home_election::Hold() {
  if (call_in_flight_ || released_ ||
      clock_.now() - last_renewal_ < kRenewInterval)
    return;
  last_renewal_ = clock_.now();
  yielding_ = SeesStronger();
  if (row_unsure_)
    CheckRow();
  else
    Renew();
}

bool home_election::IsMuchStrongerThan(const instance_id& other) const {
  auto member = members_.find(other);
  return member != members_.end() &&
         self_.weight >= member->second.weight * kMuchStronger;
}

bool home_election::SeesStronger() const {
  return std::ranges::any_of(members_, [&](const auto& entry) {
    const auto& [id, member] = entry;
    auto up = peers_up_.find(id);
    return member.domain == group_.domain && up != peers_up_.end() &&
           !leaving_peers_.contains(id) &&
           member.weight >= self_.weight * kMuchStronger &&
           clock_.now() - up->second >= kStrongerFor;
  });
}

void home_election::Renew() {
  call_in_flight_ = true;
  bool release = leaving_ || yielding_;
  store_.Write({{kTable, group_.ToString(), row_version_, OwnRow(release)}},
               [this](const auto& result) {
                 released_ = leaving_ && result.ok();
                 OnRenewed(result);
               });
}

void home_election::OnRenewed(
    const outcome<std::vector<uint64_t>, store_error>& result) {
  call_in_flight_ = false;
  if (!holding_)
    return;
  if (result.ok()) {
    row_version_ = result.value().front();
    if (leaving_)
      last_renewal_ = time_point();
    return;
  }
  // A lost answer may have changed the row: its version must be read.
  if (result.error() != store_error::kUnavailable)
    row_unsure_ = true;
  if (result.error() == store_error::kConflict)
    CheckRow();
}

// While holding, when it is not certain that the row is still ours.
void home_election::CheckRow() {
  call_in_flight_ = true;
  store_.Read(kTable, group_.ToString(), [this](const auto& result) {
    call_in_flight_ = false;
    if (!holding_)
      return;
    bool missing = !result.ok() && result.error() == store_error::kNotFound;
    if (!result.ok() && !missing)
      return;
    uint64_t version = missing ? 0 : result.value().version;
    auto row = missing ? std::nullopt : ParseRow(result.value().value);
    // A home that began without the store finds the row of the one that it
    // replaced, and takes it. Another holder that renews it still has won.
    bool ours = row && row->holder == self_.instance &&
                row->incarnation == self_.incarnation;
    bool replaced = missing || (row && MayTake(*row, version));
    if (ours && leaving_) {
      row_unsure_ = false;
      row_version_ = version;
    } else if (ours || replaced) {
      TakeOver(version, !ours);
    } else if (row_version_ != 0) {
      End("row_taken");
    }
  });
}

int home_election::OwnRank() const {
  auto score = [&](const entry_member& member) {
    return std::pair(member.weight, StableHash(group_.ToString() + "/" +
                                               member.instance.str()));
  };
  auto own = score(self_);
  int rank = 0;
  for (const auto& [id, member] : members_) {
    bool candidate = member.domain == group_.domain && peers_up_.contains(id) &&
                     !leaving_peers_.contains(id);
    if (candidate && score(member) > own)
      ++rank;
  }
  return rank;
}

bool home_election::SeesHalf() const {
  return (peers_up_.size() + 1) * 2 >= members_.size();
}

void home_election::Watch() {
  const known_home* home = homes_.Find(group_);
  bool alive = home && clock_.now() - home->received_at < kStatusExpiry &&
               !leaving_peers_.contains(home->instance) &&
               !(home->status.yielding && IsMuchStrongerThan(home->instance));
  if (alive || leaving_) {
    without_home_since_.reset();
    store_away_since_.reset();
    return;
  }
  if (!without_home_since_)
    without_home_since_ = clock_.now();
  duration wait = kWaitPerRank * OwnRank();
  if (!home && homes_.HighestToken(group_).value() == 0)
    wait += kSettleTime;
  if (call_in_flight_ || clock_.now() - *without_home_since_ < wait)
    return;
  call_in_flight_ = true;
  store_.Read(
      kTable, group_.ToString(),
      [this, asked = clock_.now()](const auto& row) { OnRowRead(asked, row); });
}

void home_election::OnRowRead(time_point asked,
                              const outcome<table_row, store_error>& result) {
  call_in_flight_ = false;
  if (holding_ || leaving_)
    return;
  if (!result.ok() && result.error() != store_error::kNotFound) {
    // A store that is silent has been away since it was asked.
    if (!store_away_since_)
      store_away_since_ = asked;
    TakeOverWithoutStore();
    return;
  }
  store_away_since_.reset();
  if (!result.ok()) {
    TakeOver(0, true);
    return;
  }
  auto row = ParseRow(result.value().value);
  if (!row || MayTake(*row, result.value().version))
    TakeOver(result.value().version, true);
}

bool home_election::MayTake(const home_row& row, uint64_t version) {
  bool gone = row.holder == self_.instance || row.released || HasEnded(row);
  if (gone)
    return true;
  if (version != seen_version_) {
    seen_version_ = version;
    seen_since_ = clock_.now();
    return false;
  }
  return clock_.now() - seen_since_ >= kRowExpiry;
}

// That nothing listened, or that it was leaving, says nothing of a process that
// started later, which the row shows by naming an incarnation that is new to
// us.
bool home_election::HasEnded(const home_row& row) const {
  auto known = incarnations_.find(row.holder);
  bool is_known =
      known == incarnations_.end() || known->second == row.incarnation;
  if (!is_known)
    return peers_up_.contains(row.holder);
  // One that is leaving goes on until it hears of its successor.
  return refused_.contains(row.holder) || leaving_peers_.contains(row.holder);
}

void home_election::TakeOver(uint64_t expected_version, bool anew) {
  call_in_flight_ = true;
  store_.Write({{kTable, group_.ToString(), expected_version, OwnRow(false)}},
               [this, anew](const auto& result) {
                 call_in_flight_ = false;
                 if (!result.ok() || leaving_)
                   return;
                 row_unsure_ = false;
                 row_version_ = result.value().front();
                 last_renewal_ = clock_.now();
                 Begin(fencing_token(row_version_ * kTokenSpacing), "store",
                       anew);
               });
}

// Cut off from the store, a group must go on being served. An instance that
// sees few of the others is more likely cut off itself; taking the upstreams
// away from a living home would stop the whole group.
void home_election::TakeOverWithoutStore() {
  fencing_token highest = homes_.HighestToken(group_);
  bool known_gone = std::ranges::any_of(refused_, [&](const auto& id) {
    auto member = members_.find(id);
    return member != members_.end() && member->second.domain == group_.domain;
  });
  duration wait = known_gone ? kStorelessAfterGone : kStorelessAfterSilence;
  bool may = SeesHalf() && highest.value() > 0 && OwnRank() == 0 &&
             clock_.now() - *store_away_since_ >= wait;
  if (!may)
    return;
  row_unsure_ = true;
  row_version_ = 0;
  Begin(TokenWithoutStore(highest), "without_store", true);
}

// Two candidates that are cut off from each other may both begin. With one
// token, upstreams would serve both, and a task could run twice at one time; so
// each has a token of its own, by its address. Its place in the list of members
// does not do: one that restarted behind a cut has no list.
fencing_token home_election::TokenWithoutStore(fencing_token highest) const {
  uint64_t next_row = highest.value() / kTokenSpacing + 1;
  return fencing_token(next_row * kTokenSpacing + 1 +
                       AddressNumber(self_.peers) % (kTokenSpacing - 1));
}

// A home that goes on under a new token knows what runs on its upstreams only
// if no other one has served in between. If one may have, its tasks would be
// started a second time; so it ends first and looks at all of them anew.
void home_election::Begin(fencing_token token, const char* how, bool anew) {
  bool renewed = holding_ && !anew;
  if (holding_ && anew)
    End("another_between");
  holding_ = true;
  yielding_ = false;
  token_ = token;
  without_home_since_.reset();
  store_away_since_.reset();
  LogEvent(
      log_level::kInfo, renewed ? "home_token" : "home_begins",
      {{"group", group_.ToString()}, {"token", token.value()}, {"how", how}});
  events_.on_begin(token);
}

void home_election::End(const char* why) {
  holding_ = false;
  row_unsure_ = false;
  LogEvent(
      log_level::kWarning, "home_ends",
      {{"group", group_.ToString()}, {"token", token_.value()}, {"why", why}});
  events_.on_end();
}

}  // namespace jasminedyke
