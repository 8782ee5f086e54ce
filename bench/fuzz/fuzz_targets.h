// What the fuzzer and the replay of its corpus have in common.

#ifndef BENCH_FUZZ_FUZZ_TARGETS_H_
#define BENCH_FUZZ_FUZZ_TARGETS_H_

#include <cstddef>
#include <cstdint>

namespace jasminedyke {

// Ends the process if the bytes break an invariant.
void FuzzOne(const uint8_t* data, size_t size);

}  // namespace jasminedyke

#endif  // BENCH_FUZZ_FUZZ_TARGETS_H_
