// Forwarding of callers' requests about jobs to the entry instances that own
// the jobs, and handling of those that other instances forward to this one.

#ifndef SRC_CLUSTER_REMOTE_JOBS_H_
#define SRC_CLUSTER_REMOTE_JOBS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/base.h"
#include "entry/entry.h"
#include "policy/policy.h"
#include "protocol/protocol.h"

namespace jasminedyke {

// Sends each request to the owner that the job id names, and opens a link to it
// if there is none. Only that incarnation of the owner may reply. If it has
// ended, no instance knows whether the job ran, and the job is lost.
class remote_jobs : public job_forwarder {
 public:
  using local_handler =
      std::function<void(const forwarded_job&,
                         std::function<void(const http_reply&)>)>;

  remote_jobs(scheduler& clock,
              const instance_id& self,
              peer_port& peers,
              const membership_view& membership,
              local_handler handler);

  void Forward(const forwarded_job& request, callback done) override;

  void OnPeerUp(const instance_id& peer);
  void OnPeerDown(const instance_id& peer);
  void OnRequest(const instance_id& peer, const remote_job_request& request);
  void OnReply(const instance_id& peer, const remote_job_reply& reply);

  size_t pending() const { return pending_.size(); }

 private:
  struct pending_request {
    forwarded_job request;
    callback done;
    bool sent = false;
    // Limits the wait for a link; null once the request is sent.
    std::unique_ptr<scoped_timer> timer;
  };

  void Send(uint64_t number, const peer_identity& peer);
  void FinishLater(uint64_t number, forward_error error);
  void Finish(uint64_t number, const outcome<http_reply, forward_error>& reply);

  scheduler& clock_;
  instance_id self_;
  peer_port& peers_;
  const membership_view& membership_;
  local_handler local_handler_;
  std::map<uint64_t, pending_request> pending_;
  uint64_t last_number_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_REMOTE_JOBS_H_
