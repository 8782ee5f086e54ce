#include "protocol/frame_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <set>
#include <utility>

#include <peer_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "protocol/routing_codec.h"
#include "protocol/run_codec.h"

namespace jasminedyke {

namespace {

// The overloads for single messages below would hide it.
using jasminedyke::FromWire;

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::protocol::TList;
using apache::thrift::protocol::TMap;
using apache::thrift::protocol::TProtocolException;
using apache::thrift::protocol::TSet;
using apache::thrift::transport::TMemoryBuffer;

// Enough for the largest job body that callers may send.
constexpr int32_t kMaxString = 32 * 1024 * 1024;
constexpr int32_t kMaxElements = 100'000;
// In all containers of a frame: a job's tasks, the groups that they are in, and
// as much again.
constexpr uint32_t kMaxElementsInAll = 300'000;

using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

// Generated code makes all elements that a container claims before it reads the
// first one. Thrift takes a claim on trust, since an empty structure may have
// no bytes in other protocols; in this one each element has a byte.
class frame_reader : public compact_protocol {
 public:
  frame_reader(const std::shared_ptr<TMemoryBuffer>& frame, int32_t max_string)
      : compact_protocol(frame, max_string, kMaxElements) {}

 private:
  void checkReadBytesAvailable(TList& list) override { Claim(list.size_); }
  void checkReadBytesAvailable(TSet& set) override { Claim(set.size_); }
  void checkReadBytesAvailable(TMap& map) override { Claim(map.size_); }

  void Claim(uint32_t elements) {
    if (elements > trans_->available_read())
      throw TProtocolException(TProtocolException::SIZE_LIMIT,
                               "a container is larger than the frame");
    elements_ += elements;
    if (elements_ > kMaxElementsInAll)
      throw TProtocolException(TProtocolException::SIZE_LIMIT,
                               "too many elements");
  }

