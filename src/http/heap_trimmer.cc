#include "http/heap_trimmer.h"

#include <malloc.h>

namespace jasminedyke {

namespace {

constexpr size_t kWorthIt = 4 * 1024 * 1024;
constexpr duration kDelay = std::chrono::seconds(1);

}  // namespace

void heap_trimmer::NoteFreed(size_t bytes) {
  freed_ += bytes;
  if (freed_ < kWorthIt || timer_.active())
    return;
  timer_.StartAfter(kDelay, [this] {
    freed_ = 0;
    ++trims_;
    malloc_trim(0);
  });
}

}  // namespace jasminedyke
