// Estimates how fast each upstream runs tasks, from its observed runs.

#ifndef SRC_POLICY_UPSTREAM_SPEEDS_H_
#define SRC_POLICY_UPSTREAM_SPEEDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// Handles upstreams whose speeds differ permanently, such as several hardware
// generations, or temporarily, such as when other load slows a machine down. 1
// is the usual speed; an upstream of speed 2 runs a task in half the time.
//
// The expected time of a run is inaccurate, so an upstream's own estimate is
// used only once its difference from the usual speed is statistically
// significant. Until then the upstream has the speed of its kind, which is all
// upstreams with the same labels. A kind without a significant difference has
// the usual speed. Upstreams that are all alike thus have a speed of exactly 1.
//
// Speeds are relative to their geometric mean over all known upstreams, as a
// deviation that all runs share is an error of the expected times and not a
// property of the upstreams.
class upstream_speeds {
 public:
  // Records a run that took `took` and was expected to take `usual` at the
  // usual speed.
  void RecordRun(const upstream_id& id,
                 const std::string& kind,
                 duration usual,
                 duration took,
                 time_point now);
  // Adopts the speed that another home estimated, unless the estimate here
  // already rests on more runs than such a speed counts for.
  void AdoptSpeed(const upstream_id& id,
                  const std::string& kind,
                  double speed,
                  time_point now);
  // Drops an upstream that is gone or whose id belongs to a new incarnation.
  void Forget(const upstream_id& id) { known_.erase(id); }

  double Of(const upstream_id& id, const std::string& kind) const;
  double OfKind(const std::string& kind) const;
  // Increases whenever the speeds of kinds may have changed.
  uint64_t refreshes() const { return refreshes_; }
  // Ids of the upstreams with recorded runs or an adopted speed.
  std::vector<upstream_id> known() const;

 private:
  // An estimate of the logarithm of an upstream's speed.
  struct estimate {
    std::string kind;
    // Relative to an offset common to all upstreams, which is `centre_`.
    double mean = 0;
    // Moving mean of the deviations from `mean`; far from 0 after a change of
    // speed.
    double drift = 0;
    // Number of runs that `mean` counts for; decays while there are none.
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
  // Updates `centre_` and `kinds_` and decays the weight of idle upstreams, at
  // most once per interval.
  void Refresh(time_point now);

  std::map<upstream_id, estimate> known_;
  std::map<std::string, kind_estimate> kinds_;
  // Weighted average of `mean` over all known upstreams.
  double centre_ = 0;
  time_point refreshed_at_;
  uint64_t refreshes_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_UPSTREAM_SPEEDS_H_
