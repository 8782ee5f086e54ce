// Tells in the log when the process comes near its limits.

#ifndef SRC_DAEMON_LIMIT_WATCH_H_
#define SRC_DAEMON_LIMIT_WATCH_H_

#include <cstdint>

#include "base/process_state.h"

namespace jasminedyke {

// Something that is used up to a limit.
class limited_use {
 public:
  // True when the use has come to four fifths of the limit; again only after it
  // was below three fifths. A limit of 0 is none.
  bool ComesNear(uint64_t used, uint64_t limit);

 private:
  bool near_ = false;
};

// A process that is killed for its memory leaves no line, so one is written
// before. Checked every few seconds.
class limit_watch {
 public:
  // 0 if memory has no known limit.
  explicit limit_watch(uint64_t memory_limit_bytes)
      : memory_limit_bytes_(memory_limit_bytes) {}

  void Check(const process_state& state);

 private:
  uint64_t memory_limit_bytes_;
  limited_use memory_;
  limited_use descriptors_;
};

}  // namespace jasminedyke

#endif  // SRC_DAEMON_LIMIT_WATCH_H_