  uint32_t elements_ = 0;
};

template <class From, class Convert>
auto ConvertAll(const std::vector<From>& from, Convert convert) {
  std::vector<decltype(convert(from.front()))> to;
  to.reserve(from.size());
  for (const From& each : from)
    to.push_back(convert(each));
  return to;
}

int32_t RankToMs(double rank) {
  constexpr double kLimit = std::numeric_limits<int32_t>::max();
  return static_cast<int32_t>(std::clamp(rank * 1000, -kLimit, kLimit));
}

// What most releases say and therefore leave out: answered, about in time.
bool IsUsual(const released_slot& slot) {
  return slot.result != slot_result::kAnswered ||
         std::abs(slot.slowness - 1) < 0.25;
}

int8_t SlownessToTenths(double slowness) {
  constexpr double kLimit = std::numeric_limits<int8_t>::max();
  return static_cast<int8_t>(std::clamp(slowness * 10, 0.0, kLimit));
}

// Messages to the wire.

wire::slot_demand ToWire(const slot_demand& demand, const wire_names& names) {
  wire::slot_demand wire;
  wire.sequence = static_cast<int64_t>(demand.sequence);
  wire.last_grant_sequence = static_cast<int64_t>(demand.last_grant_sequence);
  if (!demand.waiting.empty()) {
    wire.__set_waiting(ConvertAll(demand.waiting, [&](const demand_entry& e) {
      wire::demand_entry entry;
      entry.team = names.ToWire(e.team.str());
      entry.rank_ms = RankToMs(e.rank);
      entry.tasks = e.tasks;
      if (e.memory_mb > 0)
        entry.__set_memory_mb(e.memory_mb);
      return entry;
    }));
  }
  auto to_count = [&](const auto& each, const std::string& name) {
    wire::count count;
    count.id = names.ToWire(name);
    count.number = each.count;
    return count;
  };
  if (!demand.running.empty()) {
    wire.__set_running(ConvertAll(demand.running, [&](const team_count& c) {
      return to_count(c, c.team.str());
    }));
  }
  if (!demand.full_report)
    return wire;
  wire.__set_full_report(true);
  wire.__set_held(ConvertAll(demand.held, [&](const upstream_count& c) {
    return to_count(c, c.upstream.str());
  }));
  wire.__set_quarantined(ConvertAll(
      demand.quarantined,
      [&](const upstream_id& id) { return names.ToWire(id.str()); }));
  return wire;
}

wire::slot_grant ToWire(const slot_grant& grant, const wire_names& names) {
  wire::slot_grant wire;
  wire.sequence = static_cast<int64_t>(grant.sequence);
  wire.demand_sequence = static_cast<int64_t>(grant.demand_sequence);
  std::set<team_id> teams;
  for (const granted_slot& slot : grant.slots)
    teams.insert(slot.team);
  for (size_t i = 0; i < grant.slots.size(); ++i) {
    const granted_slot& slot = grant.slots[i];
    wire.upstreams.push_back(names.ToWire(slot.upstream.str()));
    if (i == 0 || teams.size() > 1)
      wire.teams.push_back(names.ToWire(slot.team.str()));
    if (slot.trial)
      wire.trials.push_back(static_cast<int32_t>(i));
  }
  wire.__isset.upstreams = !wire.upstreams.empty();
  wire.__isset.teams = !wire.teams.empty();
  wire.__isset.trials = !wire.trials.empty();
  if (grant.work) {
    wire.__set_domain_waiting(grant.work->waiting);
    wire.__set_domain_running(grant.work->running);
  }
  return wire;
}

wire::slot_release ToWire(const slot_release& release,
                          const wire_names& names) {
  wire::slot_release wire;
  wire.slots = ConvertAll(release.slots, [&](const released_slot& s) {
    wire::released_slot slot;
    slot.upstream = names.ToWire(s.upstream.str());
    if (s.result != slot_result::kAnswered)
      slot.__set_result(static_cast<int8_t>(s.result));
    if (!IsUsual(s))
      slot.__set_slowness(SlownessToTenths(s.slowness));
    return slot;
  });
  return wire;
}

wire::status ToWire(const peer_status& status) {
  wire::status wire;
  wire.config_version = static_cast<int64_t>(status.config.value());
  wire.membership_version = static_cast<int64_t>(status.membership.value());
  if (status.leaving)
    wire.__set_leaving(true);
  if (!status.in_force.empty()) {
    wire.__set_in_force(
        ConvertAll(status.in_force, [](const instance_version& v) {
          wire::instance_version version;
          version.instance = v.instance.str();
          version.config_version = static_cast<int64_t>(v.version.value());
          return version;
        }));
  }
  if (!status.rooms.empty()) {
    wire.__set_rooms(ConvertAll(status.rooms, [](const domain_room& r) {
      wire::domain_room room;
      room.failure_domain = r.domain.str();
      room.free_slots = r.free_slots;
      return room;
    }));
  }
  if (status.reading != store_reading::kNone)
    wire.__set_reading(static_cast<int8_t>(status.reading));
  if (status.group != group_knowledge::kNone)
    wire.__set_group(static_cast<int8_t>(status.group));
  if (status.confirmed)
    wire.__set_confirmed_us(status.confirmed->time_since_epoch().count());
  if (status.higher_token)
    wire.__set_higher_token(static_cast<int64_t>(status.higher_token->value()));
  return wire;
}

wire::document_kind::type ToWire(document_kind kind) {
  return kind == document_kind::kConfiguration
             ? wire::document_kind::CONFIGURATION
             : wire::document_kind::MEMBERSHIP;
}

// Sets the frame's one field, by the type of the message.
struct frame_writer {
  wire::frame& frame;
  const wire_names& names;

