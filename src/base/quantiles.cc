#include "base/quantiles.h"

#include <algorithm>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace jasminedyke {

namespace acc = boost::accumulators;

namespace {

using quantile_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using total_accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;

// Below this many values a P-square estimate is only its starting markers.
constexpr uint64_t kFewValues = 8;

}  // namespace

struct windowed_quantiles::accumulators {
  total_accumulator total;
  quantile_accumulator p50{acc::quantile_probability = 0.5};
  quantile_accumulator p90{acc::quantile_probability = 0.9};
  quantile_accumulator p99{acc::quantile_probability = 0.99};

  uint64_t count() const { return acc::count(total); }
  double sum() const { return count() ? acc::sum(total) : 0; }
  double max() const { return count() ? acc::max(total) : 0; }

  double quantile(const quantile_accumulator& q) const {
    if (count() == 0)
      return 0;
    if (count() < kFewValues)
      return max();
    return acc::p_square_quantile(q);
  }
};

windowed_quantiles::windowed_quantiles(duration window)
    : window_(window),
      current_(std::make_unique<accumulators>()),
      previous_(std::make_unique<accumulators>()) {}

windowed_quantiles::~windowed_quantiles() = default;
windowed_quantiles::windowed_quantiles(windowed_quantiles&&) noexcept = default;
windowed_quantiles& windowed_quantiles::operator=(
    windowed_quantiles&&) noexcept = default;

void windowed_quantiles::Add(double value, time_point now) {
  Rotate(now);
  current_->total(value);
  current_->p50(value);
  current_->p90(value);
  current_->p99(value);
}

uint64_t windowed_quantiles::count() const {
  return current_->count() + previous_->count();
}

double windowed_quantiles::mean() const {
  return count() ? (current_->sum() + previous_->sum()) / count() : 0;
}

double windowed_quantiles::median() const {
  return fuller().quantile(fuller().p50);
}

double windowed_quantiles::p90() const {
  return fuller().quantile(fuller().p90);
}

double windowed_quantiles::p99() const {
  return fuller().quantile(fuller().p99);
}

double windowed_quantiles::max() const {
  return std::max(current_->max(), previous_->max());
}

void windowed_quantiles::Rotate(time_point now) {
  if (now < window_end_)
    return;
  bool both_old = now >= window_end_ + window_;
  previous_ = both_old ? std::make_unique<accumulators>() : std::move(current_);
  current_ = std::make_unique<accumulators>();
  window_end_ = now + window_;
}

const windowed_quantiles::accumulators& windowed_quantiles::fuller() const {
  return current_->count() >= previous_->count() ? *current_ : *previous_;
}

}  // namespace jasminedyke
