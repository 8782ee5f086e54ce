// One upstream under this instance's ownership: its clock, its lease, and all
// that runs on it.

#ifndef SRC_RUNS_UPSTREAM_SESSION_H_
#define SRC_RUNS_UPSTREAM_SESSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "runs/answer_times.h"
#include "runs/run_types.h"
#include "runs/upstream_clock.h"
#include "runs/upstream_port.h"
#include "runs/upstream_registry.h"

namespace jasminedyke {

// How far a run has come, as its upstream lists it.
struct run_progress {
  int percent = 0;
  // When the run was known to have begun: a start may be carried out late.
  time_point began;
  // When this per cent was first listed, and when it last was.
  time_point reached;
  time_point listed;
};

// Keeps one hold call waiting at the upstream at nearly all times: it prolongs
// the lease, acknowledges ends and brings new ones as they happen. While
// answers get lost there are two, or each lost one would hide all ends until it
// times out.
//
// A run is over for us only when that is proven: the upstream listed its end,
// or did not list it in answer to a hold sent when it could no longer begin,
// or has not had its lease prolonged for longer than the lease. Until then its
// task must not start anywhere else, or it could run twice at one time.
//
// A start that stays unanswered is looked for after a moment; one that is not
// there is stopped, since a stopped run number can never begin. That proves
// within some 10 ms what the order's own time limit would prove after 500.
class upstream_session {
 public:
  // Told of the session's runs. Calls of the session from within these
  // functions are allowed; destroying it is not.
  class owner {
   public:
    virtual ~owner() = default;
    virtual void OnRunEnded(upstream_session& session,
                            const task_name& task,
                            run_number run,
                            run_end how) = 0;
    // The upstream crashed (`crashed`), or was out of reach for longer than its
    // lease, while these ran there. The end of each follows.
    virtual void OnLost(upstream_session& session,
                        const std::vector<task_name>& ran,
                        bool crashed) = 0;
    // What became of an upstream that was out of reach when these ran there.
    virtual void OnFoundAgain(upstream_session& session,
                              const std::vector<task_name>& ran,
                              bool crashed) = 0;
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
    virtual void OnRoom(upstream_session& session) = 0;
    // The upstream has seen a higher token than ours.
    virtual void OnFenced(upstream_session& session) = 0;
  };

  struct limits {
    // The longest lease that upstreams grant.
    duration longest_lease = std::chrono::milliseconds(1000);
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
  bool settled() const { return settled_; }
  // Can be given tasks now.
  bool usable() const;
  // Capacity that no run occupies or may occupy.
  resource_amount room() const { return info_.capacity - occupied_; }
  bool idle() const { return runs_.empty(); }
  bool gone() const { return gone_; }
  // Nothing if it was not listed yet, or without its progress.
  std::optional<run_progress> Progress(const task_name& task) const;
  // Asks for the lists at once.
  void Look() { SendLook(); }

 private:
  enum class run_phase {
    kFound,     // listed, of an earlier owner, not yet adopted
    kStarting,  // ordered, no answer yet
    kUnproven,  // the order was not answered; it may run or may not
    kRunning,
  };

  struct run_record {
    run_number run;
    resource_amount need;
    run_phase phase = run_phase::kStarting;
    // When the order was sent, and for `kRunning` when we learnt that it runs,
    // on our clock. Only what is asked later can show that it ended: a hold
    // that waited may list a run that began long after the hold was sent.
    time_point since;
    // An order that was not carried out by then never will be.
    upstream_time not_after;
    // The upstream confirmed the run's stop then: it can't begin any more.
    std::optional<time_point> refused_since;
    bool stop_wanted = false;
    bool stop_in_flight = false;
    std::optional<run_progress> progress;

    // Not known to have begun.
    bool IsUnclear() const {
      return phase == run_phase::kStarting || phase == run_phase::kUnproven;
    }
    void NoteProgress(int percent, time_point now);
  };
  using run_map = std::map<task_name, run_record>;

  // A call that waits at the upstream for the next end.
  struct waiting_hold {
    explicit waiting_hold(scheduler& clock) : timer(clock) {}

    bool in_flight = false;
    // Nothing ran when it was sent: it waits long and brings no lease.
    bool idle = true;
    scoped_timer timer;
  };

  void SendHold(waiting_hold& hold);
  // Beside a hold that waits: when the lease would run out before it returns,
  // or to learn what became of a start.
  void SendLook();
  // Also notes the lease that the order brings.
  hold_order MakeHold();
  bool Answers() const;
  void OnLookFailed(time_point sent);
  duration RetryPause() const;
  void Suspect();
  void NextHold(waiting_hold& hold, bool any_end);
  void SendSpareHold();
  void WatchLease();
  void OnHeld(waiting_hold& hold, time_point sent, const hold_reply& reply);
  void TakeHold(time_point sent, const hold_reply& reply);
  void OnHoldFailed(waiting_hold& hold, time_point sent, call_result result);
  void NoteUnanswered() { last_unanswered_ = clock_.now(); }
  // Some of its answers got lost lately.
  bool LosesAnswers() const;
  void WatchStarts(duration pause);
  void CheckStarts();
  bool IsInDoubt(const run_record& record, time_point now) const;
  void RefuseUnlistedStarts(time_point sent, const hold_reply& reply);
  void TakeEnds(const hold_reply& reply);
  void TakeRunning(const hold_reply& reply);
  void JudgeUnlisted(time_point sent, const hold_reply& reply);
  void OnStarted(const task_name& task,
                 run_number run,
                 time_point sent,
                 const start_reply& reply);
  void SendStop(const task_name& task);
  void OnStopAnswered(run_record& record, call_result result);
  void SettleWithoutAnswer();
  bool HasFoundRuns() const;
  bool LeaseIsOver() const;
  void CheckLapse();
  void EndAll(run_end how);
  void TellFoundAgain(bool crashed);
  void Remove(run_map::iterator found);
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
  // What ran when the upstream went out of reach, until it is heard of again.
  std::vector<task_name> missing_;
  // At most one run of a task. `occupied_` is the sum of all needs.
  run_map runs_;
  resource_amount occupied_;
  bool settled_ = false;
  bool gone_ = false;
  bool look_in_flight_ = false;
  // A look was wanted while one was under way, which may not show it.
  bool look_again_ = false;
  int failed_holds_ = 0;
  // A start has had no answer for longer than usual, and no other call since.
  bool in_doubt_ = false;
  std::optional<time_point> last_unanswered_;
  // Until then it gets nothing new, because it refused work.
  time_point refused_until_;
  duration refusal_pause_ = duration::zero();
  time_point begun_;
  upstream_clock upstream_clock_;
  // Nothing on the upstream outlives this time on its clock.
  upstream_time lease_end_;
  // What runs there lives until then, if our orders arrived.
  upstream_time given_until_;
  uint64_t acknowledged_ = 0;
  // The upstream's clock in the newest reply that brought ends.
  upstream_time newest_ends_;
  waiting_hold hold_;
  waiting_hold spare_hold_;
  scoped_timer look_timer_;
  scoped_timer start_timer_;
  scoped_timer lapse_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_SESSION_H_
