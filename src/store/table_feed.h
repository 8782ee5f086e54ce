// Whole tables of the store, kept up to date.

#ifndef SRC_STORE_TABLE_FEED_H_
#define SRC_STORE_TABLE_FEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "base/base.h"

namespace jasminedyke {

struct feed_row {
  uint64_t version = 0;
  nlohmann::json value;
};

// A table as of one moment, by key.
struct table_snapshot {
  uint64_t version = 0;
  std::map<std::string, feed_row> rows;
};

// Brings each change of the watched tables; while the store is away, nothing.
class table_feed {
 public:
  using change_handler = std::function<void(const table_snapshot&)>;

  virtual ~table_feed() = default;

  // Calls `handler` with the whole table at first and after each change,
  // never from within this call.
  virtual void Watch(const std::string& table, change_handler handler) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_STORE_TABLE_FEED_H_
