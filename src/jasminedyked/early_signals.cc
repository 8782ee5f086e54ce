// Holds signals before the program's own objects are made.

#include "base/signals.h"
#include "daemon/daemon_run.h"

namespace {

// The lowest that programs may use: runs after the libraries' own beginnings,
// some of which a test's or an operator's tool may have put in front.
constexpr int kFirst = 101;

[[gnu::constructor(kFirst)]] void HoldSignalsEarly() {
  jasminedyke::HoldSignals();
  jasminedyke::CountHarmlessSignals();
}

}  // namespace
