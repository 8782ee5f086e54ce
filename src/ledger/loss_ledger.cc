#include "ledger/loss_ledger.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace jasminedyke {

namespace {

// Of one upstream; fewer say little of its speed.
constexpr size_t kLeastRuns = 5;
// Of the upstreams by rising slowness: the one that stands for the fastest, as
// the very first may owe its place to chance.
constexpr double kFastShare = 0.1;

double Quantile(std::vector<double> values, double share) {
  auto at = static_cast<size_t>(share * static_cast<double>(values.size()));
  std::ranges::nth_element(values, values.begin() + static_cast<int64_t>(at));
  return values[at];
}

std::string Padded(const std::string& text, size_t width) {
  return text.size() < width ? std::string(width - text.size(), ' ') + text
                             : text;
}

int Sum(const loss_counts& counts) {
  int sum = 0;
  for (int count : counts)
    sum += count;
  return sum;
}

}  // namespace

loss_ledger::speed_table::speed_table(
    const std::map<std::string, job_facts>& jobs) {
  std::map<std::string, std::vector<double>> runs;
  for (const auto& [key, job] : jobs) {
    if (job.home && job.home->expected_ms > 0 && job.home->run_ms > 0)
      runs[job.home->upstream].push_back(job.home->run_ms /
                                         job.home->expected_ms);
  }
  std::vector<double> medians;
  for (auto& [upstream, ratios] : runs) {
    if (ratios.size() < kLeastRuns)
      continue;
    slowness_[upstream] = Quantile(std::move(ratios), 0.5);
    medians.push_back(slowness_[upstream]);
  }
  if (!medians.empty())
    least_ = Quantile(std::move(medians), kFastShare);
}

double loss_ledger::speed_table::Fastest(const job_facts& job) const {
  auto found = slowness_.find(job.home ? job.home->upstream : "");
  return found == slowness_.end() ? 1 : std::min(1.0, least_ / found->second);
}

void loss_ledger::Take(const log_line& line) {
  const std::string& job = line.Text("job");
  if (!job.empty())
    jobs_[job].Take(line);
}

std::map<std::string, loss_counts> loss_ledger::CountsBy(
    const key_of& key) const {
  std::map<std::string, loss_counts> counts;
  speed_table speeds(jobs_);
  for (const auto& [id, job] : jobs_) {
    if (!job.IsLoss())
      continue;
    loss_cause cause = JudgeLoss(job, speeds.Fastest(job));
    ++counts[key(job)][static_cast<size_t>(cause)];
  }
  return counts;
}

loss_counts loss_ledger::Counts() const {
  return CountsBy([](const job_facts&) { return "all"; })["all"];
}

std::string loss_ledger::Table() const {
  const std::array<key_of, 4> keys = {
      [](const job_facts&) { return std::string("all"); },
      [](const job_facts& job) { return "queue " + job.queue; },
      [](const job_facts& job) {
        return "asked in " + (job.answered ? job.answered->asked_in : "");
      },
      [](const job_facts& job) {
        return "served in " + (job.answered ? job.answered->served_in : "");
      }};
  std::vector<std::pair<std::string, loss_counts>> columns;
  for (const key_of& key : keys) {
    for (const auto& column : CountsBy(key))
      columns.push_back(column);
  }
  std::string text = "jobs " + std::to_string(jobs_.size()) + "\n";
  text += Padded("", 28);
  for (const auto& [name, counts] : columns)
    text += "  " + name;
  auto add_row = [&](const std::string& name, const auto& count) {
    text += "\n" + name + std::string(28 - name.size(), ' ');
    for (const auto& [column, counts] : columns)
      text += "  " + Padded(std::to_string(count(counts)), column.size());
  };
  for (int i = 0; i < kLossCauses; ++i)
    add_row(ToString(static_cast<loss_cause>(i)),
            [&](const loss_counts& c) { return c[static_cast<size_t>(i)]; });
  add_row("sum", Sum);
  return text + "\n";
}

}  // namespace jasminedyke
