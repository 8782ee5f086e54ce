// Program: libFuzzer's entry point. Built by `./run fuzz` only.

#include "fuzz/fuzz_targets.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  jasminedyke::FuzzOne(data, size);
  return 0;
}
