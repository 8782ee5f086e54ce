// Replays the fuzzer's corpus, so that no fault it found comes back.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <doctest/doctest.h>

#include "fuzz/fuzz_targets.h"

namespace jasminedyke {
namespace {

TEST_CASE("fuzz_corpus: every input is survived") {
  size_t inputs = 0;
  for (const auto& entry : std::filesystem::directory_iterator(CORPUS_DIR)) {
    std::ifstream stream(entry.path(), std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(stream)), {});
    FuzzOne(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    ++inputs;
  }
  CHECK(inputs >= 20);
}

}  // namespace
}  // namespace jasminedyke
