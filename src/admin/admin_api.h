// The HTTP interface for operators.

#ifndef SRC_ADMIN_ADMIN_API_H_
#define SRC_ADMIN_ADMIN_API_H_

#include <functional>
#include <optional>
#include <string>

#include "admin/instance_view.h"
#include "base/base.h"
#include "entry/entry.h"
#include "http/http.h"
#include "store/store.h"

namespace jasminedyke {

// Health, metrics and the status page are open to whoever reaches the
// operators' port; everything under /admin needs an administrator's token.
class admin_api {
 public:
  admin_api(scheduler& clock,
            const instance_view& view,
            configuration_store& config,
            usage_ledger& usage,
            const token_directory& tokens,
            std::function<readiness()> not_ready_because);

  void Handle(const http_exchange_ptr& exchange);

 private:
  bool HandleOpenPath(const http_exchange_ptr& exchange);
  void HandleConfiguration(const http_exchange_ptr& exchange);
  // `collection` is "classes" or "teams".
  void HandleEntry(const http_exchange_ptr& exchange,
                   const std::string& collection,
                   const std::string& name);
  void ServeUsage(const http_exchange_ptr& exchange);
  void Change(const http_exchange_ptr& exchange,
              const std::string& summary,
              std::function<std::optional<problem>(nlohmann::json&)> edit);
  // Answers once the version is in force everywhere, or after a while.
  void ReplyWhenInForce(const http_exchange_ptr& exchange,
                        const change_id& id,
                        config_version version,
                        time_point deadline);
  std::string Author(const http_exchange_ptr& exchange) const;

  scheduler& clock_;
  const instance_view& view_;
  configuration_store& config_;
  usage_ledger& usage_;
  const token_directory& tokens_;
  std::function<readiness()> not_ready_because_;
};

}  // namespace jasminedyke

#endif  // SRC_ADMIN_ADMIN_API_H_
