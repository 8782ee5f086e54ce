// A table service in memory, with the faults of the real one.

#ifndef TESTS_FAKES_FAKE_TABLES_H_
#define TESTS_FAKES_FAKE_TABLES_H_

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "store/store.h"

namespace jasminedyke {

// Answers after `delay` on the scheduler. `fault` is asked for each write and
// decides what happens to it.
class fake_tables : public table_service {
 public:
  enum class write_fate {
    kAnswered,
    kReplyLost,      // takes effect, the answer is "unknown"
    kRequestLost,    // has no effect, the answer is "unknown"
    kRefusedAtOnce,  // has no effect, the answer is "unavailable"
    kEffectDelayed,  // the answer is "unknown", the effect comes later
  };

  explicit fake_tables(scheduler& clock) : clock_(clock) {}

  void Read(const std::string& table,
            const std::string& key,
            read_callback done) override {
    ++calls;
    clock_.CallAfter(delay, [this, k = std::pair(table, key), done] {
      if (outage)
        done(store_error::kUnavailable);
      else if (!rows.contains(k))
        done(store_error::kNotFound);
      else
        done(rows[k]);
    });
  }

  void Write(const std::vector<table_write>& writes,
             write_callback done) override {
    ++calls;
    clock_.CallAfter(delay, [this, writes, done] { WriteNow(writes, done); });
  }

  uint64_t version(const std::string& table, const std::string& key) {
    auto found = rows.find({table, key});
    return found == rows.end() ? 0 : found->second.version;
  }

  std::map<std::pair<std::string, std::string>, table_row> rows;
  duration delay = std::chrono::milliseconds(3);
  bool outage = false;
  // What happens to writes during an outage.
  write_fate outage_fate = write_fate::kRefusedAtOnce;
  std::function<write_fate()> fate = [] { return write_fate::kAnswered; };
  int writes_in_effect = 0;
  int calls = 0;

 private:
  void WriteNow(const std::vector<table_write>& writes,
                const write_callback& done) {
    write_fate what = outage ? outage_fate : fate();
    switch (what) {
      case write_fate::kRefusedAtOnce:
        done(store_error::kUnavailable);
        return;
      case write_fate::kRequestLost:
        done(store_error::kUnknown);
        return;
      case write_fate::kEffectDelayed:
        done(store_error::kUnknown);
        clock_.CallAfter(std::chrono::seconds(1),
                         [this, writes] { Apply(writes); });
        return;
      case write_fate::kReplyLost:
        Apply(writes);
        done(store_error::kUnknown);
        return;
      case write_fate::kAnswered:
        done(Apply(writes));
        return;
    }
  }

  outcome<std::vector<uint64_t>, store_error> Apply(
      const std::vector<table_write>& writes) {
    for (const table_write& write : writes) {
      if (version(write.table, write.key) != write.expected_version)
        return store_error::kConflict;
    }
    std::vector<uint64_t> versions;
    for (const table_write& write : writes) {
      table_row& row = rows[{write.table, write.key}];
      row.value = write.value;
      versions.push_back(++row.version);
    }
    ++writes_in_effect;
    return versions;
  }

  scheduler& clock_;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_FAKE_TABLES_H_
