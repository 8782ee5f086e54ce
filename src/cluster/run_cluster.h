// Entry instances that share the upstreams of their failure domains: members,
// homes, and the messages between jobs' owners and homes.

#ifndef SRC_CLUSTER_RUN_CLUSTER_H_
#define SRC_CLUSTER_RUN_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/base.h"
#include "cluster/home_election.h"
#include "cluster/member_registry.h"
#include "cluster/peer_addresses.h"
#include "cluster/reader_choice.h"
#include "cluster/routing_sync.h"
#include "policy/policy.h"
#include "protocol/protocol.h"
#include "runs/runs.h"
#include "store/store.h"

namespace jasminedyke {

// The configuration as text, for the store and for peers of older releases.
struct config_text {
  // Nothing if the document makes no sense. Its routes may be missing if its
  // version is not above `known`.
  std::function<std::optional<routing_config>(const std::string& document,
                                              config_version known)>
      parse;
  std::function<std::string(const routing_config&)> write;
};

// Whole documents that came, by where from and whether they were newer.
using config_document_counts = std::map<std::pair<std::string, bool>, uint64_t>;

// Puts the parts together for one instance. What it decides on its own is only
// which message goes where; a message to itself takes no link.
class run_cluster : public peer_listener {
 public:
  run_cluster(scheduler& clock,
              peer_port& peers,
              table_service& store,
              upstream_port& upstreams,
              const entry_member& self,
              const run_home::settings& home,
              config_text config);
  ~run_cluster() override;

  // Called when this instance begins or ends to be home: only then it needs to
  // follow the upstreams' registrations itself.
  void OnHome(std::function<void(bool)> handler);

  // Called when this instance begins or ends to follow the operators' table
  // itself, and at once if it does.
  void OnReader(std::function<void(bool)> handler);
  // Called after each change of the routes.
  void OnRoutes(std::function<void()> handler);

  // The store answers this instance's calls for changes of the operators'
  // table, or does not any more.
  void SetStoreContact(bool contact);

  // From the store.
  void SetMembers(const std::map<instance_id, entry_member>& members);
  // From the store. Peers of the own failure domain are told what changed.
  void SetUpstreams(const upstream_registry& upstreams);
  // From the store, or a peer of an older release, as `from` says in the log;
  // older ones change nothing.
  void OnConfigDocument(const std::string& document, const char* from);

  // From the store or a peer; older ones change nothing.
  void OnDrainedDomains(const drained_domains& drained);

  // Gives the home back and tells the peers.
  void Leave();

  const route_table& routes() const { return routes_; }
  job_owner& desk() { return *desk_; }
  const job_owner& desk() const { return *desk_; }
  const run_home& home() const { return *home_; }
  const home_directory& homes() const { return homes_; }
  const upstream_registry& upstreams() const { return upstreams_; }
  const drained_domains& drained() const { return drains_.newest(); }
  const config_document_counts& config_documents() const {
    return config_documents_;
  }
  const routing_sync_metrics& config_traffic() const {
    return routing_sync_.metrics();
  }
  // How long a newer configuration has been known to be in force elsewhere.
  duration config_behind() const { return routing_sync_.behind(); }
  bool leaving() const { return leaving_; }
  // Can take jobs: it has a configuration and knows a home.
  bool ready() const;

  void OnPeerUp(const peer_identity& peer) override;
  void OnPeerDown(const instance_id& peer) override;
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override;
  void OnPeerRefused(const instance_id& peer) override;

 private:
  // False if there is no link.
  bool Send(const instance_id& to, const peer_message& message);
  void SendToAll(const peer_message& message);
  void SendToOwnDomain(const peer_message& message);
  void Take(const instance_id& from, const peer_message& message);
  void TakeStatus(const instance_id& from, const peer_status& status);
  void TakeHomeStatus(const instance_id& from, const home_status& status);
  std::string AddressOf(const upstream_id& id) const;
  void TakeRequest(const instance_id& from, const document_request& request);
  void OnRoutesChanged(const std::string& from);
  void ReviewReader();
  store_reading OwnReading() const;
  void TakeDrainedDomains(const instance_id& from,
                          const drained_domains& drained);
  void TakeUpstreamNews(const instance_id& from, upstream_news news);
  // What the home has learnt since the last time, to its possible successors.
  void TellSpeeds();
  void TakeSpeedNews(const instance_id& from, const speed_news& news);
  void OnHomeBegins(fencing_token token);
  void OnHomeEnds();
  peer_status OwnStatus() const;
  void Heartbeat();
  void TellHomeStatus();
  void OnHomesChanged();
  bool IsHome(const instance_id& id) const;
  bool IsOfOwnDomain(const instance_id& peer) const;
  bool IsKnownService(const service_id& service) const;
  // Adds upstreams that were known and are missing for a short time only.
  void UseListedUpstreams();
  void KeepMissing(upstream_registry* listed);

  scheduler& clock_;
  peer_port& peers_;
  entry_member self_;
  config_text config_text_;
  route_table routes_;
  routing_sync routing_sync_;
  reader_choice reader_choice_;
  config_document_counts config_documents_;
  bool store_contact_ = false;
  // When it ended last.
  time_point store_contact_until_;
  domain_drains drains_;
  // Of the own failure domain, as the store listed them last, of any service.
  upstream_registry listed_upstreams_;
  upstream_registry upstreams_;
  // Of those that the store does not list, since when.
  std::map<upstream_id, time_point> missing_since_;
  peer_addresses addresses_;
  home_directory homes_;
  std::unique_ptr<start_delegator> delegator_;
  std::unique_ptr<run_home> home_;
  std::unique_ptr<job_owner> desk_;
  std::unique_ptr<delegated_starter> starter_;
  std::unique_ptr<home_election> election_;
  std::unique_ptr<member_registry> members_;
  std::function<void(bool)> on_home_;
  std::function<void(bool)> on_reader_;
  std::function<void()> on_routes_;
  bool leaving_ = false;
  scoped_timer heartbeat_timer_;
  scoped_timer home_status_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_RUN_CLUSTER_H_
