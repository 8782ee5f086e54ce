// What the owner of an upstream can ask of it. The adapter to a platform
// implements it; tests use fakes.

#ifndef SRC_RUNS_UPSTREAM_PORT_H_
#define SRC_RUNS_UPSTREAM_PORT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// Who sends a start in the home's place: the owner of that submission of the
// job, which keeps its specification.
struct start_delegate {
  instance_id owner;
  submission_id submission;

  bool operator==(const start_delegate&) const = default;
};

struct run_order {
  task_name task;
  run_number run;
  std::string spec;
  fencing_token token;
  // The upstream refuses the order after this time, so an order that was
  // held up on the way can't start anything late.
  upstream_time not_after;
  // Where the upstream listens, for an instance that does not know it: one of
  // another failure domain. Else empty.
  std::string address = {};
  std::optional<start_delegate> delegate = std::nullopt;

  bool operator==(const run_order&) const = default;
};

enum class start_result {
  kStarted,      // now, or it was running there already
  kFenced,       // the upstream has a newer owner
  kOldRun,       // that run number was used
  kLate,         // the order's time was over
  kNoRoom,       // the task does not fit beside what runs there
  kUnwell,       // the upstream refuses work for now
  kGone,         // another incarnation answered
  kNotAccepted,  // the order itself is wrong
  kNotSent,      // no byte of the order left
  kOwnerGone,    // the job's owner was to send it, and did not
  kUnknown,      // it may have started, or may start before its time is over
};

const char* ToString(start_result result);

struct start_reply {
  start_result result = start_result::kUnknown;
  std::optional<upstream_time> clock;

  bool operator==(const start_reply&) const = default;
};

enum class call_result {
  kOk,
  kFenced,
  kGone,
  kNotSent,
  kUnknown,  // no answer, or one that made no sense
};

// How long the answer to a call may take that upstreams answer at once, before
// the call counts as unanswered: many times what answers take. After a pause of
// our own process what has arrived is read before timers are looked at.
constexpr duration kAnswerPatience = std::chrono::milliseconds(80);

struct stop_order {
  task_name task;
  run_number run;
  fencing_token token;
  duration patience = kAnswerPatience;
};

// Prolongs what runs on the upstream, acknowledges ends and asks for both
// lists.
struct hold_order {
  fencing_token token;
  // The upstream forgets ends up to this one.
  uint64_t acknowledged = 0;
  // Nothing: only look.
  std::optional<upstream_time> lease_until;
  // The answer waits for an end for so long.
  duration wait = duration::zero();
  // Beyond `wait`.
  duration patience = kAnswerPatience;
};

struct hold_reply {
  call_result result = call_result::kUnknown;
  // The rest only if `kOk`.
  upstream_time clock;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  // Of the incarnation that answers; nothing if it does not tell.
  std::optional<upstream_birth> birth = std::nullopt;
};

// Calls to upstreams by id. Each callback comes once, never from within the
// call, unless the upstream was dropped meanwhile: then not at all.
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
  // Closes the connections to an upstream that is no longer owned.
  virtual void Drop(const upstream_id& upstream) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_PORT_H_
