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
// Short enough that a successor that detects a silent home only by its row
// waits hardly longer than the upstreams' leases last.
constexpr duration kRenewInterval = std::chrono::milliseconds(500);
// A store that fails is asked for the row less and less often. One that is back
// is noticed well within a second.
constexpr duration kLongestAskPause = std::chrono::milliseconds(400);
// Stands for a version in `refused_`, as no row has one so high: the peer has
// written a row after it refused a connection, so it lives.
constexpr uint64_t kLives = UINT64_MAX;
// Three missed renewals, as one may be lost and another one slow.
constexpr duration kRowExpiry = std::chrono::milliseconds(1500);
// Time of one store write: each candidate waits for the better ones to take the
// row first.
constexpr duration kWaitPerRank = std::chrono::milliseconds(200);
// Time in which a new instance learns whether there is a home and which
// instance is the strongest. Links come up 20 to 40 ms after the start.
constexpr duration kSettleTime = std::chrono::milliseconds(100);
// Time in which the first candidate begins and its status arrives here.
constexpr duration kStorelessWaitPerRank = std::chrono::milliseconds(500);
// Wait without the store after the process of a home is known to have ended.
constexpr duration kStorelessWaitAfterEnd = std::chrono::milliseconds(700);
// Wait without the store after a home became silent, which is detected after a
// second. A home that was alive but unreachable takes its upstreams back when
// it is fenced.
constexpr duration kStorelessWaitAfterSilence = std::chrono::milliseconds(1500);
// Distance between the tokens of two successive row versions. The tokens in
// between are for homes that begin without the store: one for each address of a
// private network. Row versions up to 500 million keep tokens within the 53
// bits of an integer that all JSON parsers preserve.
constexpr uint64_t kTokenSpacing = 1 << 24;
// A home with a quarter of a core handles about 1000 starts per second; one
// with less fell behind at two thirds of that. A handover takes some tens of
// milliseconds, so the successor must be clearly stronger and stay connected.
constexpr double kMuchStronger = 1.5;
constexpr duration kStrongerPeerMinUptime = std::chrono::seconds(2);
// Age at which the last status of a home no longer shows that it is alive.
constexpr duration kStatusExpiry = std::chrono::milliseconds(1500);

// Returns a number that is unique among the instances of a deployment, which
// have different addresses of one private network or different ports of one
// machine.
uint64_t AddressNumber(const socket_address& address) {
  in_addr ip{};
  inet_pton(AF_INET, address.ip.c_str(), &ip);
  uint32_t number = ntohl(ip.s_addr);
  bool loopback = number >> 24 == IN_LOOPBACKNET;
  return loopback ? address.port : number;
}

}  // namespace

home_election::home_election(scheduler& clock,
                             store_watch& store,
                             const home_directory& homes,
                             const home_group& group,
                             const entry_member& self,
                             event_handlers handlers)
    : clock_(clock),
      store_(store),
      homes_(homes),
      group_(group),
      self_(self),
      handlers_(std::move(handlers)),
      ask_pause_(kTick, kLongestAskPause),
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
  auto [process, is_new] = processes_.try_emplace(
      peer.instance, peer_process{peer.incarnation, clock_.now()});
  if (process->second.incarnation != peer.incarnation)
    process->second = {peer.incarnation, clock_.now()};
  refused_.erase(peer.instance);
  leaving_peers_.erase(peer.instance);
}

void home_election::OnPeerDown(const instance_id& peer) {
  peers_up_.erase(peer);
  able_peers_.erase(peer);
}

void home_election::OnPeerRefused(const instance_id& peer) {
  refused_.try_emplace(peer, 0);
  if (!holding_)
    Watch();
}

void home_election::OnPeerLeaving(const instance_id& peer) {
  leaving_peers_.insert(peer);
}

void home_election::OnPeerCanBegin(const instance_id& peer, bool can_begin) {
  if (can_begin)
    able_peers_.insert(peer);
  else
    able_peers_.erase(peer);
}

void home_election::OnTokenKnown(fencing_token token) {
  told_token_ = std::max(told_token_, token);
  if (holding_ && token > token_)
    End("newer_token");
}

fencing_token home_election::KnownToken() const {
  return std::max(told_token_, homes_.HighestToken(group_));
}

