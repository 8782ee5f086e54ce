// Session with one upstream that this instance owns: its clock, its lease and
// its runs.

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
#include "runs/late_starts.h"
#include "runs/run_types.h"
#include "runs/upstream_port.h"
#include "runs/upstream_registry.h"
#include "runs/upstream_runs.h"

namespace jasminedyke {

// Keeps a hold call waiting at the upstream nearly all the time. The hold
// extends the lease, acknowledges ends and returns new ones as they happen.
// While replies are being lost a second hold is kept, as each lost reply would
// otherwise hide all ends until it times out.
//
// An upstream id may refer to a sequence of incarnations. The session outlives
// them, as do its owner and the orders sent to earlier incarnations; the rest
// is kept in `incarnation_state`.
//
// A run counts as over only when one of these proves it: the upstream listed
// its end; the reply to a hold that was sent when the run could no longer start
// did not list it; its lease has expired; another incarnation has replied or
// registered. Until then its task must not be started elsewhere, or two runs of
// it could overlap.
//
// If a start stays unanswered, it is sent again under its number: the upstream
// starts the run at most once, whichever order arrives first. If that isn't
// possible, a run that a poll does not list is stopped, as a stopped run number
// can never start in the same incarnation. This gives the proof within a few
// round trips, long before the order's time limit. Later incarnations are told
// to refuse the run as well, but may carry the order out before: see
// `late_starts`.
class upstream_session {
 public:
  using limits = lease_limits;

  // Receives the events of the session. The functions may call the session, but
  // must not destroy it.
  class owner {
   public:
    virtual ~owner() = default;
    virtual void OnRunEnded(upstream_session& session,
                            const task_name& task,
                            run_number run,
                            run_end how) = 0;
    // Runs were lost with the upstream. `OnRunEnded` follows for each of them,
    // immediately if its end is proven already.
    virtual void OnLost(upstream_session& session,
                        const upstream_loss& loss) = 0;
    // The earlier loss of an unreachable upstream is resolved: the upstream
    // replies again or, if `crashed`, is known to have crashed.
    virtual void OnFoundAgain(upstream_session& session,
                              const upstream_loss& loss,
                              bool crashed) = 0;
    // A later incarnation of the upstream was found: the upstream has crashed
    // and restarted under the same id. `OnLost` follows if runs were lost with
    // the earlier incarnation.
    virtual void OnReborn(upstream_session& session) = 0;
    // The run has not started, and the upstream's current incarnation refuses
    // it; `why` is the reply to its start, or `kUnknown`. A later incarnation
    // may start it if `late_starts` has an order for it.
    virtual void OnNotStarted(upstream_session& session,
                              const task_name& task,
                              run_number run,
                              start_result why) = 0;
    // The run's start has gone unanswered and may be repeated. Returns whether
    // the owner has called `RepeatStart`.
    virtual bool OnStartUnanswered(upstream_session& session,
                                   const task_name& task,
                                   run_number run) = 0;
    // A run of an earlier owner was found. The lease is not extended until the
    // run is adopted or stopped.
    virtual void OnFound(upstream_session& session,
                         const task_name& task,
                         run_number run) = 0;
    // `room()` may have changed, or the session has become usable.
    virtual void OnCapacityChanged(upstream_session& session) = 0;
    // The upstream has seen a higher token than the session's.
    virtual void OnFenced(upstream_session& session) = 0;
    // The time by which the task's run must be over, by `scheduler::boot_now`.
    // Leases of its upstream end by then.
    virtual time_point EndOfRun(const task_name& task) const = 0;
  };

  upstream_session(scheduler& clock,
                   upstream_port& port,
                   const upstream_info& info,
                   fencing_token token,
                   const limits& session_limits,
                   answer_times& times,
                   late_starts& late,
                   owner& session_owner);
  ~upstream_session();
  upstream_session(const upstream_session&) = delete;
  upstream_session& operator=(const upstream_session&) = delete;

  const upstream_info& info() const { return info_; }
  // Applies a new registration. A later birth begins another incarnation; a
  // registration of an earlier one is ignored.
  void SetInfo(const upstream_info& info);
  // The upstream is not registered any more: nothing more may be started, as a
  // successor of the owner would not know of it.
  void SetUnregistered() { registered_ = false; }
  // The maximum of each resource in all registrations of the incarnation, as
  // capacity that has shrunk may grow again.
  const resource_amount& largest_capacity() const { return largest_capacity_; }

  // Must be called only if `usable()` and if `need` fits into `room()`.
  void Start(const task_name& task,
             run_number run,
             const std::string& spec,
             const resource_amount& need,
             const std::optional<start_delegate>& delegate = std::nullopt);
  // Sends the order to start the run again, with the same number. Must be
  // called only from `OnStartUnanswered`.
  void RepeatStart(const task_name& task,
                   const std::string& spec,
                   const std::optional<start_delegate>& delegate);
  // Stops the task's run, also one that was found or whose start is
  // unanswered.
  void Stop(const task_name& task);
  // Takes over a found run as if this session had started it.
  void Adopt(const task_name& task, const resource_amount& need);

