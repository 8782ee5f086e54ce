// What the owner of an upstream knows about one of its incarnations.

#ifndef SRC_RUNS_INCARNATION_STATE_H_
#define SRC_RUNS_INCARNATION_STATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"
#include "runs/upstream_clock.h"
#include "runs/upstream_port.h"
#include "runs/upstream_runs.h"

namespace jasminedyke {

// A hold call that may wait at the upstream for the next end, and its timer.
struct hold_call {
  explicit hold_call(scheduler& clock) : timer(clock) {}

  bool in_flight = false;
  // Sent while nothing ran: it waits longer and does not extend the lease.
  bool idle = true;
  // Of the last order.
  duration wait = duration::zero();
  // Replies in a row that came without an end and long before the wait was
  // over.
  int early_replies = 0;
  scoped_timer timer;
};

// The incarnation that sent the reply to a hold.
enum class reply_source {
  kCurrent,
  kLater,     // a later incarnation
  kUnusable,  // unknown, as the reply lacks a birth that it must contain
};

struct lease_limits {
  // The longest lease that upstreams grant.
  duration longest_lease = std::chrono::milliseconds(1000);
  // The lease that this owner requests, at most.
  duration requested_lease = std::chrono::milliseconds(1000);
};

// The owner's state for one incarnation of an upstream. An upstream that has
// crashed and restarted under the same id has a new clock, a new list of ends
// and none of its earlier runs. The state is therefore replaced as a whole, so
// that sequence numbers and times of two incarnations are never compared.
struct incarnation_state {
  incarnation_state(scheduler& scheduler, upstream_birth initial_birth);
  // Creates the state of the incarnation that follows `predecessor`,
  // with the runs that may have started, or may yet start, in it.
  incarnation_state(scheduler& scheduler,
                    upstream_birth initial_birth,
                    const incarnation_state& predecessor);

  // Returns whether a registration with birth `registered` describes this
  // incarnation. The capacity and labels of another incarnation may differ.
  bool MatchesRegistration(upstream_birth registered) const {
    return registered == upstream_birth() || registered == birth;
  }
  // Returns whether another incarnation may reply to the next call, because the
  // last hold was not answered.
  bool MayBeSuperseded() const {
    return last_hold_unanswered && birth != upstream_birth();
  }
  // Returns which incarnation sent `reply` to a hold that was sent at `sent`,
  // during this incarnation. Learns this incarnation's birth if it is unknown.
  reply_source ClassifyReply(const upstream_id& id,
                             time_point sent,
                             const hold_reply& reply);
  // Logs `event` with this incarnation's birth and the birth `told`, which a
  // reply or registration contained; empty if it contained none.
  void LogBirth(const upstream_id& id,
                const char* event,
                upstream_birth told) const;

  // Suspends new starts; each call doubles the pause, up to a limit.
  void BackOff();
  // Returns whether the upstream has replied recently.
  bool HasRecentReply() const;
  // Returns whether a call has recently gone unanswered.
  bool HasRecentUnansweredCall() const;
  bool IsLeaseExpired() const;
  // Accounts for a lease that this owner did not request for this incarnation,
  // granted at the time `granted` on the upstream's clock or earlier. Assumes
  // the longest possible lease from `granted`.
  void AddUnknownLease(upstream_time granted, const lease_limits& limits);

  // Removes the runs whose ends are listed for the first time. Returns these
  // ends and the new ends of runs that are unknown here.
  std::vector<listed_end> ApplyEnds(const hold_reply& reply);
  // Updates the known runs, and adds and returns the runs of an earlier owner
  // that are listed for the first time.
  std::vector<listed_run> ApplyRunning(const hold_reply& reply,
                                       const lease_limits& limits);
  // Removes and returns all runs except those whose orders a later incarnation
  // may still execute. Must be called only when the lease has expired or the
  // upstream is gone.
  std::vector<ended_run> RemoveEndedRuns(time_point now);

  upstream_birth birth;
  // The owner has known an earlier incarnation.
  bool has_predecessor = false;
  // A reply contained `birth`, so every later reply must contain one.
  bool birth_confirmed = false;
  bool any_hold_answered = false;
  bool last_hold_unanswered = false;
  upstream_runs runs;
  // Whether it is known what runs there, or that nothing can run any more.
  bool settled = false;
  bool gone = false;
  bool poll_in_flight = false;
  // Another poll was requested while one was in flight, whose reply may be too
  // old to show the state at the time of the request.
  bool poll_again = false;
  // Consecutive failures of holds and polls.
  int failed_holds = 0;
  // A start has gone unanswered for longer than usual, and no reply
  // to any call has arrived since it was sent.
  bool start_overdue = false;
  std::optional<time_point> last_unanswered_call;
  // The upstream is given no new runs before this time, because it refused one
  // or a start could not be sent.
  time_point no_starts_until;
  duration backoff = duration::zero();
  // The last lease had to be short, as a run may have to end soon.
  bool lease_cut = false;
  upstream_clock clock;
  // Latest time, on the upstream's clock, at which any lease can end.
  upstream_time lease_end;
  // End of the lease if this owner's last orders have arrived; other leases may
  // end later, up to `lease_end`.
  upstream_time requested_lease_end;
  // Sequence number of the last end that was received.
  uint64_t acknowledged = 0;
  // The upstream's clock in the last reply that contained new ends.
  upstream_time last_ends_time;
  hold_call hold;
  // Used while replies are being lost.
  hold_call second_hold;
  scoped_timer poll_timer;
  scoped_timer start_timer;
  scoped_timer stop_timer;
  scoped_timer refusal_timer;
  scoped_timer lapse_timer;

 private:
  bool MayStartLater(const run_record& record, time_point now) const;
  bool IsOutdated(const hold_reply& reply) const;

  scheduler& scheduler_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_INCARNATION_STATE_H_
