#include "base/bounded_sink.h"

#include <algorithm>
#include <string>

#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace jasminedyke {

namespace {

// A line costs about 20 us; 200 a second keep logging under half a percent of
// a core. A burst holds what a takeover with its jobs writes.
constexpr double kLinesPerSecond = 200;
constexpr double kBurst = 600;
// Few events are warnings, but links to all instances may end at once.
constexpr double kWarningsPerSecond = 50;
constexpr double kWarningBurst = 300;

}  // namespace

void bounded_sink::sink_it_(const spdlog::details::log_msg& message) {
  if (!MayWrite(message.level)) {
    ++dropped_;
    return;
  }
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (told_ != dropped_) {
    std::string note =
        "event=log_dropped lines=" + std::to_string(dropped_ - told_) + "\n";
    told_ = dropped_;
    Write(note);
  }
  Write(std::string(line.data(), line.size()));
}

bool bounded_sink::allowance::Take(double per_second, double burst) {
  auto now = log_clock::now();
  std::chrono::duration<double> passed = now - refilled;
  refilled = now;
  lines = std::min(burst, lines + passed.count() * per_second);
  if (lines < 1)
    return false;
  lines -= 1;
  return true;
}

bool bounded_sink::MayWrite(spdlog::level::level_enum level) {
  bool warning = level >= spdlog::level::warn;
  bool allowed = warning ? warnings_.Take(kWarningsPerSecond, kWarningBurst)
                         : events_.Take(kLinesPerSecond, kBurst);
  if (!allowed)
    return false;
  return WriteRest() && IsReady();
}

bool bounded_sink::IsReady() const {
  pollfd ready{descriptor_, POLLOUT, 0};
  return poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT);
}

void bounded_sink::Write(const std::string& line) {
  if (!WriteRest()) {
    ++dropped_;
    return;
  }
  rest_ = line;
  // Of a line that nobody takes, not even its beginning, nothing is kept.
  if (!WriteRest() && rest_.size() == line.size()) {
    rest_.clear();
    ++dropped_;
  }
}

// A pipe that is ready takes as much as its atomic size without waiting, and a
// line may be longer.
bool bounded_sink::WriteRest() {
  while (!rest_.empty()) {
    if (!IsReady())
      return false;
    ssize_t written = write(descriptor_, rest_.data(),
                            std::min<size_t>(rest_.size(), PIPE_BUF));
    if (written <= 0)
      return false;
    rest_.erase(0, static_cast<size_t>(written));
  }
  return true;
}

}  // namespace jasminedyke
