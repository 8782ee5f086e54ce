// Starts that a home has jobs' owners send, each side's part.
//
// A start carries the job's specification, once for each task. On a thin link
// these bytes, not decisions, are what a home is short of: with 60 starts a
// second of 1.7 KB each they took 40 % of 2 Mbit/s, and the answers of all
// upstreams came too late. The owner has the specification already, and there
// are many owners to one home.

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

// The home's side: calls to upstreams, of which some starts go by way of the
// job's owner. All that is proven by answers and their absence holds as if the
// home had sent the start: the order has the home's token and its time limit.
class start_delegator : public upstream_port {
 public:
  // False if there is no link.
  using send_start =
      std::function<bool(const instance_id&, const delegated_start&)>;
  // Where an upstream listens; empty if it is not known.
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
  // What that owner was asked may have been sent or not.
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
  // From the clock on: no number is used again, by this process or the next one
  // of this instance. An owner may answer to the next one what the earlier one
  // asked; taken for another start's, it would make a task run twice.
  uint64_t last_number_;
  std::map<uint64_t, pending_start> pending_;
};

// The owner's side.
class delegated_starter {
 public:
  // Null if that submission of the job is not open here.
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
