// The HTTP interface for callers.

#ifndef SRC_ENTRY_CALLER_API_H_
#define SRC_ENTRY_CALLER_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/base.h"
#include "entry/dispatcher.h"
#include "entry/job_forwarder.h"
#include "entry/job_id.h"
#include "entry/job_registry.h"
#include "entry/token_directory.h"
#include "http/http.h"
#include "store/store.h"

namespace jasminedyke {

// Routes callers' requests to jobs owned here or, through the forwarder, to
// their owners. Requests without a valid token learn nothing and change
// nothing.
class caller_api {
 public:
  caller_api(const configuration_store& config,
             const token_directory& tokens,
             dispatcher& jobs,
             job_registry& registry,
             job_id_mint& mint,
             job_forwarder& forwarder,
             usage_ledger& usage);

  void Handle(const http_exchange_ptr& exchange);

  // A request from another entry instance about a job owned here. `done` is
  // called once.
  void HandleForwarded(const forwarded_job& request,
                       std::function<void(const http_reply&)> done);

  // Refusals before admission, by reason.
  const std::map<std::string, uint64_t>& refusals() const { return refusals_; }

 private:
  void SubmitJob(const http_exchange_ptr& exchange, const team_id& team);
  void SubmitOwnJob(const http_exchange_ptr& exchange,
                    const team_id& team,
                    const job_submission& submission);
  void MintId(const http_exchange_ptr& exchange, const team_id& team);
  void ServeJob(const http_exchange_ptr& exchange,
                const team_id& team,
                const std::string& name);
  void SubmitRequest(const http_exchange_ptr& exchange,
                     const team_id& team,
                     const class_id& work_class);
  void ServeUsage(const http_exchange_ptr& exchange, const team_id& team);
  void Route(const http_exchange_ptr& exchange, const forwarded_job& request);
  void Perform(const forwarded_job& request,
               std::function<void(const http_reply&)> done,
               const std::function<void(std::function<void()>)>& on_hang_up);
  void Refuse(const http_exchange_ptr& exchange,
              int status,
              const std::string& reason,
              const std::string& detail,
              duration retry_after = duration::zero());
  http_reply CountRefusal(const error_reply& error);
  const class_settings* FindClass(const class_id& work_class) const;

  const configuration_store& config_;
  const token_directory& tokens_;
  dispatcher& jobs_;
  job_registry& registry_;
  job_id_mint& mint_;
  job_forwarder& forwarder_;
  usage_ledger& usage_;
  std::map<std::string, uint64_t> refusals_;
  uint64_t last_request_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_ENTRY_CALLER_API_H_
