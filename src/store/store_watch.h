// Observes whether the store answers this instance.

#ifndef SRC_STORE_STORE_WATCH_H_
#define SRC_STORE_STORE_WATCH_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "store/table_service.h"

namespace jasminedyke {

// Passes all calls on to the store. An answer to any call shows that the store
// was in reach after all calls that had been sent before.
class store_watch : public table_service {
 public:
  store_watch(const scheduler& clock, table_service& store)
      : clock_(clock), store_(store) {}

  void Read(const std::string& table,
            const std::string& key,
            read_callback done) override;
  void Write(const std::vector<table_write>& writes,
             write_callback done) override;

  // Returns when the first of the calls was sent that have failed for want of
  // an answer since the store last answered; nothing if there is none.
  std::optional<time_point> silent_since() const { return silent_since_; }

 private:
  void OnAnswered();
  void OnFailed(time_point sent_at, store_error error);

  const scheduler& clock_;
  table_service& store_;
  std::optional<time_point> answered_at_;
  std::optional<time_point> silent_since_;
};

}  // namespace jasminedyke

#endif  // SRC_STORE_STORE_WATCH_H_
