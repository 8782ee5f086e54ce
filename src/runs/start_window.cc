#include "runs/start_window.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// CoDel's interval: longer than an answer takes on any sound link, so that a
// burst is over within it.
constexpr duration kInterval = std::chrono::milliseconds(100);
// Fewer answers say nothing of all upstreams.
constexpr size_t kFewestAnswers = 4;
// Calls count as unanswered after 300 ms, and what is repeated then makes a
// full link fuller. Short of that the link carries as much as it can.
constexpr duration kTarget = std::chrono::milliseconds(100);
// Of intervals that are late: a burst of jobs, or a pause, is over by then.
constexpr int kLateBeforeBound = 3;
// An upstream that answers later, or never, occupies no place any longer.
constexpr duration kForgottenAfter = std::chrono::milliseconds(300);
// BBR's least window: enough to go on measuring.
constexpr double kLeastBound = 4;
// Of the bound that the best rate needs. Fewer starts don't help where other
// traffic is what is late.
constexpr double kLeastShare = 0.5;
// Each interval. Half of what is in flight goes in a third of a second, and a
// bound ten times too low is made good within two.
constexpr double kShrink = 0.8;
constexpr double kGrowth = 1.25;
// Of the best rate, each interval: a crowd's figures are forgotten within
// seconds.
constexpr double kRateKept = 0.99;
// Without an answer yet.
constexpr double kLeastRate = 1;

duration LowerQuartile(std::vector<duration>& values) {
  auto quarter = values.begin() + static_cast<ptrdiff_t>(values.size() / 4);
  std::ranges::nth_element(values, quarter);
  return *quarter;
}

}  // namespace

start_window::start_window(scheduler& clock,
                           upstream_port& next,
                           open_handler on_open)
    : clock_(clock),
      next_(next),
      on_open_(std::move(on_open)),
      interval_begun_(clock.now()) {}

bool start_window::IsOpen() {
  CloseInterval();
  if (!bound_ || static_cast<double>(InFlight()) < *bound_)
    return true;
  was_full_ = true;
  return false;
}

duration start_window::WaitFor(size_t starts) const {
  return FromSeconds(static_cast<double>(starts) /
                     std::max(best_rate_, kLeastRate));
}

size_t start_window::InFlight() const {
  time_point since = clock_.now() - kForgottenAfter;
  return static_cast<size_t>(std::ranges::count_if(
      unanswered_,
      [&](const auto& entry) { return entry.second.sent > since; }));
}

void start_window::CloseInterval() {
  duration length = clock_.now() - interval_begun_;
  if (length < kInterval)
    return;
  Judge(length);
  interval_begun_ = clock_.now();
  answers_.clear();
  was_full_ = false;
}

void start_window::Judge(duration length) {
  double rate = static_cast<double>(answers_.size()) / ToSeconds(length);
  best_rate_ = std::max(rate, best_rate_ * kRateKept);
  bool tells = answers_.size() >= kFewestAnswers;
  bool late = tells && LowerQuartile(answers_) > kTarget;
  late_intervals_ = late ? late_intervals_ + 1 : 0;
  if (bound_ ? late : late_intervals_ >= kLateBeforeBound)
    Shrink();
  else if (bound_ && (tells || InFlight() == 0))
    Grow();
}

void start_window::Shrink() {
  bool began = !bound_;
  double carried = best_rate_ * ToSeconds(kTarget);
  double next =
      began ? carried : std::max(*bound_ * kShrink, carried * kLeastShare);
  bound_ = std::max(kLeastBound, next);
  if (began)
    LogEvent(
        log_level::kInfo, "starts_bounded",
        {{"on", 1}, {"bound", *bound_}, {"answers_per_second", best_rate_}});
}

void start_window::Grow() {
  if (was_full_) {
    *bound_ *= kGrowth;
    return;
  }
  bound_.reset();
  LogEvent(log_level::kInfo, "starts_bounded",
           {{"on", 0}, {"answers_per_second", best_rate_}});
}

void start_window::Start(const upstream_id& upstream,
                         const run_order& order,
                         start_callback done) {
  uint64_t number = ++last_number_;
  unanswered_[number] = {upstream, clock_.now()};
  next_.Start(upstream, order,
              [this, number, done = std::move(done)](const start_reply& reply) {
                OnAnswered(number, reply.clock.has_value());
                done(reply);
              });
}

void start_window::OnAnswered(uint64_t number, bool heard) {
  auto found = unanswered_.find(number);
  if (found == unanswered_.end())
    return;
  bool waited = was_full_;
  CloseInterval();
  if (heard)
    answers_.push_back(clock_.now() - found->second.sent);
  unanswered_.erase(found);
  if (waited)
    on_open_();
}

void start_window::Stop(const upstream_id& upstream,
                        const stop_order& order,
                        stop_callback done) {
  next_.Stop(upstream, order, std::move(done));
}

void start_window::Hold(const upstream_id& upstream,
                        const hold_order& order,
                        hold_callback done) {
  next_.Hold(upstream, order, std::move(done));
}

void start_window::Drop(const upstream_id& upstream) {
  std::erase_if(unanswered_, [&](const auto& entry) {
    return entry.second.upstream == upstream;
  });
  next_.Drop(upstream);
}

}  // namespace jasminedyke
