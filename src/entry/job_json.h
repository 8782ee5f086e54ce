// Jobs and their outcomes as the callers' JSON.

#ifndef SRC_ENTRY_JOB_JSON_H_
#define SRC_ENTRY_JOB_JSON_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "entry/job.h"
#include "http/http.h"

namespace jasminedyke {

// The body of `POST /v1/jobs`.
struct job_submission {
  class_id work_class;
  std::vector<task_spec> tasks;
  duration timeout = kDefaultTimeout;
};

enum class submission_error {
  kMalformed,     // no JSON, or a wrong field
  kTooManyTasks,  // more than a job may have
};

struct bad_submission {
  submission_error error = submission_error::kMalformed;
  problem what;
};

outcome<job_submission, bad_submission> ParseJob(const std::string& body);

// Whether some of the work may have run, as told to callers.
enum class run_state { kNotRun, kMaybeRun };

// A refusal or a failure that concerns no particular task.
struct error_reply {
  int status = 400;
  // "refused" or "failed".
  std::string state = "refused";
  std::string reason;
  run_state run = run_state::kNotRun;
  // For a person; may be empty.
  std::string detail;
  // The job concerned; may be empty.
  std::string job;
  // Zero: none is given.
  duration retry_after{};
};

http_reply MakeErrorReply(const error_reply& error);
http_reply MakeJobReply(const std::string& job, const job_outcome& result);
// For `/v1/requests`: the upstream's own reply, if there is one.
http_reply MakeRequestReply(const job_outcome& result);
http_reply MakeRefusalReply(const job_refusal& refusal);

http_reply MakeJsonReply(int status, std::string body);

}  // namespace jasminedyke

#endif  // SRC_ENTRY_JOB_JSON_H_
