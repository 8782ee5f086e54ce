// The platform's services as this project uses them.

#ifndef SRC_STORE_TABLE_SERVICE_H_
#define SRC_STORE_TABLE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "policy/policy.h"

namespace jasminedyke {

enum class store_error {
  kNotFound,
  kConflict,     // another version is there; nothing was changed
  kUnavailable,  // nothing was changed
  kUnknown,      // a change may or may not have taken effect
  kMalformed,    // the answer made no sense
};

struct table_row {
  // 1 at the first write, more at each further one. 0: no such row.
  uint64_t version = 0;
  nlohmann::json value;
};

struct table_write {
  std::string table;
  std::string key;
  // The version that must be there; 0: the row must be absent.
  uint64_t expected_version = 0;
  nlohmann::json value;
  // Removes the row; `value` does not count then.
  bool remove = false;
};

// The transactional table service. Each callback comes once, never from
// within the call.
class table_service {
 public:
  using read_callback =
      std::function<void(const outcome<table_row, store_error>&)>;
  // Yields the new versions, in the order of the writes.
  using write_callback =
      std::function<void(const outcome<std::vector<uint64_t>, store_error>&)>;

  virtual ~table_service() = default;

  virtual void Read(const std::string& table,
                    const std::string& key,
                    read_callback done) = 0;
  // All writes or none.
  virtual void Write(const std::vector<table_write>& writes,
                     write_callback done) = 0;
};

// The platform's list of instances.
class instance_directory {
 public:
  // Nothing: the list is still at the known version.
  using list_callback = std::function<void(
      const outcome<std::optional<membership_list>, store_error>&)>;

  virtual ~instance_directory() = default;

  virtual void List(membership_version known, list_callback done) = 0;
};

}  // namespace jasminedyke

#endif  // SRC_STORE_TABLE_SERVICE_H_
