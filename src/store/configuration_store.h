// The configuration that is in force on this instance, and changes to it.

#ifndef SRC_STORE_CONFIGURATION_STORE_H_
#define SRC_STORE_CONFIGURATION_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "policy/policy.h"
#include "store/table_service.h"

namespace jasminedyke {

enum class change_error {
  kInvalid,      // the resulting document would be wrong; see the problem
  kConflict,     // it was changed meanwhile; nothing was applied
  kUnavailable,  // the store can't be reached; nothing was applied
  kUnknown,      // the store fell silent in the middle: ask again by change id
};

struct change_failure {
  change_error error = change_error::kUnavailable;
  problem what;
};

// What an operator asks for.
struct configuration_change {
  // Chosen by the operator or for him. Asking twice under one id changes once.
  change_id id;
  // For the audit record.
  std::string author;
  std::string summary;
  // The version that the operator saw; nothing: whichever is newest.
  std::optional<config_version> expected;
  // Turns the present document into the wanted one, or says what is wrong.
  std::function<std::optional<problem>(nlohmann::json& document)> edit;
};

// Holds the newest version seen and only ever moves to higher ones, whether
// they come from the platform, a peer or a change made here.
class configuration_store {
 public:
  using change_callback =
      std::function<void(const outcome<config_version, change_failure>&)>;

  configuration_store(scheduler& clock, table_service& tables);

  // Starts asking the platform for newer versions at an interval.
  void StartPolling(duration interval);

  // Called after each move to a newer version.
  void OnChange(std::function<void()> handler);

  // From a peer. Ignored unless it is newer and makes sense.
  void Offer(config_version version, const nlohmann::json& document);

  // `done` comes once. On success the change is in force here already.
  void Change(const configuration_change& change, change_callback done);

  bool known() const { return version_.value() > 0; }
  config_version version() const { return version_; }
  const nlohmann::json& document() const { return document_; }
  const configuration& settings() const { return settings_; }
  // Since the platform last answered; the maximum if it never did.
  duration platform_silence() const;

 private:
  struct change_in_progress;
  using change_ptr = std::shared_ptr<change_in_progress>;

  void Poll();
  void Adopt(config_version version, const nlohmann::json& document);
  void ReadThenWrite(const change_ptr& change);
  void OnRead(const change_ptr& change,
              const outcome<table_row, store_error>& row);
  void Write(const change_ptr& change, const table_row& row);
  void OnWritten(const change_ptr& change,
                 const nlohmann::json& document,
                 const outcome<std::vector<uint64_t>, store_error>& result);
  void TryAgain(const change_ptr& change);
  static void Fail(const change_ptr& change, change_failure failure);

  scheduler& clock_;
  table_service& tables_;
  config_version version_;
  nlohmann::json document_ = nlohmann::json::object();
  configuration settings_;
  std::function<void()> on_change_;
  duration poll_interval_{};
  std::optional<time_point> platform_answered_;
  scoped_timer poll_timer_;
  // Guards callbacks that come after the store is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jasminedyke

#endif  // SRC_STORE_CONFIGURATION_STORE_H_
