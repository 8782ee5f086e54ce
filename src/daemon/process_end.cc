#include "daemon/process_end.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>

#include <event2/event.h>
#include <poll.h>
#include <unistd.h>

#include "base/base.h"
#include "base/signals.h"

namespace jasminedyke {

namespace {

struct named_signal {
  int number;
  const char* name;
};

// Faults, and signals that ask for an end with a core dump.
constexpr std::array kEnding = {
    named_signal{SIGSEGV, "SIGSEGV"}, named_signal{SIGBUS, "SIGBUS"},
    named_signal{SIGFPE, "SIGFPE"},   named_signal{SIGILL, "SIGILL"},
    named_signal{SIGABRT, "SIGABRT"}, named_signal{SIGQUIT, "SIGQUIT"},
    named_signal{SIGTRAP, "SIGTRAP"}, named_signal{SIGXCPU, "SIGXCPU"},
};

// The handler has little on its stack.
constexpr size_t kHandlerStackBytes = 64 * 1024;

// How long the last line waits for the log's reader; the platform kills a
// process soon after its stop.
constexpr int kLastLineMs = 100;
constexpr int kRetryMs = 10;

// What each signal did before, as sanitizers have handlers of their own.
std::array<struct sigaction, kEnding.size()> g_before;

// Only calls that are allowed in a signal's handler.
void WriteLine(const char* text, size_t size) {
  pollfd ready{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&ready, 1, kLastLineMs) == 1 && (ready.revents & POLLOUT) != 0)
    (void)!write(STDOUT_FILENO, text, size);
}

// A fault of the program comes again on return, with its place in the code.
// What a process, a terminal or a limit sends, and a trap, don't.
bool ComesAgain(const siginfo_t& info) {
  static constexpr std::array kFaults = {SIGSEGV, SIGBUS, SIGFPE, SIGILL};
  return info.si_code > 0 &&
         std::ranges::find(kFaults, info.si_signo) != kFaults.end();
}

void OnEndingSignal(int number, siginfo_t* info, void*) {
  std::array<char, 80> line{};
  std::strcpy(line.data(), "level=critical event=ended signal=");
  for (size_t i = 0; i < kEnding.size(); ++i) {
    if (kEnding[i].number != number)
      continue;
    std::strcat(line.data(), kEnding[i].name);
    sigaction(number, &g_before[i], nullptr);
  }
  std::strcat(line.data(), "\n");
  WriteLine(line.data(), std::strlen(line.data()));
  if (!ComesAgain(*info))
    std::raise(number);
}

void HandleEndingSignals() {
  static std::array<char, kHandlerStackBytes> stack;
  stack_t present{};
  sigaltstack(nullptr, &present);
  if ((present.ss_flags & SS_DISABLE) != 0) {
    stack_t alternative{};
    alternative.ss_sp = stack.data();
    alternative.ss_size = stack.size();
    sigaltstack(&alternative, nullptr);
  }
  struct sigaction action {};
  action.sa_sigaction = &OnEndingSignal;
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_NODEFER | SA_SIGINFO);
  sigemptyset(&action.sa_mask);
  for (size_t i = 0; i < kEnding.size(); ++i) {
    sigaction(kEnding[i].number, &action, &g_before[i]);
    // As by a shell for what it starts in the background.
    if (g_before[i].sa_handler == SIG_IGN)
      sigaction(kEnding[i].number, &g_before[i], nullptr);
  }
}

std::string CurrentException() {
  try {
    std::rethrow_exception(std::current_exception());
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of unknown type";
  }
}

[[noreturn]] void OnTerminate() {
  LogEvent(log_level::kError, "terminating",
           {{"reason", std::current_exception() ? CurrentException()
                                                : "std::terminate"}});
  std::abort();
}

void OnLibeventMessage(int severity, const char* message) {
  LogEvent(severity >= EVENT_LOG_WARN ? log_level::kWarning : log_level::kDebug,
           "libevent", {{"message", message}});
}

[[noreturn]] void OnLibeventFatal(int) {
  LogEvent(log_level::kError, "terminating", {{"reason", "libevent"}});
  std::abort();
}

}  // namespace

void LogWhatEndsTheProcess() {
  CountHarmlessSignals();
  HandleEndingSignals();
  std::set_terminate(&OnTerminate);
  event_set_log_callback(&OnLibeventMessage);
  event_set_fatal_callback(&OnLibeventFatal);
}

// A line that is dropped, as the reader is slow or too many came before, is
// tried again.
void LogEnd(int status, const std::string& reason) {
  for (int waited = 0; waited <= kLastLineMs; waited += kRetryMs) {
    uint64_t dropped = DroppedLogLines();
    LogEvent(status == 0 ? log_level::kInfo : log_level::kError, "ended",
             {{"status", status}, {"reason", reason}});
    if (DroppedLogLines() == dropped)
      return;
    poll(nullptr, 0, kRetryMs);
  }
}

}  // namespace jasminedyke
