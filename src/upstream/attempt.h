// One attempt to run a task on an upstream, and how it ended.

#ifndef SRC_UPSTREAM_ATTEMPT_H_
#define SRC_UPSTREAM_ATTEMPT_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "base/base.h"
#include "http/http.h"
#include "policy/policy.h"

namespace jasminedyke {

// What is sent to the upstream.
struct attempt_request {
  upstream_id upstream;
  // "JOB/N": names the task to the upstream and in logs.
  std::string task;
  int attempt = 1;
  class_id work_class;
  team_id team;
  // The upstream stops the task when this has passed since its start.
  duration lease{};
  std::string payload;
};

enum class not_run_reason {
  kNothingSent,  // no connection, or not a byte of the request left
  kNoSlot,
  kLeaving,
  kOther,  // refused for a reason of the upstream's own
};

// Proof that the task did not run, and so the only licence to start it again.
// It can't be made except from one of the two kinds of evidence.
class not_run {
 public:
  // Nothing unless no byte of the request had left.
  static std::optional<not_run> FromFailure(const http_failure& failure);
  // Nothing unless the upstream says that it did not run the task.
  static std::optional<not_run> FromReply(const http_reply& reply);

  not_run_reason reason() const { return reason_; }

 private:
  explicit not_run(not_run_reason reason) : reason_(reason) {}

  not_run_reason reason_;
};

// The upstream's whole answer, be it good or bad.
struct answered {
  int status = 0;
  std::string content_type;
  std::string body;
  // Reported by the upstream; nothing if it did not.
  std::optional<duration> run_time;

  bool succeeded() const { return status >= 200 && status < 300; }
};

enum class unknown_reason {
  kReset,      // the connection ended before the whole reply
  kTimeout,    // neither reply nor refusal within the lease
  kMalformed,  // the reply has no length, is for another task, or too large
  kGateway,    // 502, 503 or 504 that does not say whether the task ran
};

// The task may have run, may be running, or may not have started.
struct outcome_unknown {
  unknown_reason reason = unknown_reason::kReset;
};

using attempt_outcome = std::variant<answered, not_run, outcome_unknown>;

// What an outcome tells about the upstream.
slot_result ToSlotResult(const attempt_outcome& outcome);

// Sorts a reply or failure of `POST /v1/tasks` into the outcomes.
attempt_outcome ClassifyResult(const attempt_request& request,
                               const http_result& result);

// Where attempts are made. `upstream_links` is the real one.
class attempt_port {
 public:
  using callback = std::function<void(attempt_outcome)>;

  virtual ~attempt_port() = default;

  // `done` is called exactly once, never from within this call.
  virtual void Start(const attempt_request& request, callback done) = 0;

  // Asks the upstream to stop a task whose answer nobody wants. The attempt
  // still ends by its own callback.
  virtual void Stop(const upstream_id& upstream, const std::string& task) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_UPSTREAM_ATTEMPT_H_
