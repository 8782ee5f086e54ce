// Books each team's work into the table service.

#ifndef SRC_STORE_USAGE_LEDGER_H_
#define SRC_STORE_USAGE_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "store/table_service.h"
#include "store/usage_sink.h"

namespace jasminedyke {

struct team_usage {
  uint64_t tasks = 0;
  // Microseconds, so that sums are exact.
  uint64_t run_us = 0;

  team_usage& operator+=(const team_usage& other) {
    tasks += other.tasks;
    run_us += other.run_us;
    return *this;
  }
  bool operator==(const team_usage&) const = default;
};

// Collects usage and flushes it in batches, one at a time. A batch is one
// transaction that writes the totals of its teams and, in the row of this
// incarnation, its number. If the reply is lost, that row tells whether the
// batch is in; so none is charged twice and none is forgotten. What an
// instance had not flushed when it died is lost: at most the work of one
// interval while the store answers.
class usage_ledger : public usage_sink {
 public:
  using usage_by_team = std::map<team_id, team_usage>;
  using total_callback =
      std::function<void(const outcome<team_usage, store_error>&)>;

  usage_ledger(scheduler& clock,
               table_service& tables,
               const incarnation_id& incarnation);

  void StartFlushing(duration interval);

  void Book(const team_id& team, duration run_time) override;

  // Calls `done` when nothing is left to flush. While the store is away that
  // takes until it is back.
  void FlushAll(std::function<void()> done);

  // The team's total in the store, without what is not flushed yet.
  void ReadTotal(const team_id& team, total_callback done);

  uint64_t batches_written() const { return batch_; }
  uint64_t write_conflicts() const { return conflicts_; }
  // Not in the store yet.
  usage_by_team unflushed() const;

 private:
  // Totals and the incarnation's row as read before a write.
  struct flush_rows;

  void Flush();
  void ReadRows();
  void OnRowRead(const std::shared_ptr<flush_rows>& rows,
                 const std::string& table,
                 const std::string& key,
                 const outcome<table_row, store_error>& row);
  void OnRowsRead(const std::shared_ptr<flush_rows>& rows);
  void WriteBatch(const flush_rows& rows);
  void OnBatchIn();
  void TryAgain();

  scheduler& clock_;
  table_service& tables_;
  incarnation_id incarnation_;
  duration interval_{};
  usage_by_team collecting_;
  // The batch being written; unchanged until it is known to be in.
  std::optional<usage_by_team> flushing_;
  // Number of the last batch that is in.
  uint64_t batch_ = 0;
  uint64_t conflicts_ = 0;
  std::function<void()> on_empty_;
  scoped_timer flush_timer_;
  scoped_timer retry_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jasminedyke

#endif  // SRC_STORE_USAGE_LEDGER_H_
