#include "runs/incarnation_state.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// Answers get lost in spells of seconds, with less than a second between two
// losses on an upstream at work.
constexpr duration kLossMemory = std::chrono::seconds(3);
// An order that is not answered may be carried out seconds later. By then the
// upstream may have another clock, on which the order's time limit lies far
// ahead.
constexpr duration kLongestOnTheWay = std::chrono::seconds(15);
// Holds go on prolonging for so long after the last answer. Without an answer
// they may still arrive, and every lease that may have arrived puts off the
// proof that nothing runs there any more.
constexpr duration kProlongUnanswered = std::chrono::milliseconds(600);
// After an upstream has refused work as unwell: at first, and at most.
constexpr duration kFirstRefusalPause = std::chrono::milliseconds(200);
constexpr duration kLongestRefusalPause = std::chrono::seconds(4);

}  // namespace

incarnation_state::incarnation_state(scheduler& scheduler, upstream_birth born)
    : birth(born),
      refused_until(scheduler.now()),
      clock(scheduler),
      hold(scheduler),
      spare_hold(scheduler),
      look_timer(scheduler),
      start_timer(scheduler),
      lapse_timer(scheduler),
      scheduler_(scheduler) {}

incarnation_state::incarnation_state(scheduler& scheduler,
                                     upstream_birth born,
                                     const incarnation_state& before)
    : incarnation_state(scheduler, born) {
  follows = true;
  settled = before.settled;
  runs = before.runs.Carried();
}

// An answer to a call that was made in the present life comes from this one or
// from a later one, whichever birth it tells.
answer_of incarnation_state::WhoAnswers(const upstream_id& id,
                                        time_point sent,
                                        const hold_reply& reply) {
  if (!reply.birth) {
    if (!birth_answered)
      return answer_of::kPresent;
    LogBirth(id, "upstream_birth_missing", upstream_birth());
    return answer_of::kNobody;
  }
  bool is_first =
      birth == upstream_birth() && !clock.IsRestarted(reply.clock, sent);
  if (is_first)
    birth = *reply.birth;
  if (*reply.birth == birth) {
    birth_answered = true;
    return answer_of::kPresent;
  }
  if (*reply.birth < birth)
    LogBirth(id, "upstream_birth_backwards", *reply.birth);
  return answer_of::kNext;
}

void incarnation_state::LogBirth(const upstream_id& id,
                                 const char* event,
                                 upstream_birth told) const {
  LogEvent(log_level::kInfo, event,
           {{"upstream", id.str()},
            {"birth", birth.value()},
            {"told", told.value()}});
}

// One that does not take orders must not be offered each task in turn.
void incarnation_state::Suspect() {
  refusal_pause =
      std::clamp(refusal_pause * 2, kFirstRefusalPause, kLongestRefusalPause);
  refused_until = scheduler_.now() + refusal_pause;
}

bool incarnation_state::Answers() const {
  return clock.HasReadingSince(scheduler_.now() - kProlongUnanswered);
}

bool incarnation_state::LosesAnswers() const {
  return last_unanswered && scheduler_.now() - *last_unanswered < kLossMemory;
}

bool incarnation_state::LeaseIsOver() const {
  return !clock.known() || IsPast(clock.LowerBound(), lease_end);
}

void incarnation_state::NoteForeignLease(upstream_time given,
                                         const lease_limits& bounds) {
  lease_end =
      std::max(lease_end, {given.ms + WholeMilliseconds(bounds.longest_lease)});
}

std::vector<listed_end> incarnation_state::TakeEnds(const hold_reply& reply) {
  std::vector<listed_end> ends;
  for (const listed_end& end : reply.ended) {
    // Two calls may bring the same end.
    if (end.sequence <= acknowledged)
      continue;
    acknowledged = end.sequence;
    newest_ends = std::max(newest_ends, reply.clock);
    const run_record* known = runs.Find(end.task);
    // The end of an earlier run says nothing about the present one.
    if (known && end.run < known->run)
      continue;
    runs.Remove(end.task);
    ends.push_back(end);
  }
  return ends;
}

// Replies may overtake each other: this one may have been written before the
// end that another one brought, and the run would look like a stranger's.
bool incarnation_state::IsStale(const hold_reply& reply) const {
  uint64_t last_end = reply.ended.empty() ? 0 : reply.ended.back().sequence;
  return reply.clock < newest_ends ||
         (reply.clock == newest_ends && last_end < acknowledged);
}

std::vector<listed_run> incarnation_state::TakeRunning(
    const hold_reply& reply,
    const lease_limits& bounds) {
  std::vector<listed_run> strangers;
  for (const listed_run& listed : reply.running) {
    run_record* known = runs.Find(listed.task);
    if (!known) {
      if (IsStale(reply))
        continue;
      runs.PutFound(listed, scheduler_.now());
      strangers.push_back(listed);
      continue;
    }
    if (listed.run < known->run)
      continue;
    // The order that began it brought a lease by an earlier one's clock.
    if (known->carried)
      NoteForeignLease(reply.clock, bounds);
    known->NoteListed(listed, scheduler_.now());
  }
  return strangers;
}

bool incarnation_state::MayBeginLater(const run_record& record,
                                      time_point now) const {
  return birth != upstream_birth() && !gone &&
         (record.IsUnclear() || record.carried) &&
         now - record.since < kLongestOnTheWay;
}

std::vector<run_over> incarnation_state::TakeAllOver(time_point now) {
  std::vector<run_over> over;
  for (const auto& [task, record] : runs.all()) {
    if (!MayBeginLater(record, now))
      over.push_back({task, record.run, false, record.seen});
  }
  for (const run_over& each : over)
    runs.Remove(each.task);
  return over;
}

}  // namespace jasminedyke
