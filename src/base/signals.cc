#include "base/signals.h"

#include <array>
#include <atomic>
#include <csignal>

namespace jasminedyke {

namespace {

struct counted_signal {
  int number;
  const char* name;
  bool harmless;
};

constexpr std::array kCounted = {
    counted_signal{SIGTERM, "SIGTERM", false},
    counted_signal{SIGINT, "SIGINT", false},
    counted_signal{SIGHUP, "SIGHUP", false},
    counted_signal{SIGUSR1, "SIGUSR1", true},
    counted_signal{SIGUSR2, "SIGUSR2", true},
    counted_signal{SIGALRM, "SIGALRM", true},
    counted_signal{SIGVTALRM, "SIGVTALRM", true},
    counted_signal{SIGPROF, "SIGPROF", true},
    counted_signal{SIGIO, "SIGIO", true},
    counted_signal{SIGPWR, "SIGPWR", true},
    counted_signal{SIGSTKFLT, "SIGSTKFLT", true},
    counted_signal{SIGXFSZ, "SIGXFSZ", true},
};

std::array<std::atomic<uint64_t>, kCounted.size()> g_times;
static_assert(std::atomic<uint64_t>::is_always_lock_free);

}  // namespace

void CountHarmlessSignals() {
  // A peer that closes is too usual to be counted.
  std::signal(SIGPIPE, SIG_IGN);
  struct sigaction action {};
  action.sa_handler = &CountSignal;
  // What the loop was doing goes on.
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  for (const counted_signal& each : kCounted) {
    if (each.harmless)
      sigaction(each.number, &action, nullptr);
  }
}

void CountSignal(int number) {
  for (size_t i = 0; i < kCounted.size(); ++i) {
    if (kCounted[i].number == number)
      g_times[i].fetch_add(1, std::memory_order_relaxed);
  }
}

const char* SignalName(int number) {
  for (const counted_signal& each : kCounted) {
    if (each.number == number)
      return each.name;
  }
  return "other";
}

std::vector<signal_count> CountedSignals() {
  std::vector<signal_count> come;
  for (size_t i = 0; i < kCounted.size(); ++i) {
    uint64_t times = g_times[i].load(std::memory_order_relaxed);
    if (times > 0)
      come.push_back({kCounted[i].name, times});
  }
  return come;
}

}  // namespace jasminedyke
