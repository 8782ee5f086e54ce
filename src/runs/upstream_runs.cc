#include "runs/upstream_runs.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "runs/upstream_clock.h"

namespace jasminedyke {

namespace {

auto OrderOf(const listed_run* listed) {
  return std::tie(listed->task, listed->run);
}

bool HasEnded(const run_record& record,
              time_point sent,
              const hold_reply& reply) {
  if (!record.IsUnconfirmed())
    return record.since < sent;
  bool stopped = record.stop_confirmed_at && sent >= *record.stop_confirmed_at;
  bool expired = !record.carried && IsPast(reply.clock, record.not_after);
  return stopped || expired;
}

}  // namespace

listed_runs::listed_runs(const hold_reply& reply) {
  listed_.reserve(reply.running.size());
  for (const listed_run& each : reply.running)
    listed_.push_back(&each);
  std::ranges::sort(listed_, std::less(), OrderOf);
}

bool listed_runs::Contain(const task_name& task, run_number run) const {
  auto found = std::ranges::lower_bound(listed_, std::tie(task, run),
                                        std::less(), OrderOf);
  return found != listed_.end() && (*found)->task == task;
}

void run_record::NoteListed(const listed_run& listed, time_point now) {
  seen = true;
  carried = false;
  if (listed.percent)
    NoteProgress(*listed.percent, now);
  if (!IsUnconfirmed())
    return;
  phase = run_phase::kRunning;
  since = now;
}

void run_record::NoteProgress(int percent, time_point now) {
  // A lower percentage comes from a reply that a newer one overtook.
  if (progress && percent < progress->percent)
    return;
  if (!progress || percent > progress->percent)
    progress = run_progress{percent, now, now, now};
  progress->listed = now;
}

run_record* upstream_runs::Find(const task_name& task) {
  auto found = runs_.find(task);
  return found == runs_.end() ? nullptr : &found->second;
}

const run_record* upstream_runs::Find(const task_name& task) const {
  auto found = runs_.find(task);
  return found == runs_.end() ? nullptr : &found->second;
}

void upstream_runs::Put(const task_name& task, const run_record& record) {
  runs_[task] = record;
  occupied_ += record.need;
}

void upstream_runs::PutFound(const listed_run& listed, time_point now) {
  run_record record;
  record.run = listed.run;
  record.phase = run_phase::kFound;
  record.since = now;
  record.seen = true;
  Put(listed.task, record);
}

void upstream_runs::Adopt(run_record& record, const resource_amount& need) {
  record.phase = run_phase::kRunning;
  record.need = need;
  occupied_ += need;
}

void upstream_runs::Remove(const task_name& task) {
  auto found = runs_.find(task);
  if (found == runs_.end())
    return;
  occupied_ -= found->second.need;
  runs_.erase(found);
}

bool upstream_runs::HasFound() const {
  return std::ranges::any_of(runs_, [](const auto& entry) {
    return entry.second.phase == run_phase::kFound;
  });
}

size_t upstream_runs::Unconfirmed() const {
  return static_cast<size_t>(std::ranges::count_if(
      runs_, [](const auto& entry) { return entry.second.IsUnconfirmed(); }));
}

std::vector<task_name> upstream_runs::UnconfirmedLongerThan(
    time_point now,
    duration patience) const {
  std::vector<task_name> unconfirmed;
  for (const auto& [task, record] : runs_) {
    if (record.IsUnconfirmed() &&
        (record.carried || now - record.since >= patience))
      unconfirmed.push_back(task);
  }
  return unconfirmed;
}

std::vector<ended_run> upstream_runs::EndedRuns(time_point sent,
                                                const hold_reply& reply) const {
  std::vector<ended_run> ended;
  listed_runs listed(reply);
  for (const auto& [task, record] : runs_) {
    if (!listed.Contain(task, record.run) && HasEnded(record, sent, reply))
      ended.push_back(
          {task, record.run, record.IsUnconfirmed() && !record.carried});
  }
  return ended;
}

upstream_runs upstream_runs::ForNextIncarnation() const {
  upstream_runs carried;
  for (const auto& [task, record] : runs_) {
    if (record.seen)
      continue;
    run_record next = record;
    if (next.IsUnconfirmed())
      next.phase = run_phase::kUnanswered;
    next.carried = true;
    next.stop_confirmed_at.reset();
    next.stop_in_flight = false;
    carried.Put(task, next);
  }
  return carried;
}

}  // namespace jasminedyke
