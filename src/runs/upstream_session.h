// One upstream under this instance's ownership: its clock, its lease, and all
// that runs on it.

#ifndef SRC_RUNS_UPSTREAM_SESSION_H_
#define SRC_RUNS_UPSTREAM_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/answer_times.h"
#include "runs/incarnation_state.h"
#include "runs/run_types.h"
#include "runs/upstream_port.h"
#include "runs/upstream_registry.h"
#include "runs/upstream_runs.h"

namespace jasminedyke {

// Keeps one hold call waiting at the upstream at nearly all times: it prolongs
// the lease, acknowledges ends and brings new ones as they happen. While
// answers get lost there are two, or each lost one would hide all ends until it
// times out.
//
// Behind one id there may be one incarnation of the upstream after another:
// `incarnation_state`. The session stays, as its owner and the work that was
// ordered of the earlier one do.
//
// A run is over for us only when that is proven: the upstream listed its end,
// or did not list it in answer to a hold sent when it could no longer begin,
// or has not had its lease prolonged for longer than the lease, or another
// incarnation answers or has registered. Until then its
// task must not start anywhere else, or it could run twice at one time.
//
// A start that stays unanswered is looked for after a moment; one that is not
// there is stopped, since a stopped run number can never begin. That proves
// within a few answers' time what the order's own time limit would prove much
// later.
class upstream_session {
 public:
  using limits = lease_limits;

  // Told of the session's runs. Calls of the session from within these
  // functions are allowed; destroying it is not.
  class owner {
   public:
    virtual ~owner() = default;
    virtual void OnRunEnded(upstream_session& session,
                            const task_name& task,
                            run_number run,
                            run_end how) = 0;
    // The end of each run follows.
    virtual void OnLost(upstream_session& session,
                        const upstream_loss& loss) = 0;
    // What became of an upstream that was out of reach.
    virtual void OnFoundAgain(upstream_session& session,
                              const upstream_loss& loss,
                              bool crashed) = 0;
    // The upstream crashed and is back under its id, as another incarnation.
    // What is lost with the earlier one follows.
    virtual void OnReborn(upstream_session& session) = 0;
    // Proven never to have begun; `why` is what the upstream said.
    virtual void OnNotStarted(upstream_session& session,
                              const task_name& task,
                              run_number run,
                              start_result why) = 0;
    // A run of an earlier owner. It must be adopted or stopped; until then
    // nothing on this upstream is prolonged.
    virtual void OnFound(upstream_session& session,
                         const task_name& task,
                         run_number run) = 0;
    // Room may have changed, or the session became usable.
    virtual void OnCapacityChanged(upstream_session& session) = 0;
    // The upstream has seen a higher token than ours.
    virtual void OnFenced(upstream_session& session) = 0;
  };

  upstream_session(scheduler& clock,
                   upstream_port& port,
                   const upstream_info& info,
                   fencing_token token,
                   const limits& bounds,
                   answer_times& times,
                   owner& told);
  ~upstream_session();
  upstream_session(const upstream_session&) = delete;
  upstream_session& operator=(const upstream_session&) = delete;

  const upstream_info& info() const { return info_; }
  // As it registers now. Another birth is another incarnation.
  void SetInfo(const upstream_info& info);
  // The most of each that it ever had: what has shrunk may grow again.
  const resource_amount& largest_capacity() const { return largest_capacity_; }
  void SetToken(fencing_token token) { token_ = token; }

  // Only if `usable()` and `need` fits into `room()`.
  void Start(const task_name& task,
             run_number run,
             const std::string& spec,
             const resource_amount& need,
             const std::optional<start_delegate>& delegate = std::nullopt);
  // Also of a run that was found, or whose start has no answer yet.
  void Stop(const task_name& task);
  // Takes over a found run as if it had been started here.
  void Adopt(const task_name& task, const resource_amount& need);

  // What runs there is known, or can't be running any more.
  bool settled() const { return life_->settled; }
  // Can be given tasks now.
  bool usable() const;
  // Capacity that no run occupies or may occupy.
  resource_amount room() const {
    return info_.capacity - life_->runs.occupied();
  }
  bool idle() const { return life_->runs.empty(); }
  bool gone() const { return life_->gone; }
  // Of the present incarnation.
  bool HasUnansweredCallSince(time_point since) const {
    return life_->last_unanswered && *life_->last_unanswered >= since;
  }
  // Nothing if it was not listed yet, or without its progress.
  std::optional<run_progress> Progress(const task_name& task) const;
  // Asks for the lists at once.
  void Poll() { SendLook(); }

 private:
  void TakeRegisteredBirth();
  void BeginLife(upstream_birth birth);
  void SendHold(waiting_hold& hold);
  // Beside a hold that waits: when the lease would run out before it returns,
  // or to learn what became of a start.
  void SendLook();
  // Also notes the lease that the order brings.
  hold_order MakeHold();
  answer_of WhoseAnswer(time_point sent, const hold_reply& reply);
  void OnLooked(time_point sent, const hold_reply& reply);
  void OnLookFailed(time_point sent);
  duration RetryPause() const;
  void NextHold(waiting_hold& hold, bool any_end);
  void SendSpareHold();
  void WatchLease();
  void OnAnswered(waiting_hold& hold, time_point sent, const hold_reply& reply);
  void OnHeld(waiting_hold& hold, time_point sent, const hold_reply& reply);
  void TakeHold(time_point sent, const hold_reply& reply);
  void OnHoldFailed(waiting_hold& hold, time_point sent, call_result result);
  void NoteUnanswered() { life_->last_unanswered = clock_.now(); }
  void WatchStarts(duration pause);
  void CheckStarts();
  void RefuseUnlistedStarts(time_point sent, const hold_reply& reply);
  void TakeEnds(const hold_reply& reply);
  void TakeRunning(const hold_reply& reply);
  void JudgeUnlisted(time_point sent, const hold_reply& reply);
  void OnStarted(const task_name& task,
                 run_number run,
                 time_point sent,
                 const start_reply& reply);
  void NoteSeen(run_record& record, const start_reply& reply);
  void SendStop(run_record& record, const task_name& task);
  void OnStopAnswered(run_record& record, call_result result);
  void SettleWithoutAnswer();
  void CheckLapse();
  void EndAll(run_end how);
  void AddMissing(const upstream_loss& loss);
  void TellFoundAgain(bool crashed);
  void NoteLease(upstream_time until);

  scheduler& clock_;
  upstream_port& port_;
  upstream_info info_;
  resource_amount largest_capacity_;
  fencing_token token_;
  limits limits_;
  // Of all upstreams of the home.
  answer_times& times_;
  owner& owner_;
  // When the upstream went out of reach, until it is heard of again.
  std::optional<upstream_loss> missing_;
  time_point begun_;
  std::unique_ptr<incarnation_state> life_;
  // Answers to calls of earlier ones are not taken.
  int lives_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_SESSION_H_
