// Signals that reach the process.

#ifndef SRC_BASE_SIGNALS_H_
#define SRC_BASE_SIGNALS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace jasminedyke {

// How often a signal has come.
struct signal_count {
  std::string name;
  uint64_t times = 0;
};

// From now on signals that tell a daemon nothing, and end a process by
// default, are counted and change nothing else; one that is raised by a write,
// to a peer that is gone or beyond the largest size of a file, is an error of
// that write.
void CountHarmlessSignals();

// Counts one that the process acts on. May be called in a signal's handler.
void CountSignal(int number);

// "SIGTERM". "other" for one that isn't counted by name.
const char* SignalName(int number);

// Those that have come.
std::vector<signal_count> CountedSignals();

}  // namespace jasminedyke

#endif  // SRC_BASE_SIGNALS_H_