bool home_election::CanBeginWithoutStore() const {
  return KnownToken().value() > 0 && handlers_.knows_upstreams();
}

void home_election::OnHomesChanged() {
  const known_home* home = homes_.Find(group_);
  bool is_other = home && home->instance != self_.instance;
  if (holding_ && is_other && home->status.token > token_)
    End("newer_home");
}

void home_election::OnFenced() {
  if (!holding_)
    return;
  // An upstream that the newer home has not reached yet would still accept this
  // home's requests, so the role ends without waiting for the store. If the
  // newer home has ended, the row shows it, and this instance takes over again
  // and queries all upstreams.
  End("fenced");
  Watch();
}

void home_election::Leave() {
  leaving_ = true;
  // Makes the release due at once, also after a renewal that is in flight.
  last_renewal_ = time_point();
  if (holding_)
    MaintainRow();
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
    MaintainRow();
  else
    Watch();
}

void home_election::MaintainRow() {
  if (call_in_flight_ || released_ ||
      clock_.now() - last_renewal_ < kRenewInterval)
    return;
  last_renewal_ = clock_.now();
  yielding_ = HasStrongerPeer();
  if (row_version_unknown_)
    CheckRow();
  else
    WriteRow(row_version_);
}

bool home_election::IsMuchStrongerThan(const instance_id& other) const {
  auto member = members_.find(other);
  return member != members_.end() &&
         self_.weight >= member->second.weight * kMuchStronger;
}

bool home_election::HasStrongerPeer() const {
  return std::ranges::any_of(members_, [&](const auto& entry) {
    const auto& [id, member] = entry;
    auto up = peers_up_.find(id);
    return member.domain == group_.domain && up != peers_up_.end() &&
           !leaving_peers_.contains(id) &&
           member.weight >= self_.weight * kMuchStronger &&
           clock_.now() - up->second >= kStrongerPeerMinUptime;
  });
}

void home_election::WriteRow(uint64_t expected_version) {
  call_in_flight_ = true;
  bool release = leaving_ || yielding_;
  store_.Write({{kTable, group_.ToString(), expected_version, OwnRow(release)}},
               [this](const auto& result) {
                 released_ = leaving_ && result.ok();
                 OnRowWritten(result);
               });
}

void home_election::OnRowWritten(
    const outcome<std::vector<uint64_t>, store_error>& result) {
  call_in_flight_ = false;
  if (!holding_)
    return;
  if (result.ok()) {
    row_version_ = result.value().front();
    row_version_unknown_ = false;
    if (leaving_)
      last_renewal_ = time_point();
    return;
  }
  // The write may have succeeded although its reply was lost, so the version
  // must be read.
  if (result.error() != store_error::kUnavailable)
    row_version_unknown_ = true;
  if (result.error() == store_error::kConflict)
    CheckRow();
}

// Reads the row while this instance is home but may have lost the row.
void home_election::CheckRow() {
  call_in_flight_ = true;
  store_.Read(kTable, group_.ToString(), [this](const auto& result) {
    call_in_flight_ = false;
    if (holding_)
      OnRowChecked(result);
  });
}

void home_election::OnRowChecked(
    const outcome<table_row, store_error>& result) {
  bool missing = !result.ok() && result.error() == store_error::kNotFound;
  if (!result.ok() && !missing)
    return;
  uint64_t version = missing ? 0 : result.value().version;
  auto row = missing ? std::nullopt : ParseRow(result.value().value);
  bool ours = row && row->holder == self_.instance &&
              row->incarnation == self_.incarnation;
  if (missing || ours) {
    WriteRow(version);
    return;
  }
  // Another home has taken the row over from this one.
  if (row_version_ != 0) {
    End("row_taken");
    return;
  }
  // A home that began without the store finds the row of the home that it
  // replaced, and takes it over. If another holder still renews the row, that
  // holder keeps it until one of the two homes hears of the other.
  if (row && MayTakeOver(*row, version))
    WriteRow(version);
}

