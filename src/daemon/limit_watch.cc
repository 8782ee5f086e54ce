#include "daemon/limit_watch.h"

#include "base/base.h"

namespace jasminedyke {

namespace {

constexpr uint64_t kParts = 5;
constexpr uint64_t kNearParts = 4;
constexpr uint64_t kFarParts = 3;

}  // namespace

bool limited_use::ComesNear(uint64_t used, uint64_t limit) {
  if (limit == 0 || used < limit / kParts * kFarParts) {
    near_ = false;
    return false;
  }
  if (near_ || used < limit / kParts * kNearParts)
    return false;
  near_ = true;
  return true;
}

void limit_watch::Check(const process_state& state) {
  uint64_t resident = state.resident_bytes.value_or(0);
  if (memory_.ComesNear(resident, memory_limit_bytes_))
    LogEvent(
        log_level::kWarning, "near_limit",
        {{"of", "memory"}, {"used", resident}, {"limit", memory_limit_bytes_}});
  uint64_t open = state.descriptors.value_or(0);
  uint64_t most = state.descriptor_limit.value_or(0);
  if (descriptors_.ComesNear(open, most))
    LogEvent(log_level::kWarning, "near_limit",
             {{"of", "descriptors"}, {"used", open}, {"limit", most}});
}

}  // namespace jasminedyke
