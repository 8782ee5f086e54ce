#include "runs/reported_ends.h"

namespace jasminedyke {

namespace {

// A silent link is noticed after a second; the rest is for the owner to connect
// and send the job again.
constexpr duration kRetention = std::chrono::seconds(2);
constexpr size_t kMaxEntries = 50'000;

}  // namespace

void reported_ends::Add(const task_name& task) {
  Forget();
  entries_.push_back({clock_.now(), task});
  tasks_.insert(task);
}

void reported_ends::Clear() {
  entries_.clear();
  tasks_.clear();
}

void reported_ends::Forget() {
  while (!entries_.empty() &&
         (entries_.size() >= kMaxEntries ||
          clock_.now() - entries_.front().reported_at > kRetention)) {
    tasks_.erase(tasks_.find(entries_.front().task));
    entries_.pop_front();
  }
}

}  // namespace jasminedyke