int home_election::OwnRank(
    const std::function<bool(const instance_id&)>& counts) const {
  auto score = [&](const entry_member& member) {
    return std::pair(member.weight, StableHash(group_.ToString() + "/" +
                                               member.instance.str()));
  };
  auto own = score(self_);
  int rank = 0;
  for (const auto& [id, member] : members_) {
    bool candidate = member.domain == group_.domain && peers_up_.contains(id) &&
                     !leaving_peers_.contains(id) && counts(id);
    if (candidate && score(member) > own)
      ++rank;
  }
  return rank;
}

int home_election::OwnRank() const {
  return OwnRank([](const instance_id&) { return true; });
}

// Leaves out processes that were first met after the loss: they would count
// their own wait from their start.
int home_election::StorelessRank() const {
  return OwnRank([this](const instance_id& id) {
    auto process = processes_.find(id);
    bool met_before = process != processes_.end() && without_home_since_ &&
                      process->second.met_at <= *without_home_since_;
    return met_before && able_peers_.contains(id);
  });
}

bool home_election::IsConnectedToHalf() const {
  return (peers_up_.size() + 1) * 2 >= members_.size();
}

void home_election::Watch() {
  const known_home* home = homes_.Find(group_);
  bool alive = home && clock_.now() - home->received_at < kStatusExpiry &&
               !leaving_peers_.contains(home->instance) &&
               !(home->status.yielding && IsMuchStrongerThan(home->instance));
  if (alive || leaving_) {
    asked_in_vain_ = false;
    logged_obstacle_ = nullptr;
    without_home_since_.reset();
    ForgetAskedInVain();
    return;
  }
  if (!without_home_since_)
    without_home_since_ = clock_.now();
  if (asked_in_vain_ && store_.silent_since())
    TakeOverWithoutStore();
  if (holding_)
    return;
  duration wait = kWaitPerRank * OwnRank();
  if (!home && homes_.HighestToken(group_).value() == 0)
    wait += kSettleTime;
  if (call_in_flight_ || clock_.now() - *without_home_since_ < wait ||
      clock_.now() < ask_again_at_)
    return;
  call_in_flight_ = true;
  asked_at_ = clock_.now();
  store_.Read(kTable, group_.ToString(),
              [this](const auto& row) { OnRowRead(row); });
}

// From when it was asked, so that the first attempt that fails delays nothing.
void home_election::OnAskedInVain() {
  ask_again_at_ = asked_at_ + ask_pause_.Next();
}

void home_election::ForgetAskedInVain() {
  ask_pause_.Reset();
  ask_again_at_ = time_point();
}

void home_election::OnRowRead(const outcome<table_row, store_error>& result) {
  call_in_flight_ = false;
  bool is_missing = !result.ok() && result.error() == store_error::kNotFound;
  asked_in_vain_ = !result.ok() && !is_missing;
  if (asked_in_vain_)
    OnAskedInVain();
  if (holding_ || leaving_ || (!result.ok() && !is_missing))
    return;
  if (is_missing) {
    TakeOver(0);
    return;
  }
  auto row = ParseRow(result.value().value);
  if (!row || MayTakeOver(*row, result.value().version))
    TakeOver(result.value().version);
  else
    ForgetAskedInVain();
}

bool home_election::MayTakeOver(const home_row& row, uint64_t version) {
  bool gone =
      row.holder == self_.instance || row.released || HasEnded(row, version);
  if (gone)
    return true;
  if (version != watched_version_) {
    watched_version_ = version;
    watched_since_ = clock_.now();
    return false;
  }
  return clock_.now() - watched_since_ >= kRowExpiry;
}

// A refused connection or an announced stop applies to the last known process
// of the holder only. A row with an unknown incarnation was written by another
// process, about which neither says anything.
bool home_election::HasEnded(const home_row& row, uint64_t version) {
  auto known = processes_.find(row.holder);
  bool is_known =
      known == processes_.end() || known->second.incarnation == row.incarnation;
  if (!is_known)
    return peers_up_.contains(row.holder);
  // A home that is leaving keeps serving until its successor's status arrives.
  return leaving_peers_.contains(row.holder) ||
         HasEndedByRefusal(row.holder, version);
}

// A process that has ended writes no row. One that refuses connections and
// still writes is alive, but out of reach; two such would take the group from
// each other without end.
bool home_election::HasEndedByRefusal(const instance_id& holder,
                                      uint64_t version) {
  auto refused = refused_.find(holder);
  if (refused == refused_.end())
    return false;
  if (refused->second == 0)
    refused->second = version;
  if (refused->second != version)
    refused->second = kLives;
  return refused->second == version;
}

