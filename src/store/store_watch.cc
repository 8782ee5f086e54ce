#include "store/store_watch.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

void store_watch::Read(const std::string& table,
                       const std::string& key,
                       read_callback done) {
  store_.Read(table, key,
              [this, sent_at = clock_.now(),
               done = std::move(done)](const auto& result) {
                if (result.ok())
                  OnAnswered();
                else
                  OnFailed(sent_at, result.error());
                done(result);
              });
}

void store_watch::Write(const std::vector<table_write>& writes,
                        write_callback done) {
  store_.Write(writes, [this, sent_at = clock_.now(),
                        done = std::move(done)](const auto& result) {
    if (result.ok())
      OnAnswered();
    else
      OnFailed(sent_at, result.error());
    done(result);
  });
}

void store_watch::OnAnswered() {
  answered_at_ = clock_.now();
  silent_since_.reset();
}

void store_watch::OnFailed(time_point sent_at, store_error error) {
  bool no_answer =
      error == store_error::kUnavailable || error == store_error::kUnknown;
  if (!no_answer) {
    OnAnswered();
    return;
  }
  bool answered_since = answered_at_ && *answered_at_ >= sent_at;
  if (!answered_since)
    silent_since_ = std::min(silent_since_.value_or(sent_at), sent_at);
}

}  // namespace jasminedyke
