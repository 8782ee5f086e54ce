// Whether the owners of jobs are to send a home's starts.

#ifndef SRC_RUNS_OWNER_STARTS_H_
#define SRC_RUNS_OWNER_STARTS_H_

#include "base/base.h"
#include "runs/byte_rate.h"
#include "runs/run_messages.h"

namespace jasminedyke {

// They are while the specifications of all starts, whoever sends them, would
// take too much of the home's link.
class owner_starts {
 public:
  // `link`: bytes a second that it carries each way; 0 if not known.
  owner_starts(const home_group& group, double link)
      : group_(group), link_(link) {}

  void NoteStart(time_point now, const run_request& request);
  void Watch(time_point now);
  bool wanted() const { return wanted_; }

 private:
  home_group group_;
  double link_;
  byte_rate spec_rate_;
  bool wanted_ = false;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_OWNER_STARTS_H_
