// All that an owner keeps of one incarnation of an upstream.

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

// A call that waits at the upstream for the next end.
struct waiting_hold {
  explicit waiting_hold(scheduler& clock) : timer(clock) {}

  bool in_flight = false;
  // Nothing ran when it was sent: it waits long and brings no lease.
  bool idle = true;
  scoped_timer timer;
};

// Whose answer the reply to a hold is.
enum class answer_of {
  kPresent,
  kNext,    // a later incarnation than the present one
  kNobody,  // it does not say, and can't be used
};

struct lease_limits {
  // The longest lease that upstreams grant.
  duration longest_lease = std::chrono::milliseconds(1000);
};

// An upstream that crashed and is back under its id has a new clock, a new list
// of ends and no run of before. What is kept of it lies here and is replaced
// whole, so no number or time of one incarnation is ever compared with one of
// another.
struct incarnation_state {
  incarnation_state(scheduler& scheduler, upstream_birth born);
  // The incarnation that follows `before`: what may still begin, or run, comes
  // with it.
  incarnation_state(scheduler& scheduler,
                    upstream_birth born,
                    const incarnation_state& before);

  // An incarnation may be of another kind than the one before: its size and
  // labels are known only by a registration of its own.
  bool IsRegisteredAs(upstream_birth registered) const {
    return registered == upstream_birth() || registered == birth;
  }
  // A call had no answer since the last one that had: another incarnation may
  // answer the next.
  bool MayBeOver() const { return unanswered && birth != upstream_birth(); }
  // The hold was sent in this life, at `sent`.
  answer_of WhoAnswers(const upstream_id& id,
                       time_point sent,
                       const hold_reply& reply);
  void LogBirth(const upstream_id& id,
                const char* event,
                upstream_birth told) const;

  // It gets nothing new for a while.
  void Suspect();
  // It did lately.
  bool Answers() const;
  // Some of its answers got lost lately.
  bool LosesAnswers() const;
  bool LeaseIsOver() const;
  // One that we did not give, at that time or before.
  void NoteForeignLease(upstream_time given, const lease_limits& bounds);

  // Removes runs whose ends are new, and returns these ends and those of runs
  // that are unknown.
  std::vector<listed_end> TakeEnds(const hold_reply& reply);
  // Returns those of an earlier owner that are new here.
  std::vector<listed_run> TakeRunning(const hold_reply& reply,
                                      const lease_limits& bounds);
  // Once the lease is over or the upstream is gone. What a later incarnation
  // may carry out stays.
  std::vector<run_over> TakeAllOver(time_point now);

  upstream_birth birth;
  // Not the first incarnation that is known here.
  bool follows = false;
  // An answer told `birth`: then each must.
  bool birth_answered = false;
  // A hold was answered, at all; and the newest one was not.
  bool answered = false;
  bool unanswered = false;
  upstream_runs runs;
  bool settled = false;
  bool gone = false;
  bool look_in_flight = false;
  // A look was wanted while one was under way, which may not show it.
  bool look_again = false;
  int failed_holds = 0;
  // A start has had no answer for longer than usual, and no other call since.
  bool in_doubt = false;
  std::optional<time_point> last_unanswered;
  // Until then it gets nothing new, because it refused work.
  time_point refused_until;
  duration refusal_pause = duration::zero();
  upstream_clock clock;
  // Nothing on the upstream outlives this time on its clock.
  upstream_time lease_end;
  // What runs there lives until then, if our orders arrived.
  upstream_time given_until;
  uint64_t acknowledged = 0;
  // The upstream's clock in the newest reply that brought ends.
  upstream_time newest_ends;
  waiting_hold hold;
  waiting_hold spare_hold;
  scoped_timer look_timer;
  scoped_timer start_timer;
  scoped_timer lapse_timer;

 private:
  bool MayBeginLater(const run_record& record, time_point now) const;
  bool IsStale(const hold_reply& reply) const;

  scheduler& scheduler_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_INCARNATION_STATE_H_
