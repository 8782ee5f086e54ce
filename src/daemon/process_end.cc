#include "daemon/process_end.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>

#include <event2/event.h>
#include <poll.h>
#include <unistd.h>

#include "base/base.h"

namespace jasminedyke {

namespace {

struct named_signal {
  int number;
  const char* name;
};

// Those that end a process by default and that the daemon doesn't act on.
constexpr std::array kEnding = {
    named_signal{SIGSEGV, "SIGSEGV"},     named_signal{SIGBUS, "SIGBUS"},
    named_signal{SIGFPE, "SIGFPE"},       named_signal{SIGILL, "SIGILL"},
    named_signal{SIGABRT, "SIGABRT"},     named_signal{SIGQUIT, "SIGQUIT"},
    named_signal{SIGTRAP, "SIGTRAP"},     named_signal{SIGUSR1, "SIGUSR1"},
    named_signal{SIGUSR2, "SIGUSR2"},     named_signal{SIGALRM, "SIGALRM"},
    named_signal{SIGVTALRM, "SIGVTALRM"}, named_signal{SIGPROF, "SIGPROF"},
    named_signal{SIGIO, "SIGIO"},         named_signal{SIGXCPU, "SIGXCPU"},
    named_signal{SIGXFSZ, "SIGXFSZ"},
};

// Not enough for a stack overflow's deep frames, enough for one line.
constexpr size_t kHandlerStackBytes = 64 * 1024;

// Only calls that are allowed in a signal's handler; never waits for the log's
// reader.
void WriteLine(const char* text, size_t size) {
  pollfd ready{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0)
    (void)!write(STDOUT_FILENO, text, size);
}

void OnEndingSignal(int number) {
  std::array<char, 80> line{};
  std::strcpy(line.data(), "level=critical event=ended signal=");
  const char* name = "unknown";
  for (const named_signal& each : kEnding) {
    if (each.number == number)
      name = each.name;
  }
  std::strcat(line.data(), name);
  std::strcat(line.data(), "\n");
  WriteLine(line.data(), std::strlen(line.data()));
  // The handler is gone by now: the default action gives the exit status that
  // others expect, and the memory image.
  std::raise(number);
}

void HandleEndingSignals() {
  static std::array<char, kHandlerStackBytes> stack;
  stack_t alternative{};
  alternative.ss_sp = stack.data();
  alternative.ss_size = stack.size();
  sigaltstack(&alternative, nullptr);
  struct sigaction action {};
  action.sa_handler = &OnEndingSignal;
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
  sigemptyset(&action.sa_mask);
  for (const named_signal& each : kEnding)
    sigaction(each.number, &action, nullptr);
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
  LogEvent(
      severity >= EVENT_LOG_WARN ? log_level::kWarning : log_level::kDebug,
      "libevent", {{"message", message}});
}

[[noreturn]] void OnLibeventFatal(int) {
  LogEvent(log_level::kError, "terminating", {{"reason", "libevent"}});
  std::abort();
}

}  // namespace

void LogWhatEndsTheProcess() {
  HandleEndingSignals();
  std::set_terminate(&OnTerminate);
  event_set_log_callback(&OnLibeventMessage);
  event_set_fatal_callback(&OnLibeventFatal);
}

void LogEnd(int status, const std::string& reason) {
  LogEvent(status == 0 ? log_level::kInfo : log_level::kError, "ended",
           {{"status", status}, {"reason", reason}});
}

}  // namespace jasminedyke
