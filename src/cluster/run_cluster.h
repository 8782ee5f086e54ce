// Coordination of entry instances that share the upstreams of their failure
// domains: membership, homes, and messages between owners of jobs and homes.

#ifndef SRC_CLUSTER_RUN_CLUSTER_H_
#define SRC_CLUSTER_RUN_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/base.h"
#include "cluster/home_contact.h"
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

// Conversion of the configuration from and to the text form that the store and
// peers of older releases use.
struct config_codec {
  // Returns nothing if the document is invalid. The routes may be left out if
  // the document's version is not above `known`.
  std::function<std::optional<routing_config>(const std::string& document,
                                              config_version known)>
      parse;
  std::function<std::string(const routing_config&)> write;
};

// Number of whole documents received, by source and by whether they were newer
// than the configuration in force.
using config_document_counts = std::map<std::pair<std::string, bool>, uint64_t>;

// Connects the components of one entry instance, and dispatches messages
// between them and the peers. Messages to the instance itself use no link.
class run_cluster : public peer_listener {
 public:
  run_cluster(scheduler& clock,
              peer_port& peers,
              table_service& store,
              upstream_port& upstreams,
              const entry_member& self,
              const run_home::settings& home,
              config_codec config);
  ~run_cluster() override;

  // Sets the handler that is called with true when this instance becomes home
  // and with false when it stops being home. Only a home needs to follow the
  // registrations of upstreams in the store.
  void SetHomeHandler(std::function<void(bool)> handler);

  // Sets the handler that is called with true when this instance has to start
  // reading the operators' table from the store and with false when it has to
  // stop. Calls it at once if the instance reads the table already.
  void SetReaderHandler(std::function<void(bool)> handler);
  // Sets the handler that is called after each change of the routes.
  void SetRoutesHandler(std::function<void()> handler);

  // Sets whether the store answers this instance's requests for changes of the
  // operators' table.
  void SetStoreReachable(bool reachable);

  // Sets the entry instances that are registered in the store.
  void SetMembers(const std::map<instance_id, entry_member>& members);
  // Sets the upstreams that are registered in the store, and sends the changes
  // to the peers of this instance's failure domain.
  void SetUpstreams(const upstream_registry& upstreams);
  // Sets whether the store answers this instance's requests for the list of
  // upstreams. Registrations may have lapsed before it answered again.
  void SetUpstreamListReachable(bool reachable);
  // Applies a document from the store or from a peer of an older release,
  // unless a newer one is in force. `from` names the source in the log.
  void OnConfigDocument(const std::string& document, const char* from);

  // Applies a list of drained failure domains from the store or a peer, unless
  // a newer one is known.
  void OnDrainedDomains(const drained_domains& drained);

  // Announces to the peers that this instance is stopping, gives up being home
  // and removes the instance from the store's list of members.
  void Leave();

  const route_table& routes() const { return routes_; }
  job_owner& owner() { return *owner_; }
  const job_owner& owner() const { return *owner_; }
  const run_home& home() const { return *home_; }
  const home_directory& homes() const { return homes_; }
  const upstream_registry& upstreams() const { return upstreams_; }
  const drained_domains& drained() const { return domain_drains_.newest(); }
  const config_document_counts& config_documents() const {
    return config_documents_;
  }
  const routing_sync_metrics& config_traffic() const {
    return routing_sync_.metrics();
  }
  // Time since this instance learned that a peer has a newer configuration.
  duration config_behind() const { return routing_sync_.behind(); }
  bool leaving() const { return leaving_; }
  // Whether this instance can accept jobs: it has a configuration and knows a
  // home, and is not stopping.
  bool ready() const;

  void OnPeerUp(const peer_identity& peer) override;
  void OnPeerDown(const instance_id& peer) override;
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override;
  void OnPeerRefused(const instance_id& peer) override;

 private:
  // The latest status of a linked home.
  struct read_status {
    home_group group;
    fencing_token token;
    // By the home's `scheduler::boot_now`.
    time_point sent_at;
    // By the own clock.
    time_point at;
  };

