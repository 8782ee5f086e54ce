#include "runs/owner_starts.h"

namespace jasminedyke {

namespace {

// Of this instance's link, the share that specifications in starts may take.
// Jobs bring each specification in once, holds need as many bytes again, and
// bursts must pass within the little time that callers of short tasks can lose.
// Below that a start by the owner costs a message more and connections of its
// own.
constexpr double kMostSpecShare = 0.2;
constexpr double kFewSpecShare = 0.1;

}  // namespace

void owner_starts::NoteStart(time_point now, const run_request& request) {
  spec_rate_.Note(now, request.kept_spec_bytes.value_or(request.spec.size()));
}

void owner_starts::Watch(time_point now) {
  if (link_ <= 0)
    return;
  double share = spec_rate_.PerSecond(now) / link_;
  bool was = wanted_;
  wanted_ = share > (was ? kFewSpecShare : kMostSpecShare);
  if (wanted_ != was)
    LogEvent(log_level::kInfo, "owners_start",
             {{"group", group_.ToString()},
              {"on", wanted_ ? 1 : 0},
              {"share_of_link", share}});
}

}  // namespace jasminedyke
