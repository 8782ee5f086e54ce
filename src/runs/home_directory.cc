#include "runs/home_directory.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// What a job in another failure domain costs besides its wait: the longer way
// of its messages, and bytes between domains, which are paid for.
constexpr duration kCostOfOtherDomain = std::chrono::milliseconds(10);

// What is left free on upstreams is not all of use: tasks of 14 cores leave 4
// of 32 unused.
constexpr double kUsableRoom = 0.8;
// How long the tasks take that a job waits for: between the 60 ms and the
// 900 ms of the users' queues, most of whose tasks take 200 ms.
constexpr duration kUsualRunTime = std::chrono::milliseconds(200);

// Homes tell their status each 50 ms; one that missed four is slow, paused or
// dead, which shows on its link only after a second. Until then new jobs do
// better elsewhere.
constexpr duration kQuietAfter = std::chrono::milliseconds(200);

double UsableMillis(const home_status& status) {
  return static_cast<double>(status.free_cpu_millis) * kUsableRoom;
}

// All of a group's cores become free once in a usual run time.
duration WaitForPlaces(const home_status& status, int64_t cpu_millis) {
  double missing = static_cast<double>(cpu_millis) - UsableMillis(status);
  double share = missing / static_cast<double>(status.total_cpu_millis);
  return FromSeconds(std::max(0.0, share) * ToSeconds(kUsualRunTime));
}

}  // namespace

bool home_directory::HasPlaces(const home_status& status, int64_t cpu_millis) {
  return UsableMillis(status) >= static_cast<double>(cpu_millis);
}

bool home_directory::Update(const instance_id& from,
                            const home_status& status) {
  fencing_token& highest = tokens_[status.group];
  auto found = homes_.find(status.group);
  bool known = found != homes_.end();
  if (!status.serving) {
    if (!known || found->second.instance != from)
      return false;
    homes_.erase(found);
    return true;
  }
  if (status.token < highest)
    return false;
  highest = status.token;
  bool changed = !known || found->second.instance != from ||
                 found->second.status.token != status.token;
  homes_[status.group] = {from, status, clock_.now()};
  return changed;
}

bool home_directory::OnPeerDown(const instance_id& peer) {
  return std::erase_if(homes_, [&](const auto& entry) {
           return entry.second.instance == peer;
         }) > 0;
}

const known_home* home_directory::Find(const home_group& group) const {
  auto found = homes_.find(group);
  return found == homes_.end() ? nullptr : &found->second;
}

void home_directory::NoteSent(const home_group& group, int64_t cpu_millis) {
  auto found = homes_.find(group);
  if (found != homes_.end())
    found->second.status.free_cpu_millis -= cpu_millis;
}

std::vector<known_home> home_directory::Ranked(const failure_domain_id& own,
                                               int64_t cpu_millis) const {
  struct candidate {
    bool quiet;
    duration cost;
    const known_home* home;
  };
  std::vector<candidate> candidates;
  for (const auto& [group, home] : homes_) {
    if (home.status.total_cpu_millis == 0 || drained_.contains(group.domain))
      continue;
    duration cost = home.status.wait + WaitForPlaces(home.status, cpu_millis);
    if (group.domain != own)
      cost += kCostOfOtherDomain;
    bool quiet = clock_.now() - home.heard > kQuietAfter;
    candidates.push_back({quiet, cost, &home});
  }
  std::ranges::stable_sort(candidates, {}, [](const candidate& each) {
    return std::pair(each.quiet, each.cost);
  });
  std::vector<known_home> ranked;
  ranked.reserve(candidates.size());
  for (const candidate& each : candidates)
    ranked.push_back(*each.home);
  return ranked;
}

void home_directory::SetDrained(const std::set<failure_domain_id>& domains) {
  drained_ = domains;
}

void home_directory::SetDomains(const std::set<failure_domain_id>& domains) {
  domains_ = domains;
}

// By the domains and not by the known homes: after a loss of power the drained
// domain's home may be the first, and callers would be sent away for seconds
// though the others serve 0.1 s later.
bool home_directory::AllDrained() const {
  return !domains_.empty() && std::ranges::includes(drained_, domains_);
}

fencing_token home_directory::HighestToken(const home_group& group) const {
  auto found = tokens_.find(group);
  return found == tokens_.end() ? fencing_token() : found->second;
}

}  // namespace jasminedyke
