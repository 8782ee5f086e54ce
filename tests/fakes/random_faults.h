// Chance, faults and checks that tests of complete instances under random
// faults share.

#ifndef TESTS_FAKES_RANDOM_FAULTS_H_
#define TESTS_FAKES_RANDOM_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "fakes/run_nodes.h"

namespace jasminedyke {

class random_faults {
 public:
  // Calls of `nodes` to upstreams are lost, unanswered or delayed from then on.
  random_faults(run_nodes& nodes, uint64_t seed);
  random_faults(const random_faults&) = delete;
  random_faults& operator=(const random_faults&) = delete;

  bool Chance(double probability);
  // A number below `n`.
  size_t Pick(size_t n) { return random_() % n; }
  // Between the two, in whole milliseconds.
  duration Between(duration shortest, duration longest);
  std::mt19937_64& generator() { return random_; }

  void HealAll();
  // The jobs that ran although each of their submissions was refused as not
  // run.
  std::vector<std::string> FalselyRefused();

  // Of a call to an upstream.
  double call_fault_probability = 0;

 private:
  run_nodes& nodes_;
  std::mt19937_64 random_;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_RANDOM_FAULTS_H_
