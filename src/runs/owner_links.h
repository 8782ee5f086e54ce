// Tracks the links to the owners of a home's jobs, and tells which jobs have
// lost their owner and by when their runs must be over.

#ifndef SRC_RUNS_OWNER_LINKS_H_
#define SRC_RUNS_OWNER_LINKS_H_

#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "runs/home_job.h"
#include "runs/return_bound.h"

namespace jasminedyke {

// An owner tells its home once that it no longer needs a job. If the link
// breaks, that message may be lost, or the owner's process may have ended. So a
// job outlives the link over which it came only if its owner sends it again
// over the next one; the owner does so as soon as it knows its home again. All
// other jobs have no owner any more.
//
// An owner may also fall silent, or its message be read late. It therefore
// confirms what this instance sends. Messages on a link keep their order, so at
// the time when the confirmed message was sent, the owner had all jobs that it
// has sent over that link and not cancelled.
class owner_links {
 public:
  owner_links(const scheduler& clock,
              home_job_map& jobs,
              const return_bound& bound)
      : clock_(clock), jobs_(jobs), bound_(bound) {}

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
  // The owner has handled what reached it until it read a message that was sent
  // at `sent`, by `scheduler::boot_now`. Returns true if the owner's tasks may
  // start now and could not before.
  bool OnConfirmed(const instance_id& owner, time_point sent);
  // This instance has handled what reached it until `handled_until`.
  void OnOwnConfirmed(time_point handled_until);
  // Marks the job as cancelled: later confirmations say nothing of it.
  void Cancel(home_job& job);

  // The time by which the runs of the job must be over, unless its owner
  // confirms later that it still has the job. By `scheduler::boot_now`.
  time_point EndOfRuns(const home_job& job) const;
  // Whether tasks of the job may start: its owner has confirmed recently.
  bool MayStart(const home_job& job) const;

  // Returns the jobs whose owners have not sent them again in time.
  std::vector<home_job*> Abandoned() const;
  // Returns the jobs with runs whose owners are linked and have fallen silent.
  std::vector<home_job*> Unconfirmed() const;

 private:
  struct owner_link {
    incarnation_id incarnation;
    time_point confirmed_at = kLongAgo;
  };

  time_point ConfirmedAt(const home_job& job) const;
  void MarkOrphaned(home_job& job);

  const scheduler& clock_;
  home_job_map& jobs_;
  const return_bound& bound_;
  // The processes that are linked now.
  std::map<instance_id, owner_link> linked_;
  // The confirmation by this instance, which has no link to itself. Before the
  // first one it counts as just given.
  std::optional<time_point> own_confirmed_at_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_OWNER_LINKS_H_