  void operator()(const peer_hello& hello) const {
    wire::hello wire;
    wire.version = hello.version;
    wire.instance = hello.identity.instance.str();
    wire.incarnation = hello.identity.incarnation.str();
    wire.failure_domain = hello.identity.failure_domain.str();
    wire.nonce = hello.nonce;
    frame.__set_hello_message(wire);
  }
  void operator()(const peer_proof& proof) const {
    wire::proof wire;
    wire.mac = proof.mac;
    frame.__set_proof_message(wire);
  }
  void operator()(const peer_message& message) const {
    std::visit(*this, message);
  }
  void operator()(const slot_demand& demand) const {
    frame.__set_demand(ToWire(demand, names));
  }
  void operator()(const slot_grant& grant) const {
    frame.__set_grant(ToWire(grant, names));
  }
  void operator()(const slot_release& release) const {
    frame.__set_release(ToWire(release, names));
  }
  void operator()(const peer_status& status) const {
    frame.__set_status_message(ToWire(status));
  }
  void operator()(const document_request& request) const {
    wire::document_request wire;
    wire.kind = ToWire(request.kind);
    if (request.have)
      wire.__set_have(static_cast<int64_t>(request.have->value()));
    if (request.piece > 0)
      wire.__set_piece(static_cast<int32_t>(request.piece));
    frame.__set_wanted(wire);
  }
  void operator()(const peer_document& document) const {
    wire::document wire;
    wire.kind = ToWire(document.kind);
    wire.version = static_cast<int64_t>(document.version);
    wire.json = document.json;
    frame.__set_document_message(wire);
  }
  void operator()(const remote_job_request& request) const {
    wire::job_request wire;
    wire.number = static_cast<int64_t>(request.number);
    wire.operation = static_cast<int8_t>(request.operation);
    wire.job = request.job;
    wire.team = request.team.str();
    if (!request.body.empty())
      wire.__set_body(request.body);
    frame.__set_request(wire);
  }
  void operator()(const remote_job_reply& reply) const {
    wire::job_reply wire;
    wire.number = static_cast<int64_t>(reply.number);
    wire.status = reply.status;
    wire.headers = ConvertAll(reply.headers, [](const auto& pair) {
      wire::header header;
      header.name = pair.first;
      header.value = pair.second;
      return header;
    });
    wire.body = reply.body;
    frame.__set_reply(wire);
  }
  void operator()(const run_request& request) const {
    frame.__set_run(ToWire(request));
  }
  void operator()(const run_cancel& cancel) const {
    frame.__set_cancel(ToWire(cancel));
  }
  void operator()(const run_report& report) const {
    frame.__set_report(ToWire(report));
  }
  void operator()(const home_status& status) const {
    frame.__set_home(ToWire(status));
  }
  void operator()(const upstream_news& news) const {
    frame.__set_upstreams(ToWire(news));
  }
  void operator()(const delegated_start& delegated) const {
    frame.__set_delegated(ToWire(delegated));
  }
  void operator()(const delegated_start_result& result) const {
    frame.__set_delegated_result(ToWire(result));
  }
  void operator()(const drained_domains& drained) const {
    frame.__set_drained(ToWire(drained));
  }
  void operator()(const crash_news& news) const {
    frame.__set_crashes(ToWire(news));
  }
  void operator()(const speed_news& news) const {
    frame.__set_speeds(ToWire(news));
  }
  void operator()(const routing_piece& piece) const {
    frame.__set_routing(ToWire(piece));
  }
};

// Messages from the wire.

slot_demand FromWire(const wire::slot_demand& wire, const wire_names& names) {
  slot_demand demand;
  demand.sequence = static_cast<uint64_t>(wire.sequence);
  demand.last_grant_sequence = static_cast<uint64_t>(wire.last_grant_sequence);
  for (const wire::demand_entry& entry : wire.waiting) {
    team_id team(names.FromWire(entry.team));
    if (!team.empty() && entry.tasks > 0)
      demand.waiting.push_back(
          {team, entry.rank_ms / 1000.0, entry.tasks, entry.memory_mb});
  }
  for (const wire::count& count : wire.running) {
    team_id team(names.FromWire(count.id));
    if (!team.empty() && count.number > 0)
      demand.running.push_back({team, count.number});
  }
  demand.full_report = wire.full_report;
  for (const wire::count& count : wire.held) {
    upstream_id upstream(names.FromWire(count.id));
    if (!upstream.empty() && count.number > 0)
      demand.held.push_back({upstream, count.number});
  }
  for (int32_t id : wire.quarantined) {
    upstream_id upstream(names.FromWire(id));
    if (!upstream.empty())
      demand.quarantined.push_back(upstream);
  }
  return demand;
}

slot_grant FromWire(const wire::slot_grant& wire, const wire_names& names) {
  slot_grant grant;
  grant.sequence = static_cast<uint64_t>(wire.sequence);
  grant.demand_sequence = static_cast<uint64_t>(wire.demand_sequence);
  if (wire.__isset.domain_waiting && wire.__isset.domain_running)
    grant.work = domain_work{wire.domain_waiting, wire.domain_running};
  for (size_t i = 0; i < wire.upstreams.size(); ++i) {
    // One team stands for all.
    size_t team_at = wire.teams.size() == 1 ? 0 : i;
    if (team_at >= wire.teams.size())
      break;
    upstream_id upstream(names.FromWire(wire.upstreams[i]));
    team_id team(names.FromWire(wire.teams[team_at]));
    bool trial = std::ranges::find(wire.trials, static_cast<int32_t>(i)) !=
                 wire.trials.end();
    if (!upstream.empty() && !team.empty())
      grant.slots.push_back({upstream, team, trial});
  }
  return grant;
}

slot_release FromWire(const wire::slot_release& wire, const wire_names& names) {
  slot_release release;
  for (const wire::released_slot& slot : wire.slots) {
    upstream_id upstream(names.FromWire(slot.upstream));
    released_slot released{upstream, slot_result::kAnswered, 0};
    if (slot.__isset.result)
      released.result = static_cast<slot_result>(slot.result);
    else
      released.slowness = slot.__isset.slowness ? slot.slowness / 10.0 : 1;
    bool known_result =
        slot.result >= 0 &&
        slot.result <= static_cast<int8_t>(slot_result::kStopped);
    if (!upstream.empty() && known_result)
      release.slots.push_back(released);
  }
  return release;
}

peer_status FromWire(const wire::status& wire) {
  peer_status status;
  status.config = config_version(static_cast<uint64_t>(wire.config_version));
  status.membership =
      membership_version(static_cast<uint64_t>(wire.membership_version));
  status.leaving = wire.leaving;
  for (const wire::instance_version& version : wire.in_force) {
    status.in_force.push_back(
        {instance_id(version.instance),
         config_version(static_cast<uint64_t>(version.config_version))});
  }
  for (const wire::domain_room& room : wire.rooms) {
    if (room.free_slots > 0)
      status.rooms.push_back(
          {failure_domain_id(room.failure_domain), room.free_slots});
  }
  bool known_reading =
      wire.reading >= 0 &&
      wire.reading <= static_cast<int8_t>(store_reading::kFollowing);
  if (known_reading)
    status.reading = static_cast<store_reading>(wire.reading);
  bool known_group = wire.group >= 0 &&
                     wire.group <= static_cast<int8_t>(group_knowledge::kWhole);
  if (known_group)
    status.group = static_cast<group_knowledge>(wire.group);
  if (wire.__isset.confirmed_us)
    status.confirmed = time_point(duration(wire.confirmed_us));
  if (wire.__isset.higher_token)
    status.higher_token =
        fencing_token(static_cast<uint64_t>(wire.higher_token));
  return status;
}

document_kind FromWire(wire::document_kind::type kind) {
  return kind == wire::document_kind::CONFIGURATION
             ? document_kind::kConfiguration
             : document_kind::kMembership;
}

document_request FromWire(const wire::document_request& wire) {
  document_request request;
  request.kind = FromWire(wire.kind);
  if (wire.__isset.have)
    request.have = config_version(static_cast<uint64_t>(wire.have));
  request.piece = static_cast<uint32_t>(wire.piece);
  return request;
}

peer_hello FromWire(const wire::hello& wire) {
  return {wire.version,
          {instance_id(wire.instance), incarnation_id(wire.incarnation),
           failure_domain_id(wire.failure_domain)},
          wire.nonce};
}

remote_job_request FromWire(const wire::job_request& wire) {
  return {static_cast<uint64_t>(wire.number), wire.operation, wire.job,
          team_id(wire.team), wire.body};
}

remote_job_reply FromWire(const wire::job_reply& wire) {
  remote_job_reply reply{
      static_cast<uint64_t>(wire.number), wire.status, {}, wire.body};
  for (const wire::header& header : wire.headers)
    reply.headers.emplace_back(header.name, header.value);
  return reply;
}

outcome<peer_frame> FromWire(const wire::frame& wire, const wire_names& names) {
  const auto& set = wire.__isset;
  if (set.hello_message)
    return peer_frame(FromWire(wire.hello_message));
  if (set.proof_message)
    return peer_frame(peer_proof{wire.proof_message.mac});
  if (set.demand)
    return peer_frame(peer_message(FromWire(wire.demand, names)));
  if (set.grant)
    return peer_frame(peer_message(FromWire(wire.grant, names)));
  if (set.release)
    return peer_frame(peer_message(FromWire(wire.release, names)));
  if (set.status_message)
    return peer_frame(peer_message(FromWire(wire.status_message)));
  if (set.wanted)
    return peer_frame(peer_message(FromWire(wire.wanted)));
  if (set.document_message) {
    const wire::document& document = wire.document_message;
    return peer_frame(peer_message(
        peer_document{FromWire(document.kind),
                      static_cast<uint64_t>(document.version), document.json}));
  }
  if (set.request)
    return peer_frame(peer_message(FromWire(wire.request)));
  if (set.reply)
    return peer_frame(peer_message(FromWire(wire.reply)));
  if (set.run)
    return peer_frame(peer_message(FromWire(wire.run)));
  if (set.cancel)
    return peer_frame(peer_message(FromWire(wire.cancel)));
  if (set.report)
    return peer_frame(peer_message(FromWire(wire.report)));
  if (set.home)
    return peer_frame(peer_message(FromWire(wire.home)));
  if (set.upstreams)
    return peer_frame(peer_message(FromWire(wire.upstreams)));
  if (set.delegated)
    return peer_frame(peer_message(FromWire(wire.delegated)));
  if (set.delegated_result)
    return peer_frame(peer_message(FromWire(wire.delegated_result)));
  if (set.drained)
    return peer_frame(peer_message(FromWire(wire.drained)));
  if (set.crashes)
    return peer_frame(peer_message(FromWire(wire.crashes)));
  if (set.speeds)
    return peer_frame(peer_message(FromWire(wire.speeds)));
  if (set.routing)
    return peer_frame(peer_message(FromWire(wire.routing)));
  return problem{"frame", "has no message that is known here"};
}

}  // namespace

std::string EncodeFrame(const peer_frame& frame, const wire_names& names) {
  wire::frame wire;
  std::visit(frame_writer{wire, names}, frame);
  auto buffer = std::make_shared<TMemoryBuffer>();
  compact_protocol protocol(buffer);
  wire.write(&protocol);
  return buffer->getBufferAsString();
}

outcome<peer_frame> DecodeFrame(std::string_view bytes,
                                const wire_names& names) {
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<uint32_t>(bytes.size()));
    // 0 would be no limit.
    auto max_string =
        static_cast<int32_t>(std::clamp<size_t>(bytes.size(), 1, kMaxString));
    frame_reader protocol(buffer, max_string);
    wire::frame wire;
    wire.read(&protocol);
    return FromWire(wire, names);
  } catch (const TException& error) {
    return problem{"frame", error.what()};
  }
}

}  // namespace jasminedyke
