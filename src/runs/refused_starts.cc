#include "runs/refused_starts.h"

namespace jasminedyke {

void refused_starts::Add(const start& refused,
                         time_point sent,
                         time_point now) {
  ForgetOld(now);
  auto [task, run] = refused;
  refused_start& latest = starts_[task];
  if (run >= latest.run)
    latest = {run, sent};
}

void refused_starts::OnPromised(const start& refused) {
  auto found = starts_.find(refused.first);
  if (found != starts_.end() && found->second.run <= refused.second)
    found->second.promised = true;
}

void refused_starts::OnNewIncarnation() {
  for (auto& [task, refused] : starts_)
    refused.promised = false;
}

std::vector<refused_starts::start> refused_starts::Unpromised(time_point now) {
  ForgetOld(now);
  std::vector<start> unpromised;
  for (const auto& [task, refused] : starts_) {
    if (!refused.promised)
      unpromised.emplace_back(task, refused.run);
  }
  return unpromised;
}

void refused_starts::ForgetOld(time_point now) {
  std::erase_if(starts_, [now](const auto& entry) {
    return now - entry.second.sent >= kMaxOrderDelay;
  });
}

}  // namespace jasminedyke
