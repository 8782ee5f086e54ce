// Tracks the links to the owners of a home's jobs, and tells which jobs have
// lost their owner.

#ifndef SRC_RUNS_OWNER_LINKS_H_
#define SRC_RUNS_OWNER_LINKS_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "runs/home_job.h"

namespace jasminedyke {

// An owner tells its home once that it no longer needs a job. If the link
// breaks, that message may be lost, or the owner's process may have ended. So a
// job outlives the link over which it came only if its owner sends it again
// over the next one; the owner does so as soon as it knows its home again. All
// other jobs have no owner any more.
class owner_links {
 public:
  owner_links(const scheduler& clock, home_job_map& jobs)
      : clock_(clock), jobs_(jobs) {}

  // The owner has sent the job over its present link.
  void OnJobSent(const instance_id& owner, home_job& job);
  // The link to the owner broke.
  void OnDown(const instance_id& owner);
  // The owner did not send a start, as there is no link to it or it does not
  // have the job.
  void OnStartNotSent(home_job& job);
  // There is a new link to the owner. Returns the jobs of earlier processes of
  // that instance.
  std::vector<home_job*> OnUp(const instance_id& owner,
                              const incarnation_id& incarnation);
  // Returns the jobs whose owners have not sent them again in time.
  std::vector<home_job*> Abandoned() const;

 private:
  void MarkOrphaned(home_job& job);

  const scheduler& clock_;
  home_job_map& jobs_;
  // The processes that are linked now.
  std::map<instance_id, incarnation_id> linked_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_OWNER_LINKS_H_
