// Requests about jobs that another entry instance owns.

#ifndef SRC_ENTRY_JOB_FORWARDER_H_
#define SRC_ENTRY_JOB_FORWARDER_H_

#include <functional>
#include <string>

#include "base/base.h"
#include "entry/job_id.h"
#include "http/http.h"

namespace jasminedyke {

enum class job_operation { kSubmit, kWait, kCancel };

struct forwarded_job {
  job_operation operation = job_operation::kWait;
  job_id job;
  team_id team;
  // Of a submission.
  std::string body;
};

enum class forward_error {
  kOwnerGone,         // its incarnation has ended: the job is lost
  kOwnerUnreachable,  // it may be alive
};

class job_forwarder {
 public:
  using callback =
      std::function<void(const outcome<http_reply, forward_error>&)>;

  virtual ~job_forwarder() = default;

  // `done` is called once, never from within this call.
  virtual void Forward(const forwarded_job& request, callback done) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_ENTRY_JOB_FORWARDER_H_
