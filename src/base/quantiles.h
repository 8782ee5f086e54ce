// Quantiles of a stream that follow change, by Boost.Accumulators.

#ifndef SRC_BASE_QUANTILES_H_
#define SRC_BASE_QUANTILES_H_

#include <cstdint>
#include <memory>

#include "base/runtime_clock.h"

namespace jasminedyke {

// Count, mean and quantiles of the values of the last one to two windows.
// A P-square accumulator never forgets, so two of them take turns: the older
// is thrown away when a window ends. Memory is constant.
class windowed_quantiles {
 public:
  explicit windowed_quantiles(duration window);
  ~windowed_quantiles();
  windowed_quantiles(windowed_quantiles&&) noexcept;
  windowed_quantiles& operator=(windowed_quantiles&&) noexcept;

  void Add(double value, time_point now);

  // Over both windows; 0 while nothing was added.
  uint64_t count() const;
  double mean() const;
  // Of the window with more values; 0 while nothing was added.
  double median() const;
  double p90() const;
  double p99() const;
  double max() const;

 private:
  struct accumulators;

  void Rotate(time_point now);
  const accumulators& fuller() const;

  duration window_;
  std::unique_ptr<accumulators> current_;
  std::unique_ptr<accumulators> previous_;
  time_point window_end_;
};

}  // namespace jasminedyke

#endif  // SRC_BASE_QUANTILES_H_
