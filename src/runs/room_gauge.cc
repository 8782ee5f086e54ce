#include "runs/room_gauge.h"

#include <cmath>

namespace jasminedyke {

namespace {

// Of the newest task in the mean: it follows a change within some tens of
// starts, and a single job of many tasks hardly moves it.
constexpr double kWeight = 0.02;

}  // namespace

void room_gauge::Note(int64_t cpu_millis) {
  auto need = static_cast<double>(cpu_millis);
  usual_need_ += (need - usual_need_) * (usual_need_ == 0 ? 1 : kWeight);
}

int64_t room_gauge::Usable(int64_t free_cpu_millis) const {
  if (usual_need_ <= 0)
    return free_cpu_millis;
  double places =
      std::floor(static_cast<double>(free_cpu_millis) / usual_need_);
  return static_cast<int64_t>(places * usual_need_);
}

}  // namespace jasminedyke