  // Whether it is known what runs on the upstream, or that nothing can run
  // there any more.
  bool settled() const { return incarnation_->settled; }
  // Whether the upstream's incarnation has replied to this session, and so
  // refuses owners with lower tokens, or is gone.
  bool heard() const {
    return incarnation_->any_hold_answered || incarnation_->gone;
  }
  // Whether tasks can be started now.
  bool usable() const;
  // Whether a run may have to end so soon that the lease of a start would be
  // too short. The upstream's room is only out of use for a moment.
  bool IsLeaseCut() const {
    return incarnation_->lease_cut && !incarnation_->runs.empty();
  }
  // Capacity that no run occupies or may occupy.
  resource_amount room() const {
    return info_.capacity - incarnation_->runs.occupied();
  }
  // How many starts the upstream has not confirmed yet.
  size_t unconfirmed_starts() const { return incarnation_->runs.Unconfirmed(); }
  bool idle() const { return incarnation_->runs.empty(); }
  bool gone() const { return incarnation_->gone; }
  // Whether a call to the current incarnation went unanswered at or after
  // `since`.
  bool HasUnansweredCallSince(time_point since) const {
    return incarnation_->last_unanswered_call &&
           *incarnation_->last_unanswered_call >= since;
  }
  // Whether the start of the task's run was sent again and has not been
  // answered yet.
  bool IsStartRepeated(const task_name& task) const;
  // Empty if the run has not been listed with its progress.
  std::optional<run_progress> Progress(const task_name& task) const;
  // Requests the lists of running and ended runs immediately.
  void Poll() { SendPoll(); }

 private:
  void ApplyRegisteredBirth();
  // Sends the order to start the run of `record`.
  void SendStart(const task_name& task,
                 run_record& record,
                 const std::string& spec,
                 const std::optional<start_delegate>& delegate);
  // Records that the order for the run that was sent at `sent` may arrive late.
  void AddLateStart(const task_name& task, run_number run, time_point sent);
  // Whether the start of an unanswered run may be sent again.
  bool MayRepeat(const run_record& record) const;
  void BeginIncarnation(upstream_birth birth);
  void SendHold(hold_call& hold);
  // Sends a hold that does not wait, in addition to the waiting one: when the
  // lease would expire before the waiting hold returns, or to check unanswered
  // starts.
  void SendPoll();
  // Returns the latest time at which a lease may end that is granted now, and
  // records whether that is soon.
  upstream_time NextLeaseEnd();
  // Returns the order for the next hold, and records the lease that the order
  // requests.
  hold_order MakeHoldOrder();
  // Returns which incarnation has replied; begins it if it is a later one.
  reply_source ResolveReplySource(time_point sent, const hold_reply& reply);
  void OnPollReply(time_point sent, const hold_reply& reply);
  void OnPollFailed(time_point sent);
  duration RetryPause() const;
  static duration EarlyReplyPause(const hold_call& hold);
  void ScheduleNextHold(hold_call& hold, bool any_end);
  void SendSecondHold();
  void ScheduleLeasePoll();
  // Handles the reply to a hold, whichever incarnation sent it.
  void OnHoldReply(hold_call& hold, time_point sent, const hold_reply& reply);
  // Handles the reply to a hold that the current incarnation sent.
  void OnHoldAnswered(hold_call& hold,
                      time_point sent,
                      const hold_reply& reply);
  void ApplyReply(time_point sent, const hold_reply& reply);
  void OnHoldFailed(hold_call& hold, time_point sent, call_result result);
  void RecordUnansweredCall() {
    incarnation_->last_unanswered_call = clock_.now();
  }
  void ScheduleStartCheck(duration pause);
  // Returns whether a start was sent again.
  bool CheckStarts();
  bool RepeatStarts(const std::vector<task_name>& overdue);
  // Has the owner send the start of `record` again when that is due. Returns
  // false if it can't be repeated.
  bool RequestRepeat(run_record& record, const task_name& task);
  void StopUnlistedStarts(time_point sent, const hold_reply& reply);
  void ApplyEnds(const hold_reply& reply);
  void ApplyRunning(const hold_reply& reply);
  void EndUnlistedRuns(time_point sent, const hold_reply& reply);
  void OnStarted(const task_name& task,
                 run_number run,
                 time_point sent,
                 upstream_time ordered,
                 const start_reply& reply);
  void UpdateSeen(run_record& record,
                  upstream_time ordered,
                  const start_reply& reply);
  void SendStop(run_record& record, const task_name& task);
  void OnStopAnswered(run_record& record, call_result result);
  // Sends the orders to stop again that went unanswered.
  void ScheduleStopRetry();
  // Has the current incarnation refuse the starts that may arrive late and that
  // are not in use any more.
  void RefuseStarts();
  void RefuseStart(const late_starts::start& refused);
  void ScheduleRefusals();
  // Counts an upstream that has never replied as settled, as it has been silent
  // for too long.
  void SettleWithoutReply();
  // Ends the runs if the lease has expired; otherwise checks again later.
  void CheckLapse();
  void EndRuns(run_end how);
  void AddUnreachableRuns(const upstream_loss& loss);
  void ReportFoundAgain(bool crashed);
  void RecordRequestedLease(upstream_time until);

  scheduler& clock_;
  upstream_port& port_;
  upstream_info info_;
  bool registered_ = true;
  resource_amount largest_capacity_;
  const fencing_token token_;
  limits limits_;
  // Reply times of all upstreams of the home.
  answer_times& times_;
  owner& owner_;
  // The runs that were lost when the upstream became unreachable, until it
  // replies again or is known to have crashed.
  std::optional<upstream_loss> unreachable_loss_;
  time_point created_at_;
  // Of all upstreams of the home; outlives the session.
  late_starts& late_starts_;
  std::unique_ptr<incarnation_state> incarnation_;
  // Number of the current incarnation. Replies to calls of earlier ones are
  // ignored.
  int incarnation_number_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_SESSION_H_
