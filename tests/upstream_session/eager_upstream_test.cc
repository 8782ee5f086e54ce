// An upstream that answers holds at once instead of waiting for an end.

#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/session_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against a core that is used up: an upstream that doesn't wait, or that
// lists an end of which nothing is known, answers each hold at once.
TEST_CASE("holds that are answered at once and empty follow after pauses") {
  manual_scheduler clock;
  scripted_port port;
  session_log log;
  answer_times times;
  late_starts late;
  upstream_info info;
  info.id = upstream_id("u1");
  info.capacity = {32'000, 65'536, 0};
  upstream_session session(clock, port, info, fencing_token(1),
                           upstream_session::limits(), times, late, log);
  auto answer_for = [&](duration time, const std::vector<listed_run>& running) {
    size_t before = port.holds.size();
    for (duration passed{}; passed < time; passed += milliseconds(1)) {
      for (auto& done : std::exchange(port.holds, {}))
        done(ListedAt(1000 + WholeMilliseconds(clock.now().time_since_epoch()),
                      running));
      clock.Advance(milliseconds(1));
    }
    return port.orders.size() - before;
  };
  answer_for(milliseconds(100), {});
  port.orders.clear();
  // While idle, and while something runs.
  CHECK(answer_for(seconds(4), {}) <= 10);
  session.Start(kTask, run_number(1), "10000", kNeed, {});
  port.orders.clear();
  CHECK(answer_for(seconds(4), {{kTask, run_number(1), std::nullopt}}) <= 40);
}

}  // namespace jasminedyke
