#include "store/usage_ledger.h"

#include <utility>
#include <vector>

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr char kTotalsTable[] = "usage_totals";
constexpr char kBatchesTable[] = "usage_batches";
constexpr duration kRetryDelay = std::chrono::milliseconds(300);

team_usage ParseUsage(const json& value) {
  team_usage usage;
  if (!value.is_object())
    return usage;
  usage.tasks = value.value("tasks", uint64_t{0});
  usage.run_us = value.value("run_us", uint64_t{0});
  return usage;
}

json WriteUsage(const team_usage& usage) {
  return {{"tasks", usage.tasks}, {"run_us", usage.run_us}};
}

}  // namespace

struct usage_ledger::flush_rows {
  size_t outstanding = 0;
  bool failed = false;
  table_row batches;
  std::map<std::string, table_row> totals;
};

usage_ledger::usage_ledger(scheduler& clock,
                           table_service& tables,
                           const incarnation_id& incarnation)
    : clock_(clock),
      tables_(tables),
      incarnation_(incarnation),
      flush_timer_(clock),
      retry_timer_(clock) {}

void usage_ledger::StartFlushing(duration interval) {
  interval_ = interval;
  flush_timer_.StartAfter(interval_, [this] {
    Flush();
    StartFlushing(interval_);
  });
}

void usage_ledger::Book(const team_id& team, duration run_time) {
  team_usage& usage = collecting_[team];
  ++usage.tasks;
  usage.run_us += static_cast<uint64_t>(run_time.count());
}

void usage_ledger::FlushAll(std::function<void()> done) {
  on_empty_ = std::move(done);
  Flush();
}

void usage_ledger::ReadTotal(const team_id& team, total_callback done) {
  tables_.Read(
      kTotalsTable, team.str(),
      [done = std::move(done)](const outcome<table_row, store_error>& row) {
        if (row.ok())
          done(ParseUsage(row.value().value));
        else if (row.error() == store_error::kNotFound)
          done(team_usage());
        else
          done(row.error());
      });
}

usage_ledger::usage_by_team usage_ledger::unflushed() const {
  usage_by_team all = collecting_;
  if (flushing_) {
    for (const auto& [team, usage] : *flushing_)
      all[team] += usage;
  }
  return all;
}

void usage_ledger::Flush() {
  if (flushing_)
    return;
  if (collecting_.empty()) {
    if (auto done = std::exchange(on_empty_, nullptr))
      done();
    return;
  }
  flushing_ = std::exchange(collecting_, {});
  ReadRows();
}

void usage_ledger::ReadRows() {
  auto rows = std::make_shared<flush_rows>();
  rows->outstanding = flushing_->size() + 1;
  std::weak_ptr<bool> alive = alive_;
  auto read = [&](const std::string& table, const std::string& key) {
    tables_.Read(table, key,
                 [this, alive, rows, table,
                  key](const outcome<table_row, store_error>& row) {
                   if (!alive.expired())
                     OnRowRead(rows, table, key, row);
                 });
  };
  read(kBatchesTable, incarnation_.str());
  for (const auto& [team, usage] : *flushing_)
    read(kTotalsTable, team.str());
}

void usage_ledger::OnRowRead(const std::shared_ptr<flush_rows>& rows,
                             const std::string& table,
                             const std::string& key,
                             const outcome<table_row, store_error>& row) {
  if (!row.ok() && row.error() != store_error::kNotFound)
    rows->failed = true;
  table_row read = row.ok() ? row.value() : table_row();
  if (table == kBatchesTable)
    rows->batches = read;
  else
    rows->totals[key] = read;
  if (--rows->outstanding == 0)
    OnRowsRead(rows);
}

void usage_ledger::OnRowsRead(const std::shared_ptr<flush_rows>& rows) {
  if (rows->failed) {
    TryAgain();
    return;
  }
  uint64_t batch_in =
      rows->batches.version > 0 && rows->batches.value.is_object()
          ? rows->batches.value.value("batch", uint64_t{0})
          : 0;
  // The write of an earlier try took effect although its reply was lost.
  // Writing again would charge the batch twice.
  if (batch_in > batch_) {
    OnBatchIn();
    return;
  }
  WriteBatch(*rows);
}

// Every row carries the version that was read. If an earlier try takes effect
// after all, the incarnation's row has moved on and this write is refused
// whole.
void usage_ledger::WriteBatch(const flush_rows& rows) {
  std::vector<table_write> writes;
  writes.push_back({kBatchesTable,
                    incarnation_.str(),
                    rows.batches.version,
                    {{"batch", batch_ + 1}}});
  for (const auto& [team, usage] : *flushing_) {
    const table_row& row = rows.totals.at(team.str());
    team_usage total = ParseUsage(row.value);
    total += usage;
    writes.push_back(
        {kTotalsTable, team.str(), row.version, WriteUsage(total)});
  }
  std::weak_ptr<bool> alive = alive_;
  tables_.Write(
      writes,
      [this, alive](const outcome<std::vector<uint64_t>, store_error>& result) {
        if (alive.expired())
          return;
        if (result.ok()) {
          OnBatchIn();
          return;
        }
        conflicts_ += result.error() == store_error::kConflict;
        TryAgain();
      });
}

void usage_ledger::OnBatchIn() {
  ++batch_;
  flushing_.reset();
  if (on_empty_)
    Flush();
}

void usage_ledger::TryAgain() {
  retry_timer_.StartAfter(kRetryDelay, [this] { ReadRows(); });
}

}  // namespace jasminedyke
