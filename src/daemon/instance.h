// One running entry instance: all parts, put together.

#ifndef SRC_DAEMON_INSTANCE_H_
#define SRC_DAEMON_INSTANCE_H_

#include <functional>
#include <memory>
#include <vector>

#include "admin/admin.h"
#include "base/base.h"
#include "cluster/cluster.h"
#include "daemon/address_opener.h"
#include "daemon/settings.h"
#include "entry/entry.h"
#include "http/http.h"
#include "policy/policy.h"
#include "protocol/protocol.h"
#include "store/store.h"
#include "upstream/upstream.h"

namespace jasminedyke {

// Serves from its construction on until a requested stop is complete. It is
// used from the loop's thread only, and everything in it runs there.
class instance {
 public:
  // What `instance` can't be without.
  static std::vector<listen_address> Addresses(const daemon_settings& settings);

  // `sockets` are those of `Addresses`.
  instance(event_loop& loop,
           const daemon_settings& settings,
           open_sockets sockets);
  ~instance();

  // Ends planned work gracefully and calls `done`. Further calls change
  // nothing.
  void Stop(std::function<void()> done);

  socket_address callers_address() const { return callers_address_; }
  socket_address operators_address() const { return operators_address_; }
  socket_address peers_address() const { return mesh_.address(); }

 private:
  void OnConfigurationChanged();
  void OnMembershipChanged();
  void UpdateQuotas();
  readiness NotReadyBecause() const;
  bool PeersSettled() const;
  void StopAdmitting();
  void WaitUntilIdle();
  bool IsIdle() const;
  void FlushAndEnd();
  void End();

  event_loop& loop_;
  daemon_settings settings_;
  peer_identity self_;
  time_point started_;
  bool stopping_ = false;
  std::function<void()> on_stopped_;

  http_platform platform_;
  configuration_store config_;
  membership_poller membership_;
  usage_ledger usage_;
  token_directory tokens_;

  upstream_table upstreams_;
  upstream_links links_;
  dispatcher jobs_;
  job_id_mint mint_;
  job_registry registry_;

  wire_names names_;
  peer_mesh mesh_;
  slot_home home_side_;
  // Owned by `jobs_`.
  granted_slots* slots_;
  home_selector homes_;
  document_sync documents_;
  remote_jobs remote_;
  caller_api callers_;
  peer_router router_;

  instance_view view_;
  admin_api admin_;
  http_server callers_server_;
  http_server operators_server_;
  socket_address callers_address_;
  socket_address operators_address_;
  scoped_timer stop_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_DAEMON_INSTANCE_H_
