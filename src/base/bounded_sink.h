// Where log lines leave the process.

#ifndef SRC_BASE_BOUNDED_SINK_H_
#define SRC_BASE_BOUNDED_SINK_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace jasminedyke {

// Writes to a descriptor without ever waiting for its reader, and no more than
// a bounded number of lines a second: a full pipe or a storm of events must not
// slow requests down. The next line that gets through says how many did not.
class bounded_sink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  using log_clock = std::chrono::steady_clock;

  explicit bounded_sink(int descriptor) : descriptor_(descriptor) {}

  uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  // A leaky bucket of lines.
  struct allowance {
    double lines = 0;
    log_clock::time_point refilled;

    bool Take(double per_second, double burst);
  };

  bool MayWrite(spdlog::level::level_enum level);
  bool IsReady() const;
  void Write(const std::string& line);
  // False while the reader is to be waited for.
  bool WriteRest();

  int descriptor_;
  // Of a line that has been begun.
  std::string rest_;
  uint64_t dropped_ = 0;
  uint64_t told_ = 0;
  allowance events_;
  // Of their own, so that a storm of single requests' lines can't hide what
  // happened to the instance.
  allowance warnings_;
};

}  // namespace jasminedyke

#endif  // SRC_BASE_BOUNDED_SINK_H_
