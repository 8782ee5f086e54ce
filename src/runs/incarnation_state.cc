#include "runs/incarnation_state.h"

#include <algorithm>

#include "runs/late_starts.h"

namespace jasminedyke {

namespace {

// Time after an unanswered call during which more replies are expected to be
// lost. Losses come in bursts that last seconds, with less than a second
// between two losses on a busy upstream.
constexpr duration kUnansweredCallWindow = std::chrono::seconds(3);
// How long after the last reply holds continue to extend the lease. An
// unanswered hold may still arrive, and every lease that it may have extended
// delays the proof that nothing runs on the upstream any more.
constexpr duration kMaxProlongWithoutReply = std::chrono::milliseconds(600);
// Bounds of the pause before new starts after an upstream has refused
// work.
constexpr duration kMinBackoff = std::chrono::milliseconds(200);
constexpr duration kMaxBackoff = std::chrono::seconds(4);

}  // namespace

incarnation_state::incarnation_state(scheduler& scheduler,
                                     upstream_birth initial_birth)
    : birth(initial_birth),
      no_starts_until(scheduler.now()),
      clock(scheduler),
      hold(scheduler),
      second_hold(scheduler),
      poll_timer(scheduler),
      start_timer(scheduler),
      stop_timer(scheduler),
      refusal_timer(scheduler),
      lapse_timer(scheduler),
      scheduler_(scheduler) {}

incarnation_state::incarnation_state(scheduler& scheduler,
                                     upstream_birth initial_birth,
                                     const incarnation_state& predecessor)
    : incarnation_state(scheduler, initial_birth) {
  has_predecessor = true;
  settled = predecessor.settled;
  runs = predecessor.runs.ForNextIncarnation();
}

// The reply to a call made during this incarnation comes from this incarnation
// or a later one, whichever birth it contains: another birth means a later
// incarnation even if it is lower, as after a time of day that was set back.
reply_source incarnation_state::ClassifyReply(const upstream_id& id,
                                              time_point sent,
                                              const hold_reply& reply) {
  if (!reply.birth) {
    if (!birth_confirmed)
      return reply_source::kCurrent;
    LogBirth(id, "upstream_birth_missing", upstream_birth());
    return reply_source::kUnusable;
  }
  bool is_first =
      birth == upstream_birth() && !clock.IsRestarted(reply.clock, sent);
  if (is_first)
    birth = *reply.birth;
  if (*reply.birth == birth) {
    birth_confirmed = true;
    return reply_source::kCurrent;
  }
  if (*reply.birth < birth)
    LogBirth(id, "upstream_birth_backwards", *reply.birth);
  return reply_source::kLater;
}

void incarnation_state::LogBirth(const upstream_id& id,
                                 const char* event,
                                 upstream_birth told) const {
  LogEvent(log_level::kInfo, event,
           {{"upstream", id.str()},
            {"birth", birth.value()},
            {"told", told.value()}});
}

// An upstream that refuses orders must not be offered one task after another.
void incarnation_state::BackOff() {
  backoff = std::clamp(backoff * 2, kMinBackoff, kMaxBackoff);
  no_starts_until = scheduler_.now() + backoff;
}

bool incarnation_state::HasRecentReply() const {
  return clock.HasReadingSince(scheduler_.now() - kMaxProlongWithoutReply);
}

bool incarnation_state::HasRecentUnansweredCall() const {
  return last_unanswered_call &&
         scheduler_.now() - *last_unanswered_call < kUnansweredCallWindow;
}

bool incarnation_state::IsLeaseExpired() const {
  return !clock.known() || IsPast(clock.LowerBound(), lease_end);
}

void incarnation_state::AddUnknownLease(upstream_time granted,
                                        const lease_limits& limits) {
  lease_end = std::max(lease_end,
                       {granted.ms + WholeMilliseconds(limits.longest_lease)});
}

std::vector<listed_end> incarnation_state::ApplyEnds(const hold_reply& reply) {
  std::vector<listed_end> ends;
  for (const listed_end& end : reply.ended) {
    // The replies to two calls may contain the same end.
    if (end.sequence <= acknowledged)
      continue;
    acknowledged = end.sequence;
    last_ends_time = std::max(last_ends_time, reply.clock);
    const run_record* known = runs.Find(end.task);
    // The end of an earlier run of the task does not end its current run.
    if (known && end.run < known->run)
      continue;
    runs.Remove(end.task);
    ends.push_back(end);
  }
  return ends;
}

// Returns whether `reply` may have been written before the last end that
// was received, as replies may arrive out of order. A run that has ended since
// would look like a run of an earlier owner.
bool incarnation_state::IsOutdated(const hold_reply& reply) const {
  uint64_t last_end = reply.ended.empty() ? 0 : reply.ended.back().sequence;
  return reply.clock < last_ends_time ||
         (reply.clock == last_ends_time && last_end < acknowledged);
}

std::vector<listed_run> incarnation_state::ApplyRunning(
    const hold_reply& reply,
    const lease_limits& limits) {
  std::vector<listed_run> unknown_runs;
  for (const listed_run& listed : reply.running) {
    run_record* known = runs.Find(listed.task);
    if (!known) {
      if (IsOutdated(reply))
        continue;
      runs.PutFound(listed, scheduler_.now());
      unknown_runs.push_back(listed);
      continue;
    }
    if (listed.run < known->run)
      continue;
    // The lease in the order that started it was computed for the clock of an
    // earlier incarnation.
    if (known->carried)
      AddUnknownLease(reply.clock, limits);
    known->NoteListed(listed, scheduler_.now());
  }
  return unknown_runs;
}

// By the time at which an order is executed another incarnation may run, on
// whose clock the order's time limit is far in the future.
bool incarnation_state::MayStartLater(const run_record& record,
                                      time_point now) const {
  return birth != upstream_birth() && !gone &&
         (record.IsUnconfirmed() || record.carried) &&
         now - record.since < kMaxOrderDelay;
}

std::vector<ended_run> incarnation_state::RemoveEndedRuns(time_point now) {
  std::vector<ended_run> ended_runs;
  for (const auto& [task, record] : runs.all()) {
    if (!MayStartLater(record, now))
      ended_runs.push_back({task, record.run, false, record.seen});
  }
  for (const ended_run& entry : ended_runs)
    runs.Remove(entry.task);
  return ended_runs;
}

}  // namespace jasminedyke
