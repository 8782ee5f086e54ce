#include "store/configuration_store.h"

#include <algorithm>
#include <utility>

#include "store/configuration_json.h"

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr char kTable[] = "configuration";
constexpr char kKey[] = "current";
constexpr char kChanges[] = "changes";
// Ids of so many changes stay in the document. A lost reply is read back
// within seconds, while fewer changes than this can have followed.
constexpr size_t kChangesKept = 200;
constexpr duration kChangeTime = std::chrono::seconds(10);
constexpr duration kTryAgainDelay = std::chrono::milliseconds(200);

bool HasChange(const json& document, const change_id& id) {
  auto changes = document.find(kChanges);
  if (changes == document.end() || !changes->is_array())
    return false;
  return std::ranges::any_of(*changes, [&](const json& change) {
    return change.is_object() && change.value("id", "") == id.str();
  });
}

void AddChange(json& document, const configuration_change& change) {
  json& changes = document[kChanges];
  if (!changes.is_array())
    changes = json::array();
  changes.push_back({{"id", change.id.str()},
                     {"by", change.author},
                     {"what", change.summary}});
  if (changes.size() > kChangesKept)
    changes.erase(changes.begin());
}

}  // namespace

struct configuration_store::change_in_progress {
  configuration_change request;
  change_callback done;
  time_point deadline;
  // A write has been sent whose result is not known.
  bool may_be_applied = false;
};

configuration_store::configuration_store(scheduler& clock,
                                         table_service& tables)
    : clock_(clock), tables_(tables), poll_timer_(clock) {}

void configuration_store::StartPolling(duration interval) {
  poll_interval_ = interval;
  Poll();
}

void configuration_store::OnChange(std::function<void()> handler) {
  on_change_ = std::move(handler);
}

void configuration_store::Offer(config_version version, const json& document) {
  Adopt(version, document);
}

void configuration_store::Change(const configuration_change& change,
                                 change_callback done) {
  auto progress = std::make_shared<change_in_progress>();
  progress->request = change;
  progress->done = std::move(done);
  progress->deadline = clock_.now() + kChangeTime;
  ReadThenWrite(progress);
}

duration configuration_store::platform_silence() const {
  return platform_answered_ ? clock_.now() - *platform_answered_
                            : duration::max();
}

void configuration_store::Poll() {
  std::weak_ptr<bool> alive = alive_;
  tables_.Read(
      kTable, kKey, [this, alive](const outcome<table_row, store_error>& row) {
        if (alive.expired())
          return;
        if (row.ok())
          Adopt(config_version(row.value().version), row.value().value);
        if (row.ok() || row.error() == store_error::kNotFound)
          platform_answered_ = clock_.now();
        poll_timer_.StartAfter(poll_interval_, [this] { Poll(); });
      });
}

// Versions only rise. An answer of the store that was delayed, or a peer that
// was cut off, would otherwise bring an old document back into force.
void configuration_store::Adopt(config_version version, const json& document) {
  if (version <= version_)
    return;
  auto settings = ParseConfiguration(document, unknown_fields::kIgnore);
  if (!settings.ok()) {
    LogEvent(log_level::kError, "configuration_unusable",
             {{"version", version.value()},
              {"problem", settings.error().ToString()}});
    return;
  }
  version_ = version;
  document_ = document;
  settings_ = settings.value();
  LogEvent(log_level::kInfo, "configuration_in_force",
           {{"version", version_.value()}});
  if (on_change_)
    on_change_();
}

void configuration_store::ReadThenWrite(const change_ptr& change) {
  std::weak_ptr<bool> alive = alive_;
  tables_.Read(
      kTable, kKey,
      [this, alive, change](const outcome<table_row, store_error>& row) {
        if (!alive.expired())
          OnRead(change, row);
      });
}

void configuration_store::OnRead(const change_ptr& change,
                                 const outcome<table_row, store_error>& row) {
  table_row present{0, json::object()};
  if (row.ok()) {
    present = row.value();
  } else if (row.error() != store_error::kNotFound) {
    TryAgain(change);
    return;
  }
  Adopt(config_version(present.version), present.value);
  // Ours is in: the reply to the write was lost, or it is a repeat.
  if (HasChange(present.value, change->request.id)) {
    change->done(config_version(present.version));
    return;
  }
  const auto& expected = change->request.expected;
  if (expected && expected->value() != present.version) {
    // A write of ours that is still under way expects a version that is gone:
    // it can't take effect any more.
    Fail(change, {change_error::kConflict,
                  {"", "the configuration is at version " +
                           std::to_string(present.version) + ", not " +
                           std::to_string(expected->value())}});
    return;
  }
  Write(change, present);
}

void configuration_store::Write(const change_ptr& change,
                                const table_row& row) {
  json document = row.value;
  if (auto wrong = change->request.edit(document)) {
    Fail(change, {change_error::kInvalid, *wrong});
    return;
  }
  auto valid = ParseConfiguration(document, unknown_fields::kRefuse);
  if (!valid.ok()) {
    Fail(change, {change_error::kInvalid, valid.error()});
    return;
  }
  AddChange(document, change->request);
  std::weak_ptr<bool> alive = alive_;
  tables_.Write({{kTable, kKey, row.version, document}},
                [this, alive, change, document](
                    const outcome<std::vector<uint64_t>, store_error>& result) {
                  if (!alive.expired())
                    OnWritten(change, document, result);
                });
}

void configuration_store::OnWritten(
    const change_ptr& change,
    const json& document,
    const outcome<std::vector<uint64_t>, store_error>& result) {
  if (result.ok()) {
    config_version version(result.value().front());
    Adopt(version, document);
    change->done(version);
    return;
  }
  switch (result.error()) {
    case store_error::kConflict:
      // Somebody was first, or an earlier try of ours: the document tells.
      ReadThenWrite(change);
      return;
    case store_error::kUnavailable:
      break;
    case store_error::kNotFound:
    case store_error::kUnknown:
    case store_error::kMalformed:
      change->may_be_applied = true;
      break;
  }
  TryAgain(change);
}

void configuration_store::TryAgain(const change_ptr& change) {
  if (clock_.now() >= change->deadline) {
    change_error error = change->may_be_applied ? change_error::kUnknown
                                                : change_error::kUnavailable;
    Fail(change, {error, {"", "the platform's table service does not answer"}});
    return;
  }
  std::weak_ptr<bool> alive = alive_;
  clock_.CallAfter(kTryAgainDelay, [this, alive, change] {
    if (!alive.expired())
      ReadThenWrite(change);
  });
}

void configuration_store::Fail(const change_ptr& change,
                               change_failure failure) {
  change->done(std::move(failure));
}

}  // namespace jasminedyke