void home_election::TakeOver(uint64_t expected_version) {
  call_in_flight_ = true;
  store_.Write({{kTable, group_.ToString(), expected_version, OwnRow(false)}},
               [this](const auto& result) {
                 // This instance has begun without the store meanwhile.
                 if (holding_) {
                   OnRowWritten(result);
                   return;
                 }
                 call_in_flight_ = false;
                 if (!result.ok())
                   OnAskedInVain();
                 if (!result.ok() || leaving_)
                   return;
                 row_version_unknown_ = false;
                 row_version_ = result.value().front();
                 last_renewal_ = clock_.now();
                 Begin(TokenOfRow(row_version_), "store");
               });
}

// Begins without the store, as a group must be served also while the store is
// unreachable. An instance that is connected to less than half of the others is
// probably cut off itself, and must not take the upstreams from a home that is
// alive, which would stop the whole group.
void home_election::TakeOverWithoutStore() {
  const char* obstacle = ObstacleWithoutStore();
  LogObstacle(obstacle);
  if (obstacle)
    return;
  row_version_unknown_ = true;
  row_version_ = 0;
  Begin(TokenAbove(KnownToken()), "without_store");
}

const char* home_election::ObstacleWithoutStore() const {
  if (KnownToken().value() == 0)
    return "no_token";
  if (!handlers_.knows_upstreams())
    return "no_upstreams";
  if (!IsConnectedToHalf())
    return "few_links";
  bool known_ended = std::ranges::any_of(refused_, [&](const auto& entry) {
    auto member = members_.find(entry.first);
    return entry.second != kLives && member != members_.end() &&
           member->second.domain == group_.domain;
  });
  duration wait =
      known_ended ? kStorelessWaitAfterEnd : kStorelessWaitAfterSilence;
  duration silent =
      clock_.now() - std::max(*store_.silent_since(), *without_home_since_);
  if (silent < wait)
    return "short_silence";
  if (silent < wait + kStorelessWaitPerRank * StorelessRank())
    return "outranked";
  return nullptr;
}

void home_election::LogObstacle(const char* obstacle) {
  if (obstacle == logged_obstacle_)
    return;
  logged_obstacle_ = obstacle;
  if (!obstacle)
    return;
  duration missing = clock_.now() - without_home_since_.value_or(clock_.now());
  LogEvent(log_level::kInfo, "home_awaited",
           {{"group", group_.ToString()},
            {"why", obstacle},
            {"rank", StorelessRank()},
            {"missing_ms", WholeMilliseconds(missing)}});
}

// Two candidates that are disconnected from each other may both begin. If they
// had the same token, upstreams would serve both, and a task could run twice at
// the same time; so the token depends on the address. The position in the list
// of members would not do, as an instance that restarts while it is cut off has
// no such list.
fencing_token home_election::TokenAbove(fencing_token highest) const {
  uint64_t next_row = highest.value() / kTokenSpacing + 1;
  return fencing_token(next_row * kTokenSpacing + 1 +
                       AddressNumber(self_.peers) % (kTokenSpacing - 1));
}

// A home that began without the store may have a higher token than the row's
// version stands for.
fencing_token home_election::TokenOfRow(uint64_t version) const {
  fencing_token token(version * kTokenSpacing);
  fencing_token known = KnownToken();
  return token > known ? token : TokenAbove(known);
}

void home_election::Begin(fencing_token token, const char* how) {
  holding_ = true;
  yielding_ = false;
  token_ = token;
  without_home_since_.reset();
  ForgetAskedInVain();
  LogEvent(
      log_level::kInfo, "home_begins",
      {{"group", group_.ToString()}, {"token", token.value()}, {"how", how}});
  handlers_.on_begin(token);
}

void home_election::End(const char* why) {
  holding_ = false;
  row_version_unknown_ = false;
  LogEvent(
      log_level::kWarning, "home_ends",
      {{"group", group_.ToString()}, {"token", token_.value()}, {"why", why}});
  handlers_.on_end();
}

}  // namespace jasminedyke
