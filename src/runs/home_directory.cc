#include "runs/home_directory.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// Added to the wait of a job in another failure domain, for the longer latency
// of its messages and for the traffic between domains, which is charged.
constexpr duration kOtherDomainPenalty = std::chrono::milliseconds(10);

// Share of the free capacity that tasks can use. Fragmentation makes the rest
// unusable: tasks of 14 cores leave 4 cores of 32 unused.
constexpr double kUsableShare = 0.8;
// Assumed run time of the tasks that a job waits for. Most tasks of the users'
// queues take 200 ms; the range is from 60 ms to 900 ms.
constexpr duration kTypicalRunTime = std::chrono::milliseconds(200);

// Age at which a status is outdated. Homes send their status every 50 ms. A
// home that missed four is slow, suspended or has crashed, but the link to the
// home shows this only after a second. Until then new jobs are better sent
// elsewhere.
constexpr duration kOutdatedAfter = std::chrono::milliseconds(200);

double UsableMillis(const home_status& status) {
  return static_cast<double>(status.free_cpu_millis) * kUsableShare;
}

// Assumes that all cores of a group become free once per typical run time.
duration WaitForCapacity(const home_status& status, int64_t cpu_millis) {
  double missing = static_cast<double>(cpu_millis) - UsableMillis(status);
  double share = missing / static_cast<double>(status.total_cpu_millis);
  return FromSeconds(std::max(0.0, share) * ToSeconds(kTypicalRunTime));
}

}  // namespace

bool home_directory::HasFreeCapacity(const home_status& status,
                                     int64_t cpu_millis) {
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

void home_directory::DeductSentWork(const home_group& group,
                                    int64_t cpu_millis) {
  auto found = homes_.find(group);
  if (found != homes_.end())
    found->second.status.free_cpu_millis -= cpu_millis;
}

std::vector<known_home> home_directory::Ranked(const failure_domain_id& own,
                                               int64_t cpu_millis) const {
  struct candidate {
    bool outdated;
    duration cost;
    const known_home* home;
  };
  std::vector<candidate> candidates;
  for (const auto& [group, home] : homes_) {
    if (home.status.total_cpu_millis == 0 || drained_.contains(group.domain))
      continue;
    duration cost = home.status.wait + WaitForCapacity(home.status, cpu_millis);
    if (group.domain != own)
      cost += kOtherDomainPenalty;
    bool outdated = clock_.now() - home.received_at > kOutdatedAfter;
    candidates.push_back({outdated, cost, &home});
  }
  std::ranges::stable_sort(candidates, {}, [](const candidate& option) {
    return std::pair(option.outdated, option.cost);
  });
  std::vector<known_home> ranked;
  ranked.reserve(candidates.size());
  for (const candidate& option : candidates)
    ranked.push_back(*option.home);
  return ranked;
}

void home_directory::SetDrained(const std::set<failure_domain_id>& domains) {
  drained_ = domains;
}

void home_directory::SetDomains(const std::set<failure_domain_id>& domains) {
  domains_ = domains;
}

// This function compares all domains and not only those with a known home.
// After a power failure, the home of a drained domain may be the first to
// return; if only known homes counted, callers would be refused for seconds
// although the other homes serve 0.1 s later.
bool home_directory::AllDrained() const {
  return !domains_.empty() && std::ranges::includes(drained_, domains_);
}

fencing_token home_directory::HighestToken(const home_group& group) const {
  auto found = tokens_.find(group);
  return found == tokens_.end() ? fencing_token() : found->second;
}

}  // namespace jasminedyke
