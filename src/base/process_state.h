// What the system tells about this process.

#ifndef SRC_BASE_PROCESS_STATE_H_
#define SRC_BASE_PROCESS_STATE_H_

#include <cstdint>
#include <optional>

namespace jasminedyke {

// Nothing where the system doesn't tell.
struct process_state {
  // Seconds since 1970, by the clock at the start.
  int64_t started_at = 0;
  std::optional<uint64_t> resident_bytes;
  uint64_t peak_resident_bytes = 0;
  std::optional<uint64_t> descriptors;
  std::optional<uint64_t> descriptor_limit;
};

// Takes some microseconds, and a third of one for each open descriptor.
process_state ReadProcessState();

// Of settings that were read again.
struct reload_counts {
  uint64_t all = 0;
  uint64_t failed = 0;
};

void CountReload(bool valid);
reload_counts CountedReloads();

}  // namespace jasminedyke

#endif  // SRC_BASE_PROCESS_STATE_H_
