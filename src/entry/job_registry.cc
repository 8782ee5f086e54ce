#include "entry/job_registry.h"

#include <utility>

namespace jasminedyke {

namespace {

constexpr duration kResultLife = std::chrono::seconds(60);
// Bounds the memory for remembered ids, at about 400 bytes each.
constexpr size_t kMaxRecords = 100'000;
constexpr size_t kMaxResultBytes = 32 * 1024 * 1024;
// Some more than the life of an id, so that a record outlives every
// submission under its id.
constexpr duration kRecordLife = kMintedIdLife + std::chrono::minutes(1);

http_reply UnknownJob() {
  error_reply error;
  error.status = 404;
  error.reason = "unknown_job";
  error.run = run_state::kMaybeRun;
  error.detail = "this team has no such job here";
  return MakeErrorReply(error);
}

http_reply ResultGone(const std::string& job) {
  error_reply error;
  error.status = 410;
  error.reason = "result_gone";
  error.run = run_state::kMaybeRun;
  error.job = job;
  error.detail = "the job is over and its result is no longer kept";
  return MakeErrorReply(error);
}

http_reply Refuse(int status, const char* reason, const char* detail) {
  error_reply error;
  error.status = status;
  error.reason = reason;
  error.detail = detail;
  return MakeErrorReply(error);
}

}  // namespace

job_registry::job_registry(scheduler& clock,
                           dispatcher& jobs,
                           job_id_mint& mint)
    : clock_(clock), jobs_(jobs), mint_(mint) {}

job_registry::waiter_id job_registry::Submit(const job_id& id,
                                             const team_id& team,
                                             const std::string& body,
                                             const class_settings* settings,
                                             const job_submission& submission,
                                             reply_callback done) {
  DropOldRecords();
  if (!mint_.IsOurs(id, team)) {
    done(Refuse(404, "unknown_job", "this team has no such job id"));
    return 0;
  }
  std::string name = id.ToString();
  std::string digest = Sha256Hex(body);
  if (record* known = Find(id, team)) {
    // Two different jobs under one id: one of them would get the other's
    // answer.
    if (known->body_digest != digest) {
      done(Refuse(409, "different_submission",
                  "another job was submitted under this id"));
      return 0;
    }
    return AddWaiter(*known, std::move(done));
  }
  if (auto refusal = RefuseNew(id, settings)) {
    done(*refusal);
    return 0;
  }
  job_spec spec;
  spec.name = name;
  spec.team = team;
  spec.work_class = submission.work_class;
  spec.settings = *settings;
  spec.tasks = submission.tasks;
  spec.timeout = submission.timeout;
  auto started = jobs_.Submit(
      std::move(spec),
      [this, id](const job_outcome& result) { OnFinished(id, result); });
  if (!started.ok()) {
    done(MakeRefusalReply(started.error()));
    return 0;
  }
  ++running_;
  if (id.minted_ahead())
    order_.push_back(id);
  record& fresh = records_[name];
  fresh.team = team;
  fresh.body_digest = digest;
  fresh.job = started.value();
  return AddWaiter(fresh, std::move(done));
}

job_registry::waiter_id job_registry::Wait(const job_id& id,
                                           const team_id& team,
                                           reply_callback done) {
  record* known = Find(id, team);
  if (!known) {
    bool never_submitted = mint_.IsOurs(id, team) && id.minted_ahead() &&
                           mint_.Age(id) <= kMintedIdLife;
    done(never_submitted ? Refuse(404, "not_submitted",
                                  "no job was submitted under this id")
                         : UnknownJob());
    return 0;
  }
  return AddWaiter(*known, std::move(done));
}

void job_registry::Cancel(const job_id& id,
                          const team_id& team,
                          reply_callback done) {
  record* known = Find(id, team);
  if (!known) {
    done(UnknownJob());
    return;
  }
  AddWaiter(*known, std::move(done));
  jobs_.Cancel(known->job);
}

void job_registry::Forget(const job_id& id, waiter_id waiter_number) {
  auto found = records_.find(id.ToString());
  if (found == records_.end())
    return;
  std::erase_if(found->second.waiters,
                [&](const waiter& each) { return each.id == waiter_number; });
}

job_registry::record* job_registry::Find(const job_id& id,
                                         const team_id& team) {
  auto found = records_.find(id.ToString());
  if (found == records_.end() || found->second.team != team)
    return nullptr;
  return &found->second;
}

std::optional<http_reply> job_registry::RefuseNew(
    const job_id& id,
    const class_settings* settings) const {
  // It may have run so long ago that its record is gone.
  if (mint_.Age(id) > kMintedIdLife) {
    error_reply error;
    error.status = 410;
    error.reason = "job_id_expired";
    error.run = run_state::kMaybeRun;
    error.detail = "take a new job id";
    return MakeErrorReply(error);
  }
  if (order_.size() >= kMaxRecords)
    return Refuse(429, "queue_full", "too many job ids are in use");
  if (!settings)
    return Refuse(404, "unknown_class", "there is no such class of work");
  return std::nullopt;
}

job_registry::waiter_id job_registry::AddWaiter(record& r,
                                                reply_callback done) {
  if (r.job == 0) {
    DropOldResults();
    done(r.result ? *r.result : ResultGone(""));
    return 0;
  }
  r.waiters.push_back({++last_waiter_, std::move(done)});
  return last_waiter_;
}

void job_registry::OnFinished(const job_id& id, const job_outcome& result) {
  --running_;
  std::string name = id.ToString();
  record& r = records_.at(name);
  r.job = 0;
  r.finished = clock_.now();
  r.result = std::make_shared<http_reply>(MakeJobReply(name, result));
  auto reply = r.result;
  auto waiters = std::exchange(r.waiters, {});
  if (id.minted_ahead())
    KeepResult(r, name);
  else
    records_.erase(name);
  for (waiter& each : waiters)
    each.done(*reply);
  DropOldResults();
}

void job_registry::KeepResult(record& r, const std::string& name) {
  result_bytes_ += r.result->body.size();
  results_.push_back(name);
}

void job_registry::DropOldResults() {
  while (!results_.empty()) {
    record& oldest = records_.at(results_.front());
    bool expired = clock_.now() - oldest.finished > kResultLife;
    if (!expired && result_bytes_ <= kMaxResultBytes)
      return;
    result_bytes_ -= oldest.result->body.size();
    oldest.result.reset();
    results_.pop_front();
  }
}

void job_registry::DropOldRecords() {
  DropOldResults();
  while (!order_.empty()) {
    const job_id& oldest = order_.front();
    auto found = records_.find(oldest.ToString());
    bool keep = mint_.Age(oldest) <= kRecordLife || found->second.job != 0 ||
                found->second.result;
    if (keep)
      return;
    records_.erase(found);
    order_.pop_front();
  }
}

}  // namespace jasminedyke
