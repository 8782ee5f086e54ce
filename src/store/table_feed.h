// Whole tables of the store, kept up to date.

#ifndef SRC_STORE_TABLE_FEED_H_
#define SRC_STORE_TABLE_FEED_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "store/json_bounds.h"

namespace jasminedyke {

struct feed_row {
  uint64_t version = 0;
  // JSON, as the store has it. Most changes concern few rows of a table, so
  // whoever needs a row parses it.
  std::string text;

  // Null if the text is no JSON, or too deep.
  nlohmann::json value() const {
    nlohmann::json parsed = ParseJson(text);
    if (parsed.is_discarded())
      return nullptr;
    return parsed;
  }
};

// A table as of one moment, by key.
struct table_snapshot {
  uint64_t version = 0;
  std::map<std::string, feed_row> rows;
};

// Calls to the store are paid for, and rates are shared by all instances.
struct watch_options {
  // A call for changes returns at the latest after so long. A connection that
  // went silent is noticed then.
  duration wait = std::chrono::seconds(1);
  // After a change the next call waits so long, so that a series of changes
  // costs few calls.
  duration pause = duration::zero();
  // Told when the store begins to answer calls for changes, and when it stops.
  std::function<void(bool)> on_contact = nullptr;
};

// Brings each change of the watched tables; while the store is away, nothing.
class table_feed {
 public:
  using change_handler = std::function<void(const table_snapshot&)>;

  virtual ~table_feed() = default;

  // Calls `handler` with the whole table at first and after each change,
  // never from within this call.
  virtual void Watch(const std::string& table,
                     const watch_options& options,
                     change_handler handler) = 0;
  virtual void Unwatch(const std::string& table) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_STORE_TABLE_FEED_H_
