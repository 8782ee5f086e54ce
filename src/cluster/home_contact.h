// Tells whether this instance knows what the home of its group knew lately.

#ifndef SRC_CLUSTER_HOME_CONTACT_H_
#define SRC_CLUSTER_HOME_CONTACT_H_

#include "base/base.h"

namespace jasminedyke {

// A home tells the other instances of each change of its list of upstreams. An
// instance that was cut off from the home, or stood still, has missed some, and
// its list lacks upstreams on which tasks may run.
//
// An instance that stood still reads at once what the home had sent before.
// Statuses therefore count only if they have come in over a longer time.
class home_contact {
 public:
  explicit home_contact(const scheduler& clock) : clock_(clock) {}

  // A whole list has come from the home or from an instance that knows it.
  void OnList();
  // The home has sent its status.
  void OnStatus();

  // Whether the contact was lost so recently that what the home has learnt
  // since is still in the store.
  bool IsRecent() const;

 private:
  const scheduler& clock_;
  // By `scheduler::boot_now`, as the home may have served while this machine
  // was suspended.
  time_point status_at_ = kLongAgo;
  // Since when statuses have come in without a gap.
  time_point steady_since_ = kLongAgo;
  // The latest time at which this instance surely knew what the home knew.
  time_point current_at_ = kLongAgo;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_HOME_CONTACT_H_
