// Counts of jobs that were not answered within their objective, by cause.

#ifndef SRC_LEDGER_LOSS_LEDGER_H_
#define SRC_LEDGER_LOSS_LEDGER_H_

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ledger/job_facts.h"
#include "ledger/loss_cause.h"

namespace jasminedyke {

using loss_counts = std::array<int, kLossCauses>;

// Takes the lines of all instances in any order. A job that came again under
// its key counts once, by its last answer.
class loss_ledger {
 public:
  void Take(const log_line& line);

  size_t jobs() const { return jobs_.size(); }
  loss_counts Counts() const;
  // Causes in rows; in columns all, each queue, each failure domain of callers
  // and each of homes.
  std::string Table() const;

 private:
  using key_of = std::function<std::string(const job_facts&)>;

  // By how much faster than on that upstream the fastest ones run tasks.
  class speed_table {
   public:
    explicit speed_table(const std::map<std::string, job_facts>& jobs);
    double Fastest(const job_facts& job) const;

   private:
    // Run time over the expected one, its median on each upstream.
    std::map<std::string, double> slowness_;
    double least_ = 0;
  };

  std::map<std::string, loss_counts> CountsBy(const key_of& key) const;

  std::map<std::string, job_facts> jobs_;
};

}  // namespace jasminedyke

#endif  // SRC_LEDGER_LOSS_LEDGER_H_
