// Delegates start requests from a home to the owners of the jobs: the home's
// side and the owner's side.
//
// A start request carries the job's specification, once for each task. On a
// slow link the home runs out of bandwidth for these bytes first: 60 start
// requests a second of 1.7 KB each take 40 % of 2 Mbit/s, and the replies of
// all upstreams come too late. The owner already has the specification, and one
// home serves many owners.

#ifndef SRC_RUNS_START_DELEGATION_H_
#define SRC_RUNS_START_DELEGATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/run_messages.h"
#include "runs/upstream_port.h"

namespace jasminedyke {

// The home's side: an upstream port that sends some start requests by way of
// the job's owner. A reply, or the lack of one, proves the same as if the home
// had sent the request itself, because the request carries the home's fencing
// token and its time limit.
class start_delegator : public upstream_port {
 public:
  // Returns false if there is no link to the owner.
  using send_start =
      std::function<bool(const instance_id&, const delegated_start&)>;
  // Returns the address of an upstream, or an empty string if it is unknown.
  using address_lookup = std::function<std::string(const upstream_id&)>;

  start_delegator(scheduler& clock,
                  upstream_port& direct,
                  address_lookup address,
                  send_start send);

  void Start(const upstream_id& upstream,
             const run_order& order,
             start_callback done) override;
  void Stop(const upstream_id& upstream,
            const stop_order& order,
            stop_callback done) override;
  void Hold(const upstream_id& upstream,
            const hold_order& order,
            hold_callback done) override;
  void Drop(const upstream_id& upstream) override;

  void OnResult(const instance_id& from, const delegated_start_result& result);
  // Reports an unknown outcome for each start request that was delegated to
  // this owner: the owner may have sent it or not.
  void OnPeerDown(const instance_id& peer);

 private:
  struct pending_start {
    instance_id owner;
    upstream_id upstream;
    start_callback done;
    std::unique_ptr<scoped_timer> timer;
  };

  void Finish(uint64_t number, const start_reply& reply);

  scheduler& clock_;
  upstream_port& direct_;
  address_lookup address_;
  send_start send_;
  // Counts up from the clock's value at the start of the process, so that a
  // later process of this instance doesn't reuse a number. An owner may send
  // the later process the result of a request of the earlier one; matched with
  // another start request, that result would make a task run twice.
  uint64_t last_number_;
  std::map<uint64_t, pending_start> pending_;
};

// The owner's side: adds the specification to delegated start requests, sends
// them to the upstreams and returns the results.
class delegated_starter {
 public:
  // Returns the job's specification, or null if this submission of the job is
  // not open here.
  using spec_lookup =
      std::function<const std::string*(const job_key&, submission_id)>;
  using send_result =
      std::function<void(const instance_id&, const delegated_start_result&)>;

  delegated_starter(upstream_port& upstreams,
                    spec_lookup spec,
                    send_result send);

  void OnStart(const instance_id& home, const delegated_start& delegated);

 private:
  upstream_port& upstreams_;
  spec_lookup spec_;
  send_result send_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_START_DELEGATION_H_
