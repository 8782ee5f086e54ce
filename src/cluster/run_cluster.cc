#include "cluster/run_cluster.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/overloaded.h"

namespace jasminedyke {

namespace {

// Longest silence of a link with few peers. A peer that is silent for four
// intervals is considered dead.
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(250);
// With many peers, heartbeats take much of an instance's bandwidth and
// processor time, so the interval grows with their number. The maximum leaves
// two heartbeats within the silence after which a peer is considered dead.
constexpr duration kHeartbeatPerPeer = std::chrono::microseconds(1500);
constexpr duration kMaxHeartbeatInterval = std::chrono::milliseconds(450);
// A heartbeat that is late by this much shows that the process stood still.
constexpr duration kNotableStall = std::chrono::milliseconds(300);
// Largest age of what owners of jobs know about a home's room, which is about
// the time in which a short task takes or frees room. With older figures, the
// owners of all failure domains send too much to the same home at once.
constexpr duration kHomeStatusInterval = std::chrono::milliseconds(50);
// Interval at which an instance confirms the statuses of homes. Homes start no
// tasks of its jobs once its confirmation is too old (`return_bound`), so this
// must not grow with the number of peers.
constexpr duration kConfirmationInterval = std::chrono::milliseconds(200);
// Time without a status of a home that shows that the home, or this instance,
// stood still. The home needs new confirmations then before it stops runs.
constexpr duration kStatusGap = 3 * kHomeStatusInterval;
// Time in which an instance handles all that has reached it. A process that
// stood still finds messages of a home and the ends of its callers' connections
// at the same time, and must not confirm the former before it reads the latter.
constexpr duration kHandlingTime = std::chrono::milliseconds(20);
// Time for which an upstream that the store no longer lists is kept.
// Registrations lapse while the store is unreachable, and an upstream that is
// alive registers again within two seconds after the store is back.
constexpr duration kMissingUpstreamRetention = std::chrono::milliseconds(2500);
// Time for which this instance still reports that it follows the operators'
// table after the store stopped answering. Otherwise a single failed call would
// make other instances read the whole table.
constexpr duration kStoreContactGrace = std::chrono::milliseconds(700);
// Time without progress of a configuration change after which this instance
// reads it from the store. Peers send changes within milliseconds, large ones
// in pieces.
constexpr duration kMaxRoutingStall = std::chrono::seconds(1);

}  // namespace

run_cluster::run_cluster(scheduler& clock,
                         peer_port& peers,
                         table_service& store,
                         upstream_port& upstreams,
                         const entry_member& self,
                         const run_home::settings& home,
                         config_codec config)
    : clock_(clock),
      peers_(peers),
      self_(self),
      config_codec_(std::move(config)),
      routing_sync_(
          clock,
          peers,
          {self.instance, self.incarnation, self.domain},
          routes_,
          [this](const instance_id& from) { OnRoutesChanged(from.str()); }),
      reader_choice_(
          clock,
          peers,
          self,
          [this](const instance_id& id) { return IsHome(id); },
          [this](bool reads) {
            if (reader_handler_)
              reader_handler_(reads);
          }),
      home_contact_(clock),
      addresses_(clock),
      homes_(clock),
      store_(clock, store),
      heartbeat_timer_(clock),
      confirmation_timer_(clock),
      home_status_timer_(clock) {
  home_group group{self.domain, 0};
  delegator_ = std::make_unique<start_delegator>(
      clock, upstreams, [this](const upstream_id& id) { return AddressOf(id); },
      [this](const instance_id& owner, const delegated_start& start) {
        return Send(owner, start);
      });
  home_ = std::make_unique<run_home>(
      clock, *delegator_, group, home,
      [this](const instance_id& to, const run_report& report) {
        Send(to, report);
      },
      // Deferred, as the home's sessions are still in the call that reports it.
      [this] {
        clock_.CallAfter(duration::zero(), [this] { election_->OnFenced(); });
      });
  owner_ = std::make_unique<job_owner>(
      clock, self.domain, homes_,
      [this](const instance_id& to, const run_request& request) {
        return Send(to, request);
      },
      [this](const instance_id& to, const run_cancel& cancel) {
        Send(to, cancel);
      });
  starter_ = std::make_unique<delegated_starter>(
      upstreams,
      [this](const job_key& job, submission_id submission) {
        return owner_->Spec(job, submission);
      },
      [this](const instance_id& to, const delegated_start_result& result) {
        Send(to, result);
      });
  election_ = std::make_unique<home_election>(
      clock, store_, homes_, group, self,
      home_election::event_handlers{
          [this](fencing_token token) { OnHomeBegins(token); },
          [this] { OnHomeEnds(); }, [this] { return !upstreams_.empty(); }});
  members_ = std::make_unique<member_registry>(clock, store_, self);
  home_->SetCrashHandler([this](const crash_news& news) { SendToAll(news); });
  home_->SetDomainState(domain_drains_.StateOf(self_.domain));
  peers_.SetListener(this);
  members_->Register();
  heartbeat_due_ = clock.boot_now();
  Heartbeat();
  ConfirmToHomes();
}

run_cluster::~run_cluster() {
  peers_.SetListener(nullptr);
}

void run_cluster::SetMembers(
    const std::map<instance_id, entry_member>& members) {
  std::set<failure_domain_id> domains{self_.domain};
  for (const auto& [id, member] : members)
    domains.insert(member.domain);
  homes_.SetDomains(domains);
  election_->SetMembers(members);
  addresses_.SetMembers(members);
  reader_choice_.SetMembers(members);
  ReviewReaderChoice();
  peers_.SetWanted(addresses_.Wanted());
}

void run_cluster::SetHomeHandler(std::function<void(bool)> handler) {
  home_handler_ = std::move(handler);
}

void run_cluster::SetReaderHandler(std::function<void(bool)> handler) {
  reader_handler_ = std::move(handler);
  if (reader_choice_.reads())
    reader_handler_(true);
}

void run_cluster::SetRoutesHandler(std::function<void()> handler) {
  routes_handler_ = std::move(handler);
}

void run_cluster::SetStoreReachable(bool reachable) {
  if (store_reachable_ && !reachable)
    store_unreachable_since_ = clock_.now();
  store_reachable_ = reachable;
}

store_reading run_cluster::OwnReading() const {
  if (!reader_choice_.reads())
    return store_reading::kNone;
  bool follows = store_reachable_ ||
                 clock_.now() - store_unreachable_since_ < kStoreContactGrace;
  return follows ? store_reading::kFollowing : store_reading::kTrying;
}

void run_cluster::OnHomeBegins(fencing_token token) {
  upstreams_whole_ = KnowsAllUpstreams();
  began_with_whole_list_ = upstreams_whole_;
  // Tells all that know less once more, as the last home may have missed news.
  shared_.clear();
  // Nothing shows yet that what reached this instance has been handled.
  home_status_sent_at_ = kLongAgo;
  home_->Begin(token);
  SendHomeStatus();
  if (home_handler_)
    home_handler_(true);
}

void run_cluster::OnHomeEnds() {
  listed_since_.reset();
  listed_upstreams_.clear();
  // Another home has served, and may have used upstreams of which this one has
  // not heard.
  upstreams_whole_ = false;
  home_->End();
  SendHomeStatus();
  if (home_handler_)
    home_handler_(false);
}

void run_cluster::SetUpstreams(const upstream_registry& upstreams) {
  listed_upstreams_.clear();
  for (const auto& [id, info] : upstreams) {
    if (info.failure_domain == self_.domain)
      listed_upstreams_.emplace(id, info);
  }
  if (!listed_since_)
    listed_since_ = clock_.now();
  // Upstreams that are alive have registered again by the time for which
  // missing ones are kept, so from then on the store's list lacks none.
  upstreams_whole_ = upstreams_whole_ ||
                     clock_.now() - *listed_since_ >= kMissingUpstreamRetention;
  UseListedUpstreams();
}

// Upstreams whose registrations lapsed while the store was unreachable get the
// whole retention time to register again.
void run_cluster::SetUpstreamListReachable(bool reachable) {
  if (reachable)
    missing_since_.clear();
  else
    listed_since_.reset();
}

void run_cluster::UseListedUpstreams() {
  upstream_registry own = listed_upstreams_;
  std::erase_if(own, [this](const auto& entry) {
    return !IsKnownService(entry.second.service);
  });
  KeepRecentlyMissing(&own);
  upstream_news news = Difference(upstreams_, own);
  upstreams_ = std::move(own);
  home_->SetUpstreams(upstreams_, began_with_whole_list_);
  if (news.empty())
    return;
  SendToOwnDomain(news);
}

// Returns whether the configuration names the service. An upstream of another
// service belongs to some other program and must get no calls.
bool run_cluster::IsKnownService(const service_id& service) const {
  return !routes_.known() || routes_.services().contains(service.str());
}

// After a failure domain was cut off from the store, the list lacks most of its
// upstreams for a moment, although their runs continue. A home that dropped
// these upstreams would start the tasks a second time. An upstream that has
// really ended answers no call, so it gets no work while it is kept.
//
// An upstream that stays missing counts as gone once nothing runs there. It may
// only have lost its way to the store, and as long as it has runs it stays in
// the list: a successor that did not know of it would start them again.
void run_cluster::KeepRecentlyMissing(upstream_registry* listed) {
  std::erase_if(missing_since_, [&](const auto& entry) {
    return listed->contains(entry.first);
  });
  for (const auto& [id, info] : upstreams_) {
    if (listed->contains(id))
      continue;
    time_point since =
        missing_since_.try_emplace(id, clock_.now()).first->second;
    bool is_gone = clock_.now() - since >= kMissingUpstreamRetention &&
                   !home_->HasRunsOn(id);
    if (is_gone)
      missing_since_.erase(id);
    else
      listed->emplace(id, info);
  }
}

// Applies the home's changes to the list of upstreams. After the home has
// ended, its last list remains valid until the store's list arrives. Other
// instances only add what is not known here, also to the list of a home that
// began with a short one.
void run_cluster::OnUpstreamNews(const instance_id& from, upstream_news news) {
  if (!IsOfOwnDomain(from))
    return;
  bool from_home = IsHome(from) && !home_->serving();
  if (!from_home) {
    std::erase_if(news.rows, [this](const upstream_info& info) {
      return upstreams_.contains(info.id);
    });
    news.full = false;
    news.gone.clear();
  }
  for (upstream_info& info : news.rows)
    info.failure_domain = self_.domain;
  election_->OnTokenKnown(news.token);
  Apply(news, &upstreams_);
  upstreams_whole_ = upstreams_whole_ || news.whole;
  if (news.full || news.whole)
    home_contact_.OnList();
  home_->SetUpstreams(upstreams_, false);
}

bool run_cluster::KnowsAllUpstreams() const {
  return upstreams_whole_ && (home_->serving() || home_contact_.IsRecent());
}

group_knowledge run_cluster::OwnGroupKnowledge() const {
  if (!election_->CanBeginWithoutStore())
    return group_knowledge::kNone;
  return KnowsAllUpstreams() ? group_knowledge::kWhole : group_knowledge::kSome;
}

void run_cluster::SendGroupKnowledge(const instance_id& peer) {
  shared_[peer] = OwnGroupKnowledge();
  upstream_news news = FullNews(upstreams_, KnowsAllUpstreams());
  news.token = election_->KnownToken();
  Send(peer, news);
}

// Without a home, an instance that restarts would know nothing of the group
// until the store answers, and once all others have restarted none could become
// home.
void run_cluster::ShareGroupKnowledge(const instance_id& peer,
                                      group_knowledge known) {
  const known_home* home = homes_.Find({self_.domain, 0});
  bool told_by_home = home && home->instance != peer && !home_->serving();
  group_knowledge own = OwnGroupKnowledge();
  auto shared = shared_.find(peer);
  bool is_news = shared == shared_.end() || shared->second < own;
  if (IsOfOwnDomain(peer) && !told_by_home && known < own && is_news)
    SendGroupKnowledge(peer);
}

void run_cluster::SendSpeeds() {
  if (!home_->serving())
    return;
  speed_news news = home_->speeds().TakeNews(clock_.now());
  if (news.speeds.empty())
    return;
  SendToOwnDomain(news);
}

// Ignores a home that has been replaced, as its late news may contradict those
// of its successor.
void run_cluster::OnSpeedNews(const instance_id& from, const speed_news& news) {
  const known_home* home = homes_.Find({self_.domain, 0});
  bool replaced = home && home->instance != from;
  if (replaced || home_->serving() || !IsOfOwnDomain(from))
    return;
  home_->speeds().Apply(news, upstreams_, clock_.now());
}

bool run_cluster::IsHome(const instance_id& id) const {
  const known_home* home = homes_.Find({self_.domain, 0});
  return home && home->instance == id;
}

bool run_cluster::IsOfOwnDomain(const instance_id& peer) const {
  auto identity = peers_.Identity(peer);
  return identity && identity->failure_domain == self_.domain;
}

void run_cluster::OnConfigDocument(const std::string& document,
                                   const char* from) {
  auto config = config_codec_.parse(document, routes_.version());
  if (!config) {
    LogEvent(log_level::kError, "configuration_malformed",
             {{"bytes", document.size()}, {"from", from}});
    return;
  }
  bool is_newer = routes_.Update(*config);
  ++config_documents_[{from, is_newer}];
  if (!is_newer) {
    LogEvent(log_level::kInfo, "configuration_not_newer",
             {{"version", config->version.value()},
              {"bytes", document.size()},
              {"from", from}});
    return;
  }
  OnRoutesChanged(from);
  routing_sync_.OnOwnVersion();
  // Peers that don't read the store learn of the version from this status.
  SendOwnStatus();
}

void run_cluster::OnRoutesChanged(const std::string& from) {
  LogEvent(log_level::kInfo, "configuration_in_force",
           {{"version", routes_.version().value()},
            {"routes", routes_.size()},
            {"from", from},
            {"behind_ms", WholeMilliseconds(config_behind())}});
  // The new configuration may name other services than the last one.
  if (home_->serving() && !listed_upstreams_.empty())
    UseListedUpstreams();
  if (routes_handler_)
    routes_handler_();
}

void run_cluster::ReviewReaderChoice() {
  reader_choice_.Review(!routes_.known() ||
                        routing_sync_.stalled() > kMaxRoutingStall);
}

// Forwards each change to all peers, and OnPeerUp sends the latest list over
// each new link. So the list reaches every instance that is connected to one
// that has it, also one that restarts while the store is unavailable.
void run_cluster::OnDrainedDomains(const drained_domains& drained) {
  if (!domain_drains_.UpdateIfNewer(drained))
    return;
  for (const failure_domain_id& domain : drained.domains)
    LogEvent(
        log_level::kWarning, "failure_domain_drained",
        {{"failure_domain", domain.str()}, {"as_of", drained.as_of.value()}});
  if (drained.domains.empty())
    LogEvent(log_level::kInfo, "no_failure_domain_drained",
             {{"as_of", drained.as_of.value()}});
  homes_.SetDrained(drained.domains);
  home_->SetDomainState(domain_drains_.StateOf(self_.domain));
  owner_->OnHomesChanged();
  SendToAll(domain_drains_.newest());
}

void run_cluster::OnPeerDrainedDomains(const instance_id& from,
                                       const drained_domains& drained) {
  OnDrainedDomains(drained);
  const drained_domains& newest = domain_drains_.newest();
  bool peer_is_behind =
      drained.as_of < newest.as_of && drained.domains != newest.domains;
  if (peer_is_behind)
    Send(from, newest);
}

// An instance is also ready if all failure domains are drained: it accepts
// requests in order to refuse the jobs at once with the reason.
bool run_cluster::ready() const {
  bool any_home = homes_.AllDrained() || !homes_.Ranked(self_.domain).empty();
  return !leaving_ && routes_.known() && any_home;
}

void run_cluster::Leave() {
  leaving_ = true;
  SendOwnStatus();
  election_->Leave();
  members_->Unregister();
}

void run_cluster::OnPeerUp(const peer_identity& peer) {
  ForgetStatusesOf(peer.instance);
  election_->OnPeerUp(peer);
  home_->OnPeerUp(peer.instance, peer.incarnation);
  // Sent before anything that lets the peer become home, as it must not start
  // tasks in a drained failure domain.
  if (domain_drains_.known())
    Send(peer.instance, domain_drains_.newest());
  crash_news crashes = home_->CrashSuspects();
  if (!crashes.empty())
    Send(peer.instance, crashes);
  Send(peer.instance, OwnStatusFor(peer.instance));
  if (home_->serving()) {
    Send(peer.instance, OwnHomeStatus());
    if (peer.failure_domain == self_.domain) {
      SendGroupKnowledge(peer.instance);
      Send(peer.instance, home_->speeds().All());
    }
  }
  owner_->OnPeerUp(peer.instance);
}

void run_cluster::OnPeerDown(const instance_id& peer) {
  shared_.erase(peer);
  ForgetStatusesOf(peer);
  election_->OnPeerDown(peer);
  home_->OnPeerDown(peer);
  delegator_->OnPeerDown(peer);
  owner_->OnPeerDown(peer);
  homes_.OnPeerDown(peer);
  routing_sync_.OnPeerDown(peer);
  reader_choice_.OnPeerDown(peer);
  ReviewReaderChoice();
}

void run_cluster::OnPeerRefused(const instance_id& peer) {
  election_->OnPeerRefused(peer);
}

void run_cluster::OnPeerMessage(const instance_id& peer,
                                const peer_message& message) {
  Dispatch(peer, message);
}

bool run_cluster::Send(const instance_id& to, const peer_message& message) {
  if (to != self_.instance)
    return peers_.Send(to, message);
  // Deferred as over a link, as neither side expects a reply within its call.
  clock_.CallAfter(duration::zero(),
                   [this, message] { Dispatch(self_.instance, message); });
  return true;
}

void run_cluster::SendToAll(const peer_message& message) {
  for (const instance_id& peer : peers_.peers_up())
    peers_.Send(peer, message);
}

void run_cluster::SendToOwnDomain(const peer_message& message) {
  for (const instance_id& peer : peers_.peers_up()) {
    if (IsOfOwnDomain(peer))
      peers_.Send(peer, message);
  }
}

void run_cluster::Dispatch(const instance_id& from,
                           const peer_message& message) {
  std::visit(
      overloaded{
          [&](const run_request& m) { home_->OnRequest(from, m); },
          [&](const run_cancel& m) { home_->OnCancel(from, m); },
          [&](const run_report& m) { owner_->OnReport(from, m); },
          [&](const delegated_start& m) { starter_->OnStart(from, m); },
          [&](const delegated_start_result& m) {
            delegator_->OnResult(from, m);
          },
          [&](const home_status& m) { OnHomeStatus(from, m); },
          [&](const upstream_news& m) { OnUpstreamNews(from, m); },
          [&](const drained_domains& m) { OnPeerDrainedDomains(from, m); },
          [&](const crash_news& m) { home_->AddCrashNews(m); },
          [&](const speed_news& m) { OnSpeedNews(from, m); },
          [&](const peer_status& m) { OnPeerStatus(from, m); },
          [&](const document_request& m) { OnDocumentRequest(from, m); },
          [&](const routing_piece& m) { routing_sync_.OnPiece(from, m); },
          [&](const peer_document& m) {
            OnConfigDocument(m.json, "older_peer");
          },
          // Messages of the slot strategies, which this instance does not use.
          [](const auto&) {},
      },
      message);
}

void run_cluster::OnPeerStatus(const instance_id& from,
                               const peer_status& status) {
  if (status.leaving)
    election_->OnPeerLeaving(from);
  reader_choice_.OnStatus(
      from, status.leaving ? store_reading::kNone : status.reading);
  routing_sync_.OnStatus(from, status.config);
  // An instance of a release that does not confirm lived a moment ago.
  home_->OnConfirmed(from, status.confirmed.value_or(clock_.boot_now()));
  election_->OnTokenKnown(status.higher_token.value_or(fencing_token()));
  election_->OnPeerCanBegin(from, status.group != group_knowledge::kNone);
  ShareGroupKnowledge(from, status.group);
}

std::string run_cluster::AddressOf(const upstream_id& id) const {
  auto found = upstreams_.find(id);
  return found == upstreams_.end() ? std::string() : found->second.address;
}

// Answers with changes, or with the whole document if the request comes from an
// older release, which sends no `have`.
void run_cluster::OnDocumentRequest(const instance_id& from,
                                    const document_request& request) {
  if (request.have) {
    routing_sync_.OnRequest(from, request);
    return;
  }
  if (!routes_.known())
    return;
  routing_update all = routes_.ChangesSince(config_version());
  Send(from,
       peer_document{document_kind::kConfiguration, routes_.version().value(),
                     config_codec_.write(all.to)});
}

void run_cluster::OnHomeStatus(const instance_id& from,
                               const home_status& status) {
  bool changed = homes_.Update(from, status);
  if (changed)
    OnHomesChanged();
  if (from == self_.instance || !status.serving)
    return;
  if (IsHome(from))
    home_contact_.OnStatus();
  auto [read, is_first] = read_statuses_.try_emplace(from);
  bool after_gap = clock_.now() - read->second.at > kStatusGap;
  read->second = {status.group, status.token, status.sent_at, clock_.now()};
  // The home starts no tasks of this instance's jobs before.
  if (is_first || changed || after_gap)
    OnceStatusesAreHandled([this, from] { Send(from, OwnStatusFor(from)); });
}

// Homes get the heartbeats of this instance in this way.
void run_cluster::ConfirmToHomes() {
  OnceStatusesAreHandled([this] {
    for (const auto& [peer, read] : read_statuses_)
      Send(peer, OwnStatusFor(peer));
  });
  confirmation_timer_.StartAfter(kConfirmationInterval,
                                 [this] { ConfirmToHomes(); });
}

// A home that is replaced is not confirmed any more, so that it does not keep
// the runs of jobs that moved to its successor.
void run_cluster::OnceStatusesAreHandled(const std::function<void()>& then) {
  std::weak_ptr<bool> alive = alive_;
  clock_.CallAfter(kHandlingTime, [this, alive, then, read = read_statuses_] {
    if (alive.expired())
      return;
    for (const auto& [peer, status] : read) {
      const known_home* home = homes_.Find(status.group);
      bool is_current = home && home->instance == peer;
      if (is_current && read_statuses_.contains(peer))
        handled_statuses_[peer] = status.sent_at;
    }
    then();
  });
}

void run_cluster::ForgetStatusesOf(const instance_id& peer) {
  read_statuses_.erase(peer);
  handled_statuses_.erase(peer);
}

void run_cluster::SendOwnStatus() {
  for (const instance_id& peer : peers_.peers_up())
    peers_.Send(peer, OwnStatusFor(peer));
}

peer_status run_cluster::OwnStatusFor(const instance_id& peer) const {
  peer_status status = OwnStatus();
  auto handled = handled_statuses_.find(peer);
  status.confirmed =
      handled == handled_statuses_.end() ? time_point() : handled->second;
  auto read = read_statuses_.find(peer);
  if (read == read_statuses_.end())
    return status;
  // A home that was replaced may reach none of the upstreams that know it.
  fencing_token highest = homes_.HighestToken(read->second.group);
  if (highest > read->second.token)
    status.higher_token = highest;
  return status;
}

home_status run_cluster::OwnHomeStatus() const {
  home_status status = home_->Status();
  status.yielding = election_->yielding();
  status.sent_at = clock_.boot_now();
  return status;
}

void run_cluster::OnHomesChanged() {
  election_->OnHomesChanged();
  owner_->OnHomesChanged();
}

peer_status run_cluster::OwnStatus() const {
  peer_status status;
  status.config = routes_.version();
  status.leaving = leaving_;
  status.reading = OwnReading();
  status.group = OwnGroupKnowledge();
  return status;
}

// An instance that stood still reads late what happened meanwhile. Its log has
// no other trace of that.
void run_cluster::LogStall() {
  duration late = clock_.boot_now() - heartbeat_due_;
  if (late < kNotableStall)
    return;
  LogEvent(log_level::kWarning, "stood_still",
           {{"ms", ToMilliseconds(late)}, {"home", home_->serving() ? 1 : 0}});
}

void run_cluster::Heartbeat() {
  LogStall();
  ReviewReaderChoice();
  // Also while the store's list does not change.
  if (home_->serving() && listed_since_ && !missing_since_.empty())
    UseListedUpstreams();
  for (const instance_id& peer : peers_.peers_up()) {
    if (!read_statuses_.contains(peer))
      peers_.Send(peer, OwnStatusFor(peer));
  }
  SendSpeeds();
  if (addresses_.ForgetLeft())
    peers_.SetWanted(addresses_.Wanted());
  duration interval_by_peers =
      kHeartbeatPerPeer * static_cast<int64_t>(peers_.peers_up().size());
  duration interval =
      std::clamp(interval_by_peers, kHeartbeatInterval, kMaxHeartbeatInterval);
  heartbeat_due_ = clock_.boot_now() + interval;
  heartbeat_timer_.StartAfter(interval, [this] { Heartbeat(); });
}

void run_cluster::SendHomeStatus() {
  home_status status = OwnHomeStatus();
  SendToAll(status);
  OnHomeStatus(self_.instance, status);
  // What had reached this instance by the last status has been handled.
  if (home_->serving())
    home_->OnOwnConfirmed(home_status_sent_at_);
  home_status_sent_at_ = status.sent_at;
  if (home_->serving())
    home_status_timer_.StartAfter(kHomeStatusInterval,
                                  [this] { SendHomeStatus(); });
  else
    home_status_timer_.Stop();
}

}  // namespace jasminedyke
