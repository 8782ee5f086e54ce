// How fast each upstream runs tasks, learnt from its runs.

#ifndef SRC_POLICY_UPSTREAM_SPEEDS_H_
#define SRC_POLICY_UPSTREAM_SPEEDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// Answers the pattern of upstreams that differ for good or for a while: of
// several generations, or slowed down by a neighbour. 1 is the usual speed, 2
// runs a task in half the time.
//
// What a run should have taken is known roughly, so a speed counts only once
// its runs tell it from chance; until then an upstream has the speed of its
// kind (those with the same labels), and a kind that nobody knows the usual
// one. Where all upstreams are alike, all speeds are exactly 1.
//
// Speeds are relative to their geometric mean over all known upstreams: what
// all runs have in common is an error of the expectations, not of upstreams.
class upstream_speeds {
 public:
  // A run that would have taken `usual` at the usual speed took `took`.
  void RecordRun(const upstream_id& id,
                 const std::string& kind,
                 duration usual,
                 duration took,
                 time_point now);
  // The speed as another home learnt it; changes nothing if the upstream has
  // had runs since.
  void AdoptSpeed(const upstream_id& id,
                  const std::string& kind,
                  double speed,
                  time_point now);
  // It is gone, or another incarnation has its id.
  void Forget(const upstream_id& id) { known_.erase(id); }

  double Of(const upstream_id& id, const std::string& kind) const;
  double OfKind(const std::string& kind) const;
  // Rises whenever speeds of kinds may change.
  uint64_t refreshes() const { return refreshes_; }
  // Ids of upstreams with runs or news of their speed.
  std::vector<upstream_id> known() const;

 private:
  // Logarithms of speeds. `mean` may be off for all by a common amount.
  struct estimate {
    std::string kind;
    double mean = 0;
    // Recent deviations from `mean`; far from 0 when the speed has changed.
    double drift = 0;
    // What `mean` is worth, in runs; shrinks while there are none.
    double runs = 0;
    time_point last_run;
  };
  struct kind_estimate {
    double mean = 0;
    double runs = 0;
  };

  estimate& Find(const upstream_id& id,
                 const std::string& kind,
                 time_point now);
  // Means over all upstreams and kinds, and aging; at a bounded rate.
  void Refresh(time_point now);

  std::map<upstream_id, estimate> known_;
  std::map<std::string, kind_estimate> kinds_;
  // Of `mean` over all known upstreams.
  double centre_ = 0;
  time_point refreshed_;
  uint64_t refreshes_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_UPSTREAM_SPEEDS_H_
