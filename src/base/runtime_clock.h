// The time type of the whole product. Values come from a `scheduler`, never
// from the system directly, so that tests can stop and advance time.

#ifndef SRC_BASE_RUNTIME_CLOCK_H_
#define SRC_BASE_RUNTIME_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace jasminedyke {

// Monotonic microseconds since an origin that differs between processes: a
// time point means nothing to another instance, which can only return it.
struct runtime_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<runtime_clock>;
  // The name that std::chrono asks for.
  static constexpr bool is_steady = true;  // NOLINT
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;

// Before all times, and far enough from the bounds of the type for differences.
constexpr time_point kLongAgo{duration::min() / 2};

inline double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

inline double ToMilliseconds(duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

// Rounded towards zero; for formats that know no fractions.
inline int64_t WholeMilliseconds(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

inline duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

inline duration Times(duration time, double factor) {
  return FromSeconds(ToSeconds(time) * factor);
}

inline duration FromMilliseconds(double ms) {
  return FromSeconds(ms / 1000.0);
}

}  // namespace jasminedyke

#endif  // SRC_BASE_RUNTIME_CLOCK_H_
