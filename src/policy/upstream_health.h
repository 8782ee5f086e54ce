// Decides which upstreams may receive tasks, from the results of attempts.

#ifndef SRC_POLICY_UPSTREAM_HEALTH_H_
#define SRC_POLICY_UPSTREAM_HEALTH_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "policy/slot_messages.h"

namespace jasminedyke {

enum class health_verdict {
  kFit,
  kQuarantined,  // receives no task until its back-off ends
  kOnTrial,      // receives one task at a time
};

// What one instance has recorded about one upstream.
struct health_record {
  health_verdict verdict = health_verdict::kFit;
  int consecutive_failures = 0;
  // Doubles with each consecutive quarantine.
  duration back_off{};
  time_point quarantined_until;
  bool trial_running = false;
  // Trial slots since the quarantine that were returned unused.
  int unused_trials = 0;
  // Moving mean of the ratio of actual to expected run time.
  double slowness = 1;
  time_point slowness_at;
};

// Quarantines an upstream after a few consecutive failures and, after a
// back-off, tries it with one task at a time until one succeeds. Without this,
// an upstream that fails every task would attract most of the load, as it
// answers fast and so always has free slots.
class upstream_health {
 public:
  // Records the result of an attempt.
  void Record(const released_slot& slot, time_point now);

  // Records that a peer quarantined the upstream. One more failure that this
  // instance observes itself is then enough for a quarantine. A wrong report
  // from a peer thus has no effect while the upstream works.
  void RecordPeerVerdict(const upstream_id& upstream, time_point now);

  // Whether a task may be sent to the upstream now. Ignores the verdicts while
  // more than half of the upstreams are quarantined or on trial, since the
  // fault is then more likely on this instance's side.
  bool MayReceive(const upstream_id& upstream, time_point now) const;

  // Whether a task sent now is a trial and should be idempotent. After a while
  // without an idempotent task any task may be used, as the upstream would
  // otherwise never be tried again.
  bool TrialNeedsIdempotent(const upstream_id& upstream, time_point now) const;

  // Must be called when a task starts on the upstream, so that a trial gets
  // only one task.
  void RecordStart(const upstream_id& upstream, time_point now);

  // Sets the upstreams of which `MayReceive` compares the quarantined share,
  // and drops the records of all others.
  void SetUpstreams(const std::vector<upstream_id>& upstreams);

  bool HasJustFailed(const upstream_id& upstream) const;

  // Limit on the tasks in flight on the upstream between a failure and the next
  // success; the maximum of `int` otherwise.
  int MaxInFlight(const upstream_id& upstream) const;

  health_verdict verdict(const upstream_id& upstream, time_point now) const;
  // Moving mean of the ratio of actual to expected run time. Without new runs
  // it decays towards 1, so that a slow upstream is tried again.
  double slowness(const upstream_id& upstream, time_point now) const;
  // Upstreams that are quarantined or on trial.
  std::vector<upstream_id> quarantined(time_point now) const;

 private:
  bool MostAreUnfit(time_point now) const;
  void Quarantine(health_record& record, time_point now);

  // Upstreams without a record are fit.
  std::map<upstream_id, health_record> records_;
  std::vector<upstream_id> upstreams_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_UPSTREAM_HEALTH_H_
