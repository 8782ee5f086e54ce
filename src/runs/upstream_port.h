// Interface for the calls that the owner of an upstream makes to it. The
// platform adapter implements it; tests use fakes.

#ifndef SRC_RUNS_UPSTREAM_PORT_H_
#define SRC_RUNS_UPSTREAM_PORT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// The instance that sends a start on behalf of the home: the owner of the job's
// submission, which stores the job's specification.
struct start_delegate {
  instance_id owner;
  submission_id submission;

  bool operator==(const start_delegate&) const = default;
};

// An order to start a run.
struct run_order {
  task_name task;
  run_number run;
  std::string spec;
  fencing_token token;
  // The upstream refuses the order after this time, so that an order delayed
  // in the network can't start a run late.
  upstream_time not_after;
  // The upstream's address, set only for an instance of another failure domain,
  // which does not have it in its registry.
  std::string address = {};
  std::optional<start_delegate> delegate = std::nullopt;

  bool operator==(const run_order&) const = default;
};

enum class start_result {
  kStarted,      // started now, or was already running there
  kFenced,       // the upstream has seen a newer owner's token
  kOldRun,       // the run number has already been used
  kLate,         // the order arrived after its time limit
  kNoRoom,       // the upstream's free capacity is too small
  kUnwell,       // the upstream temporarily refuses work
  kGone,         // another incarnation replied
  kNotAccepted,  // the order is invalid
  kNotSent,      // no byte of the order was sent
  kOwnerGone,    // the job's owner did not send the delegated order
  kUnknown,      // no usable reply: the run may have started, or may yet start
                 // within its time limit
};

const char* ToString(start_result result);

struct start_reply {
  start_result result = start_result::kUnknown;
  std::optional<upstream_time> clock;

  bool operator==(const start_reply&) const = default;
};

enum class call_result {
  kOk,
  kFenced,  // the upstream has seen a newer owner's token
  kGone,    // another incarnation replied
  kNotSent,
  kUnknown,  // no reply, or an invalid one
};

// Timeout of calls that upstreams answer immediately: many times the usual
// round trip. A pause of this process does not cause timeouts, because replies
// that have arrived are read before expired timers are handled.
constexpr duration kReplyTimeout = std::chrono::milliseconds(80);

struct stop_order {
  task_name task;
  run_number run;
  fencing_token token;
  duration reply_timeout = kReplyTimeout;
};

// The content of a hold call. The call extends the lease of the runs on the
// upstream, acknowledges ends, and requests the lists of running and ended
// runs.
struct hold_order {
  fencing_token token;
  // The upstream removes ends up to this sequence number from its list.
  uint64_t acknowledged = 0;
  // Empty if the call must not extend the lease.
  std::optional<upstream_time> lease_until;
  // How long the upstream may wait for an end before it replies.
  duration wait = duration::zero();
  // Counted from the end of `wait`.
  duration reply_timeout = kReplyTimeout;
};

struct hold_reply {
  call_result result = call_result::kUnknown;
  // The other fields are set only if the result is `kOk`.
  upstream_time clock;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  // The replying incarnation's birth; empty if the reply does not contain it.
  std::optional<upstream_birth> birth = std::nullopt;
};

// Sends calls to upstreams by id. Each callback is invoked exactly once, and
// never from within the call, unless `Drop` is called before: then it is not
// invoked at all.
class upstream_port {
 public:
  using start_callback = std::function<void(const start_reply&)>;
  using stop_callback = std::function<void(call_result)>;
  using hold_callback = std::function<void(const hold_reply&)>;

  virtual ~upstream_port() = default;

  virtual void Start(const upstream_id& upstream,
                     const run_order& order,
                     start_callback done) = 0;
  virtual void Stop(const upstream_id& upstream,
                    const stop_order& order,
                    stop_callback done) = 0;
  virtual void Hold(const upstream_id& upstream,
                    const hold_order& order,
                    hold_callback done) = 0;
  // Closes the connections to the upstream and discards pending callbacks.
  virtual void Drop(const upstream_id& upstream) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_PORT_H_
