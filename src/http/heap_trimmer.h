// Gives the memory of large requests back to the system.

#ifndef SRC_HTTP_HEAP_TRIMMER_H_
#define SRC_HTTP_HEAP_TRIMMER_H_

#include "base/base.h"

namespace jasminedyke {

// Requests are read into small blocks, which the heap keeps when they are
// freed: without this a process stays as large as it was at its worst.
class heap_trimmer {
 public:
  explicit heap_trimmer(scheduler& clock) : timer_(clock) {}

  // Trims a second after enough has been freed, as trimming takes a while.
  void NoteFreed(size_t bytes);

  uint64_t trims() const { return trims_; }

 private:
  size_t freed_ = 0;
  uint64_t trims_ = 0;
  scoped_timer timer_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_HEAP_TRIMMER_H_