  // Returns false if there is no link to the instance.
  bool Send(const instance_id& to, const peer_message& message);
  void SendToAll(const peer_message& message);
  void SendToOwnDomain(const peer_message& message);
  void Dispatch(const instance_id& from, const peer_message& message);
  void OnPeerStatus(const instance_id& from, const peer_status& status);
  void OnHomeStatus(const instance_id& from, const home_status& status);
  std::string AddressOf(const upstream_id& id) const;
  void OnDocumentRequest(const instance_id& from,
                         const document_request& request);
  void OnRoutesChanged(const std::string& from);
  void ReviewReaderChoice();
  store_reading OwnReading() const;
  void OnPeerDrainedDomains(const instance_id& from,
                            const drained_domains& drained);
  void OnUpstreamNews(const instance_id& from, upstream_news news);
  // Sends the speeds measured since the last call to the instances that may
  // succeed this home.
  void SendSpeeds();
  // Whether `upstreams_` lacks none on which tasks may run now.
  bool KnowsAllUpstreams() const;
  group_knowledge OwnGroupKnowledge() const;
  // Sends the peer what this instance knows of its group.
  void SendGroupKnowledge(const instance_id& peer);
  // Does so if the peer, which knows `known`, knows less and no home tells it.
  void ShareGroupKnowledge(const instance_id& peer, group_knowledge known);
  void OnSpeedNews(const instance_id& from, const speed_news& news);
  void OnHomeBegins(fencing_token token);
  void OnHomeEnds();
  peer_status OwnStatus() const;
  // With the confirmation of the peer's statuses as home.
  peer_status OwnStatusFor(const instance_id& peer) const;
  home_status OwnHomeStatus() const;
  void SendOwnStatus();
  // Calls `then` once everything that came before the statuses that this
  // instance has read by now is handled, and they can be confirmed.
  void OnceStatusesAreHandled(const std::function<void()>& then);
  // The link to the peer is new or ended.
  void ForgetStatusesOf(const instance_id& peer);
  // Confirms the statuses of homes, again and again.
  void ConfirmToHomes();
  void LogStall();
  void Heartbeat();
  void SendHomeStatus();
  void OnHomesChanged();
  bool IsHome(const instance_id& id) const;
  bool IsOfOwnDomain(const instance_id& peer) const;
  bool IsKnownService(const service_id& service) const;
  // Replaces the known upstreams by those listed in the store.
  void UseListedUpstreams();
  // Adds known upstreams that have been missing from the list for a short time
  // only.
  void KeepRecentlyMissing(upstream_registry* listed);

  scheduler& clock_;
  peer_port& peers_;
  entry_member self_;
  config_codec config_codec_;
  route_table routes_;
  routing_sync routing_sync_;
  reader_choice reader_choice_;
  config_document_counts config_documents_;
  bool store_reachable_ = false;
  // When the store last stopped answering.
  time_point store_unreachable_since_;
  domain_drains domain_drains_;
  // The upstreams of this failure domain that the store listed last, of all
  // services.
  upstream_registry listed_upstreams_;
  upstream_registry upstreams_;
  // `upstreams_` contains all upstreams on which tasks may run, as of the last
  // contact to a home.
  bool upstreams_whole_ = false;
  home_contact home_contact_;
  // `upstreams_` was whole when this instance became home.
  bool began_with_whole_list_ = false;
  // Since when the store has listed upstreams without interruption.
  std::optional<time_point> listed_since_;
  // Since when the store has not listed an upstream that is in `upstreams_`.
  std::map<upstream_id, time_point> missing_since_;
  peer_addresses addresses_;
  home_directory homes_;
  // What this instance has told each linked peer of the group.
  std::map<instance_id, group_knowledge> shared_;
  store_watch store_;
  std::unique_ptr<start_delegator> delegator_;
  std::unique_ptr<run_home> home_;
  std::unique_ptr<job_owner> owner_;
  std::unique_ptr<delegated_starter> starter_;
  std::unique_ptr<home_election> election_;
  std::unique_ptr<member_registry> members_;
  std::function<void(bool)> home_handler_;
  std::function<void(bool)> reader_handler_;
  std::function<void()> routes_handler_;
  bool leaving_ = false;
  // By `scheduler::boot_now`.
  time_point heartbeat_due_;
  scoped_timer heartbeat_timer_;
  scoped_timer confirmation_timer_;
  scoped_timer home_status_timer_;
  // The latest status of each linked home, and those of them that are handled.
  std::map<instance_id, read_status> read_statuses_;
  std::map<instance_id, time_point> handled_statuses_;
  // When this home sent its last status, by `scheduler::boot_now`.
  time_point home_status_sent_at_;
  // Expires with this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_RUN_CLUSTER_H_
