#include "daemon/instance.h"

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "daemon/process_limits.h"

namespace jasminedyke {

namespace {

constexpr duration kPollInterval = std::chrono::seconds(1);
constexpr duration kUsageInterval = std::chrono::seconds(4);
// A new instance waits for so long for links to the peers on its list.
constexpr duration kSettleTime = std::chrono::milliseconds(1500);
constexpr duration kIdleCheck = std::chrono::milliseconds(20);
// At the end of a stop the store gets so long to take the last usage.
constexpr duration kLastFlushTime = std::chrono::seconds(10);
// Callers who were just refused get to read it.
constexpr duration kLinger = std::chrono::milliseconds(200);
constexpr size_t kIncarnationBytes = 8;

constexpr char kCallersUse[] = "callers";
constexpr char kOperatorsUse[] = "operators";
constexpr char kPeersUse[] = "peers";

}  // namespace

std::vector<listen_address> instance::Addresses(
    const daemon_settings& settings) {
  // Operators' has /readyz, without which the balancer sends nobody here.
  return {{kCallersUse, settings.callers},
          {kOperatorsUse, settings.operators},
          {kPeersUse, settings.peers}};
}

instance::instance(event_loop& loop,
                   const daemon_settings& settings,
                   open_sockets sockets)
    : loop_(loop),
      settings_(settings),
      self_{settings.instance, incarnation_id(RandomHex(kIncarnationBytes)),
            settings.failure_domain},
      started_(loop.now()),
      platform_(loop, settings.platform),
      config_(loop, platform_),
      membership_(loop, platform_),
      usage_(loop, platform_, self_.incarnation),
      upstreams_(settings.failure_domain),
      links_(loop, upstreams_),
      jobs_(loop, links_, usage_, upstreams_, DefaultOrderRule(), queue_caps()),
      mint_(loop, settings.instance, self_.incarnation),
      registry_(loop, jobs_, mint_),
      mesh_(loop,
            {self_, settings.peer_key},
            std::move(sockets.at(kPeersUse)),
            names_),
      home_side_(loop,
                 settings.instance,
                 settings.failure_domain,
                 DefaultOrderRule(),
                 [this](const instance_id& to, const slot_grant& grant) {
                   router_.SendSlotMessage(to, grant);
                 }),
      slots_(new granted_slots(loop,
                               upstreams_,
                               jobs_,
                               DefaultOrderRule(),
                               std::random_device()())),
      homes_(loop, self_, mesh_, *slots_, home_side_),
      documents_(loop, mesh_, config_, membership_, self_),
      remote_(loop,
              settings.instance,
              mesh_,
              membership_.view(),
              [this](const forwarded_job& request,
                     std::function<void(const http_reply&)> done) {
                callers_.HandleForwarded(request, std::move(done));
              }),
      callers_(config_, tokens_, jobs_, registry_, mint_, remote_, usage_),
      router_(loop,
              mesh_,
              self_,
              *slots_,
              home_side_,
              homes_,
              documents_,
              remote_),
      view_{loop,   self_,      config_,  membership_, upstreams_,
            jobs_,  registry_,  callers_, *slots_,     home_side_,
            homes_, documents_, remote_,  mesh_,       usage_},
      admin_(loop,
             view_,
             config_,
             usage_,
             tokens_,
             [this] { return NotReadyBecause(); }),
      callers_server_(
          loop,
          CallersLimits(OwnLimits(settings.memory_mb)),
          [this](const http_exchange_ptr& e) { callers_.Handle(e); }),
      operators_server_(
          loop,
          WatchersLimits(OwnLimits(settings.memory_mb)),
          [this](const http_exchange_ptr& e) { admin_.Handle(e); }),
      stop_timer_(loop) {
  jobs_.SetStrategy(
      std::unique_ptr<slot_strategy>(slots_),
      [this](const instance_id& peer, const slot_message& message) {
        router_.SendSlotMessage(peer, message);
      });
  jobs_.SetWorkElsewhere([this] {
    int running = static_cast<int>(jobs_.attempts_in_flight());
    return dispatcher::work_elsewhere{
        slots_->work_in_domain().waiting - jobs_.waiting_tasks(),
        slots_->work_in_domain().running - running};
  });
  config_.OnChange([this] { OnConfigurationChanged(); });
  membership_.OnChange([this] { OnMembershipChanged(); });
  mesh_.SetListener(&router_);
  process_limits process = OwnLimits(settings.memory_mb);
  mesh_.SetMostUnproven(MostUnprovenPeers(process));
  mesh_.SetLimits(PeersLimits(process));
  documents_.SetRoomSource([this] { return slots_->free_slots_in_domain(); });
  documents_.OnRoom([this](const domain_room& r) { slots_->SetRoom(r); });
  documents_.Start();
  config_.StartPolling(kPollInterval);
  membership_.StartPolling(kPollInterval);
  usage_.StartFlushing(kUsageInterval);
  callers_address_ = sockets.at(kCallersUse).address();
  operators_address_ = sockets.at(kOperatorsUse).address();
  callers_server_.Serve(std::move(sockets.at(kCallersUse)));
  operators_server_.Serve(std::move(sockets.at(kOperatorsUse)));
  LogEvent(log_level::kInfo, "started",
           {{"instance", self_.instance.str()},
            {"incarnation", self_.incarnation.str()},
            {"failure_domain", self_.failure_domain.str()},
            {"callers", callers_address_.ToString()},
            {"operators", operators_address_.ToString()},
            {"peers", mesh_.address().ToString()}});
}

instance::~instance() = default;

void instance::Stop(std::function<void()> done) {
  if (stopping_) {
    LogEvent(log_level::kInfo, "already_stopping", {});
    return;
  }
  stopping_ = true;
  on_stopped_ = std::move(done);
  LogEvent(log_level::kInfo, "stopping", {{"jobs", jobs_.jobs()}});
  // The balancer needs a while to see that we are not ready; until then we
  // take what it sends.
  stop_timer_.StartAfter(settings_.ready_delay, [this] { StopAdmitting(); });
}

void instance::OnConfigurationChanged() {
  tokens_.Load(config_.settings());
  UpdateQuotas();
  documents_.OnVersionsChanged();
}

void instance::OnMembershipChanged() {
  const membership_view& view = membership_.view();
  upstreams_.SetMembership(view);
  UpdateQuotas();
  mesh_.SetWanted(ChoosePeers(view, self_));
  homes_.OnMembershipChanged(view);
  documents_.OnVersionsChanged();
}

void instance::UpdateQuotas() {
  const membership_view& view = membership_.view();
  std::vector<std::string> names;
  for (const instance_info& info : view.list().instances)
    names.push_back(info.id.str());
  for (const auto& [team, settings] : config_.settings().teams)
    names.push_back(team.str());
  names_.Load(names);
  team_quotas quotas;
  quotas.Set(config_.settings(), view.slots(settings_.failure_domain),
             view.slots());
  jobs_.SetQuotas(quotas);
  home_side_.SetQuotas(quotas);
}

readiness instance::NotReadyBecause() const {
  readiness reasons;
  if (stopping_)
    reasons.emplace_back("stopping");
  if (!config_.known())
    reasons.emplace_back("no configuration from the platform or a peer");
  if (!membership_.view().known())
    reasons.emplace_back("no instance list from the platform or a peer");
  if (!PeersSettled())
    reasons.emplace_back("links to peers are being made");
  return reasons;
}

bool instance::PeersSettled() const {
  if (loop_.now() - started_ >= kSettleTime)
    return true;
  for (const auto& [peer, address] : ChoosePeers(membership_.view(), self_)) {
    if (!mesh_.Identity(peer))
      return false;
  }
  return membership_.view().known();
}

void instance::StopAdmitting() {
  jobs_.StopAdmitting();
  callers_server_.CloseAfterReplies();
  documents_.AnnounceLeaving();
  homes_.Leave();
  WaitUntilIdle();
}

void instance::WaitUntilIdle() {
  if (!IsIdle()) {
    stop_timer_.StartAfter(kIdleCheck, [this] { WaitUntilIdle(); });
    return;
  }
  callers_server_.StopListening();
  FlushAndEnd();
}

bool instance::IsIdle() const {
  return jobs_.jobs() == 0 && jobs_.attempts_in_flight() == 0 &&
         callers_server_.open_exchanges() == 0 &&
         operators_server_.open_exchanges() == 0;
}

void instance::FlushAndEnd() {
  stop_timer_.StartAfter(kLastFlushTime, [this] {
    for (const auto& [team, usage] : usage_.unflushed())
      LogEvent(log_level::kError, "usage_lost",
               {{"team", team.str()},
                {"tasks", usage.tasks},
                {"run_us", usage.run_us}});
    End();
  });
  usage_.FlushAll(
      [this] { stop_timer_.StartAfter(kLinger, [this] { End(); }); });
}

void instance::End() {
  LogEvent(log_level::kInfo, "stopped", {});
  if (auto done = std::exchange(on_stopped_, nullptr))
    done();
}

}  // namespace jasminedyke
