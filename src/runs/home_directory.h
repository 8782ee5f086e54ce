// Which instance is home to which group of upstreams, as the homes tell.

#ifndef SRC_RUNS_HOME_DIRECTORY_H_
#define SRC_RUNS_HOME_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>

#include "base/base.h"
#include "runs/run_messages.h"

namespace jasminedyke {

struct known_home {
  instance_id instance;
  home_status status;
  time_point heard;
};

// The newest word of each group's home. Of two that claim a group, the higher
// token counts.
class home_directory {
 public:
  explicit home_directory(scheduler& clock) : clock_(clock) {}

  // True if another instance is the group's home now.
  bool Update(const instance_id& from, const home_status& status);
  // Forgets what that instance was home to. True if it was any.
  bool OnPeerDown(const instance_id& peer);

  // Null if no home is known that serves.
  const known_home* Find(const home_group& group) const;

  // The homes that take jobs, best first for a job from `own` that needs
  // `cpu_millis` at once: a home elsewhere goes first only if the wait that it
  // saves pays for the way. Those that went quiet come last.
  std::vector<known_home> Ranked(const failure_domain_id& own,
                                 int64_t cpu_millis = 0) const;

  // Nothing is sent to homes in these failure domains.
  void SetDrained(const std::set<failure_domain_id>& domains);
  // All failure domains that have instances, also those without a home now.
  void SetDomains(const std::set<failure_domain_id>& domains);
  // No failure domain is left that takes jobs, or will once it has a home.
  bool AllDrained() const;

  // Work was sent there: until the home's next word it has less room.
  void NoteSent(const home_group& group, int64_t cpu_millis);

  // True if that home seems to have places for a job that needs so much.
  static bool HasPlaces(const home_status& status, int64_t cpu_millis);

  // The highest token heard of for a group; 0 if none.
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
