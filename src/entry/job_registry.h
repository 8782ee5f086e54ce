// The jobs that this instance owns, by their ids, from submission until
// nobody can ask for them any more.

#ifndef SRC_ENTRY_JOB_REGISTRY_H_
#define SRC_ENTRY_JOB_REGISTRY_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "entry/dispatcher.h"
#include "entry/job_id.h"
#include "entry/job_json.h"

namespace jasminedyke {

// How long after its minting an id can be submitted under.
inline constexpr duration kMintedIdLife = std::chrono::minutes(10);

// Runs each id at most once, however often it is submitted: later submissions
// wait for the first one's result. For that an id minted ahead is remembered
// until no submission under it is accepted any more. All requests come with
// the team, and one team learns nothing about another's ids.
class job_registry {
 public:
  using reply_callback = std::function<void(const http_reply&)>;

  // One who waits for a result; cancelling him leaves the job running.
  using waiter_id = uint64_t;

  job_registry(scheduler& clock, dispatcher& jobs, job_id_mint& mint);

  // `done` is called once, maybe from within this call. `body` identifies the
  // submission: another body under the same id is refused.
  waiter_id Submit(const job_id& id,
                   const team_id& team,
                   const std::string& body,
                   const class_settings* settings,
                   const job_submission& submission,
                   reply_callback done);
  // Waits for the result.
  waiter_id Wait(const job_id& id, const team_id& team, reply_callback done);
  void Cancel(const job_id& id, const team_id& team, reply_callback done);

  // The waiter is called no more.
  void Forget(const job_id& id, waiter_id waiter);

  size_t running() const { return running_; }
  size_t remembered() const { return records_.size(); }

 private:
  struct waiter {
    waiter_id id = 0;
    reply_callback done;
  };
  struct record {
    team_id team;
    std::string body_digest;
    // 0 once the job is over.
    local_job job = 0;
    std::vector<waiter> waiters;
    // The result, while it is kept.
    std::shared_ptr<const http_reply> result;
    time_point finished;
  };

  record* Find(const job_id& id, const team_id& team);
  // A reply if the submission must not start a job.
  std::optional<http_reply> RefuseNew(const job_id& id,
                                      const class_settings* settings) const;
  waiter_id AddWaiter(record& r, reply_callback done);
  void OnFinished(const job_id& id, const job_outcome& result);
  void KeepResult(record& r, const std::string& name);
  void DropOldResults();
  void DropOldRecords();

  scheduler& clock_;
  dispatcher& jobs_;
  job_id_mint& mint_;
  std::unordered_map<std::string, record> records_;
  // Ids with a kept result, oldest first, and the results' size in all.
  std::deque<std::string> results_;
  size_t result_bytes_ = 0;
  // The ids of `records_` that were minted ahead, in order of submission.
  std::deque<job_id> order_;
  size_t running_ = 0;
  waiter_id last_waiter_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_ENTRY_JOB_REGISTRY_H_
