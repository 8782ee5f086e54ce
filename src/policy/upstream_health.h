// Which upstreams are fit for work, judged by how attempts ended.

#ifndef SRC_POLICY_UPSTREAM_HEALTH_H_
#define SRC_POLICY_UPSTREAM_HEALTH_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "policy/slot_messages.h"

namespace jasminedyke {

enum class health_verdict {
  kFit,
  kQuarantined,  // gets nothing until its back-off ends
  kOnTrial,      // gets one task at a time
};

// One upstream's record with one instance.
struct health_record {
  health_verdict verdict = health_verdict::kFit;
  int consecutive_failures = 0;
  // Doubles with each quarantine in a row.
  duration back_off{};
  time_point quarantined_until;
  bool trial_running = false;
  // Trials in a row for which there was no idempotent task.
  int unused_trials = 0;
  // Moving mean of run time over what was expected; 1 is as expected.
  double slowness = 1;
  time_point slowness_at;
};

// Quarantines an upstream after a few failures in a row and lets it back by
// one trial task after a back-off. An upstream that fails everything answers
// fast, so without this it would draw all the work there is.
class upstream_health {
 public:
  // Feeds the end of an attempt.
  void Record(const released_slot& slot, time_point now);

  // A peer quarantined the upstream. Its word alone only means that one
  // failure of our own is enough; so a lying peer costs nothing while the
  // upstream works.
  void RecordPeerVerdict(const upstream_id& upstream, time_point now);

  // Whether a task may be sent now. When most of `upstreams` are quarantined
  // the fault is likelier on our side than with all of them: then the verdicts
  // do not count.
  bool MayReceive(const upstream_id& upstream, time_point now) const;

  // Whether a task sent now is a trial and should be one that may run twice.
  // Where no such task turns up for a while, any task may be risked: else an
  // upstream could stay away for ever.
  bool TrialNeedsIdempotent(const upstream_id& upstream, time_point now) const;

  // To be told when a task starts on it: a trial takes only one.
  void RecordStart(const upstream_id& upstream, time_point now);

  // The upstreams that the majority guard counts.
  void SetUpstreams(const std::vector<upstream_id>& upstreams);

  bool HasJustFailed(const upstream_id& upstream) const;

  // After a failure, how many tasks may be under way on it until the next
  // success; the maximum of `int` before.
  int MaxInFlight(const upstream_id& upstream) const;

  health_verdict verdict(const upstream_id& upstream, time_point now) const;
  // Run time over expected run time, as a moving mean. Without new runs it
  // returns towards 1, so that a slow upstream is tried again.
  double slowness(const upstream_id& upstream, time_point now) const;
  std::vector<upstream_id> quarantined(time_point now) const;

 private:
  bool ViewIsSuspect(time_point now) const;
  void Quarantine(health_record& record, time_point now);

  // Upstreams without a record are fit.
  std::map<upstream_id, health_record> records_;
  std::vector<upstream_id> upstreams_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_UPSTREAM_HEALTH_H_
