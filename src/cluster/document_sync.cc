#include "cluster/document_sync.h"

#include <utility>

#include "store/store.h"

namespace jasminedyke {

namespace {

constexpr duration kHeartbeat = std::chrono::seconds(1);
// One answer is awaited for so long, while the link stands, before another peer
// is asked. A large document takes a thin link seconds; asked for again
// meanwhile, it would come several times, each copy behind the other.
constexpr duration kAskAgainAfter = std::chrono::seconds(5);

}  // namespace

document_sync::document_sync(scheduler& clock,
                             peer_port& peers,
                             configuration_store& config,
                             membership_poller& membership,
                             const peer_identity& self)
    : clock_(clock),
      peers_(peers),
      config_(config),
      membership_(membership),
      self_(self),
      heartbeat_timer_(clock) {}

void document_sync::Start() {
  heartbeat_timer_.StartAfter(kHeartbeat, [this] { Heartbeat(); });
}

void document_sync::OnVersionsChanged() {
  NoteInForce(self_.instance, config_.version());
  SendStatusToAll();
}

void document_sync::OnPeerUp(const instance_id& peer) {
  // It may be a new incarnation, which knows nothing.
  sent_news_.erase(peer);
  leaving_.erase(peer);
  SendStatus(peer);
}

void document_sync::OnPeerDown(const instance_id& peer) {
  sent_news_.erase(peer);
  std::erase_if(asked_,
                [&](const auto& entry) { return entry.second.peer == peer; });
}

void document_sync::OnStatus(const instance_id& peer,
                             const peer_status& status) {
  NoteInForce(peer, status.config);
  for (const instance_version& news : status.in_force)
    NoteInForce(news.instance, news.version);
  TakeRooms(peer, status);
  if (status.leaving)
    leaving_.insert(peer);
  if (status.config > config_.version())
    AskFor(peer, document_kind::kConfiguration);
  if (status.membership > membership_.view().version())
    AskFor(peer, document_kind::kMembership);
}

void document_sync::OnRequest(const instance_id& peer,
                              const document_request& request) {
  peer_document document;
  document.kind = request.kind;
  if (request.kind == document_kind::kConfiguration) {
    document.version = config_.version().value();
    document.json = config_.document().dump();
  } else {
    document.version = membership_.view().version().value();
    document.json = WriteMembership(membership_.view().list());
  }
  if (document.version > 0)
    peers_.Send(peer, document);
}

void document_sync::OnDocument(const peer_document& document) {
  asked_.erase(document.kind);
  if (document.kind == document_kind::kMembership) {
    auto list = ParseMembership(document.json);
    if (list.ok())
      membership_.Offer(list.value());
    return;
  }
  auto json = ParseJson(document.json);
  if (!json.is_discarded())
    config_.Offer(config_version(document.version), json);
}

void document_sync::AnnounceLeaving() {
  announcing_leave_ = true;
  SendStatusToAll();
}

in_force_count document_sync::CountInForce(config_version version) const {
  in_force_count count;
  bool self_listed = false;
  for (const instance_info& info : membership_.view().entries()) {
    self_listed = self_listed || info.id == self_.instance;
    if (info.state != instance_state::kLive)
      continue;
    ++count.live;
    auto found = in_force_.find(info.id);
    count.in_force +=
        found != in_force_.end() && found->second.version >= version;
  }
  // The list lags: a new instance is not on it yet.
  if (!self_listed) {
    ++count.live;
    count.in_force += config_.version() >= version;
  }
  return count;
}

void document_sync::Heartbeat() {
  SendStatusToAll();
  rooms_.clear();
  Start();
}

void document_sync::SetRoomSource(std::function<int()> own_free_slots) {
  own_free_slots_ = std::move(own_free_slots);
}

void document_sync::OnRoom(std::function<void(const domain_room&)> handler) {
  on_room_ = std::move(handler);
}

std::vector<domain_room> document_sync::RoomsFor(
    const instance_id& peer) const {
  std::vector<domain_room> rooms;
  auto identity = peers_.Identity(peer);
  if (!identity)
    return rooms;
  if (identity->failure_domain != self_.failure_domain) {
    int free_slots = own_free_slots_ ? own_free_slots_() : 0;
    if (free_slots > 0)
      rooms.push_back({self_.failure_domain, free_slots});
    return rooms;
  }
  for (const auto& [domain, free_slots] : rooms_)
    rooms.push_back({domain, free_slots});
  return rooms;
}

void document_sync::TakeRooms(const instance_id& peer,
                              const peer_status& status) {
  auto identity = peers_.Identity(peer);
  for (const domain_room& room : status.rooms) {
    if (room.domain == self_.failure_domain)
      continue;
    // First hand, so worth passing on.
    if (identity && identity->failure_domain == room.domain)
      rooms_[room.domain] = room.free_slots;
    if (on_room_)
      on_room_(room);
  }
}

void document_sync::SendStatus(const instance_id& peer) {
  peer_status status;
  status.config = config_.version();
  status.membership = membership_.view().version();
  status.leaving = announcing_leave_;
  uint64_t& sent = sent_news_[peer];
  for (const auto& [instance, known] : in_force_) {
    bool is_news = known.news > sent;
    if (is_news && instance != peer && instance != self_.instance)
      status.in_force.push_back({instance, known.version});
  }
  sent = last_news_;
  status.rooms = RoomsFor(peer);
  peers_.Send(peer, status);
}

void document_sync::SendStatusToAll() {
  for (const instance_id& peer : peers_.peers_up())
    SendStatus(peer);
}

void document_sync::NoteInForce(const instance_id& instance,
                                config_version version) {
  known_version& known = in_force_[instance];
  if (version <= known.version)
    return;
  known.version = version;
  known.news = ++last_news_;
}

void document_sync::AskFor(const instance_id& peer, document_kind kind) {
  auto asked = asked_.find(kind);
  bool is_awaited =
      asked != asked_.end() && clock_.now() - asked->second.at < kAskAgainAfter;
  if (is_awaited)
    return;
  asked_[kind] = {peer, clock_.now()};
  peers_.Send(peer, document_request{kind});
}

}  // namespace jasminedyke
