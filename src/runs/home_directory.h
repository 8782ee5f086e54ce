// Tracks which instance is home to each group of upstreams, as reported by the
// homes.

#ifndef SRC_RUNS_HOME_DIRECTORY_H_
#define SRC_RUNS_HOME_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>

#include "base/base.h"
#include "runs/run_messages.h"

namespace jasminedyke {

// The latest status of a home and when it was received.
struct known_home {
  instance_id instance;
  home_status status;
  time_point received_at;
};

// Keeps the latest status of each group's home. If two instances claim a group,
// the one with the higher fencing token is its home.
class home_directory {
 public:
  explicit home_directory(scheduler& clock) : clock_(clock) {}

  // Returns true if the group's home or its fencing token has changed, or if
  // the group has no home any more.
  bool Update(const instance_id& from, const home_status& status);
  // Forgets the groups of this instance. Returns true if it had any.
  bool OnPeerDown(const instance_id& peer);

  // Returns null if no serving home of the group is known.
  const known_home* Find(const home_group& group) const;

  // Returns the homes that take jobs, best first for a job that comes from the
  // failure domain `own` and needs `cpu_millis` at once. A home in another
  // domain is preferred only if it saves more wait than the transfer costs.
  // Homes whose status is outdated come last.
  std::vector<known_home> Ranked(const failure_domain_id& own,
                                 int64_t cpu_millis = 0) const;

  // Sets the failure domains to whose homes no jobs are sent.
  void SetDrained(const std::set<failure_domain_id>& domains);
  // Sets all failure domains that have instances, including those without a
  // home.
  void SetDomains(const std::set<failure_domain_id>& domains);
  // Returns true if every failure domain is drained, so that none takes jobs
  // now or once it has a home.
  bool AllDrained() const;

  // Deducts work that was sent to the home from its free capacity, until its
  // next status arrives.
  void DeductSentWork(const home_group& group, int64_t cpu_millis);

  // Returns true if a home with this status probably has free capacity for a
  // job that needs `cpu_millis`.
  static bool HasFreeCapacity(const home_status& status, int64_t cpu_millis);

  // Returns the highest token received for a group, or 0 if there is none.
  fencing_token HighestToken(const home_group& group) const;

 private:
  scheduler& clock_;
  std::map<home_group, known_home> homes_;
  std::map<home_group, fencing_token> tokens_;
  std::set<failure_domain_id> domains_;
  std::set<failure_domain_id> drained_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_DIRECTORY_H_
