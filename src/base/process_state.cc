#include "base/process_state.h"

#include <ctime>
#include <fstream>
#include <memory>

#include <dirent.h>
#include <sys/resource.h>
#include <unistd.h>

namespace jasminedyke {

namespace {

constexpr uint64_t kBytesInKilobyte = 1024;
// In the listing of open descriptors: ".", "..", and the listing's own.
constexpr uint64_t kNotCounted = 3;

const int64_t kStartedAt = std::time(nullptr);

reload_counts g_reloads;

std::optional<uint64_t> ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  uint64_t size = 0;
  uint64_t resident = 0;
  if (!(file >> size >> resident))
    return std::nullopt;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

std::optional<uint64_t> OpenDescriptors() {
  auto close = [](DIR* listing) { closedir(listing); };
  std::unique_ptr<DIR, decltype(close)> listing(opendir("/proc/self/fd"),
                                                close);
  if (!listing)
    return std::nullopt;
  uint64_t entries = 0;
  while (readdir(listing.get()))
    ++entries;
  if (entries < kNotCounted)
    return std::nullopt;
  return entries - kNotCounted;
}

std::optional<uint64_t> DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return std::nullopt;
  return limit.rlim_cur;
}

}  // namespace

process_state ReadProcessState() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  process_state state;
  state.started_at = kStartedAt;
  state.resident_bytes = ResidentBytes();
  state.peak_resident_bytes =
      static_cast<uint64_t>(usage.ru_maxrss) * kBytesInKilobyte;
  state.descriptors = OpenDescriptors();
  state.descriptor_limit = DescriptorLimit();
  return state;
}

void CountReload(bool valid) {
  ++g_reloads.all;
  g_reloads.failed += valid ? 0 : 1;
}

reload_counts CountedReloads() {
  return g_reloads;
}

}  // namespace jasminedyke
