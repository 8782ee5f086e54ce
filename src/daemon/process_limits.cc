#include "daemon/process_limits.h"

#include <algorithm>

#include <sys/resource.h>

namespace jasminedyke {

namespace {

constexpr size_t kMegabyte = 1024 * 1024;
// Where the limit can't be read, or there is none.
constexpr size_t kMostDescriptors = 65'536;
constexpr size_t kCallersPart = 2;
constexpr size_t kWatchersPart = 32;
constexpr size_t kMostWatchers = 64;
constexpr size_t kUnprovenPart = 32;
constexpr size_t kMostUnproven = 64;
constexpr size_t kFewest = 2;
constexpr size_t kHeldPart = 8;
constexpr size_t kLinksPart = 4;
constexpr size_t kSmallestLinks = 32 * kMegabyte;
constexpr size_t kFramePart = 16;
constexpr size_t kSmallestFrame = 4 * kMegabyte;
// A text of empty objects takes 30 times its size when it is parsed.
constexpr size_t kBodyPart = 128;
// What operators usually allow callers.
constexpr size_t kSmallestBody = 256 * 1024;
constexpr size_t kLargestBody = 64 * kMegabyte;
constexpr size_t kSmallestHeld = 4 * kMegabyte;
constexpr size_t kTasksPart = 4;
// Memory that a task of an open job takes, at its owner and its home together.
constexpr size_t kBytesOfTask = 420;
constexpr uint64_t kLargestJob = 100'000;
constexpr size_t kWatchersBody = 2 * kMegabyte;

}  // namespace

process_limits OwnLimits(double memory_mb) {
  rlimit files{};
  bool known = getrlimit(RLIMIT_NOFILE, &files) == 0;
  size_t descriptors = kMostDescriptors;
  if (known && files.rlim_cur < kMostDescriptors)
    descriptors = static_cast<size_t>(files.rlim_cur);
  return {descriptors, static_cast<size_t>(memory_mb * kMegabyte)};
}

http_server_limits CallersLimits(const process_limits& process) {
  http_server_limits limits;
  limits.places.most = std::max(kFewest, process.descriptors / kCallersPart);
  if (process.memory_bytes == 0)
    return limits;
  limits.max_body_bytes =
      std::clamp(process.memory_bytes / kBodyPart, kSmallestBody, kLargestBody);
  limits.max_held_bytes =
      std::max(kSmallestHeld, process.memory_bytes / kHeldPart);
  return limits;
}

http_server_limits WatchersLimits(const process_limits& process) {
  http_server_limits limits;
  limits.places.most =
      std::clamp(process.descriptors / kWatchersPart, kFewest, kMostWatchers);
  limits.max_body_bytes = kWatchersBody;
  limits.max_held_bytes = kSmallestHeld;
  return limits;
}

link_limits PeersLimits(const process_limits& process) {
  link_limits limits;
  if (process.memory_bytes == 0)
    return limits;
  limits.max_held = std::max(kSmallestLinks, process.memory_bytes / kLinksPart);
  limits.max_frame = std::clamp(process.memory_bytes / kFramePart,
                                kSmallestFrame, limits.max_frame);
  return limits;
}

uint64_t MostOpenTasks(const process_limits& process) {
  if (process.memory_bytes == 0)
    return 0;
  return std::max<uint64_t>(kLargestJob,
                            process.memory_bytes / kTasksPart / kBytesOfTask);
}

size_t MostUnprovenPeers(const process_limits& process) {
  return std::clamp(process.descriptors / kUnprovenPart, kFewest,
                    kMostUnproven);
}

}  // namespace jasminedyke
