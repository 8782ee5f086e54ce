// The upstreams of one home: a session with each, and an assessment of each
// from its latest runs.

#ifndef SRC_RUNS_HOME_UPSTREAMS_H_
#define SRC_RUNS_HOME_UPSTREAMS_H_

#include <cstdint>
#include <map>
#include <memory>

#include "base/base.h"
#include "runs/home_job.h"
#include "runs/home_speeds.h"
#include "runs/upstream_registry.h"
#include "runs/upstream_session.h"
#include "runs/upstream_standing.h"

namespace jasminedyke {

class home_upstreams {
 public:
  using session_map = std::map<upstream_id, std::unique_ptr<upstream_session>>;

  const session_map& sessions() const { return sessions_; }
  // Returns null if there is no session with this upstream.
  upstream_session* Find(const upstream_id& id) const;
  void Add(std::unique_ptr<upstream_session> session);
  // Replaces what is known of the upstream by its current registration.
  void SetInfo(upstream_session& session, const upstream_info& info);
  // Lets nothing more start on upstreams that are no longer registered.
  void MarkUnregistered(const upstream_registry& registered);
  // Removes upstreams that are no longer registered and on which nothing runs.
  void ForgetUnregistered(const upstream_registry& registered);
  void Clear();

  // Returns true if for each upstream it is known what runs there, or nothing
  // can be running any more.
  bool AllSettled() const;
  // Returns true if every upstream has replied to this home or is gone.
  bool AllHeard() const;
  // Returns true unless its runs have shown the upstream to be faulty or slow.
  bool IsGood(const upstream_id& id) const;
  // Returns true if the upstream is usable and good.
  bool TakesWork(const upstream_session& session) const;
  upstream_standing& Standing(const upstream_id& id) { return standings_[id]; }
  // Called when an upstream has a new incarnation, which is assessed anew.
  void ForgetStanding(const upstream_id& id) { standings_.erase(id); }
  home_speeds& speeds() { return speeds_; }
  const home_speeds& speeds() const { return speeds_; }
  // A counter that rises whenever a session is added or removed, an upstream
  // registers anew, or the speed class of an upstream may have changed.
  uint64_t changes() const { return session_changes_ + speeds_.changes(); }
  // Returns the cores of the upstreams that take work, weighted by their speed.
  double UsableCores() const;
  // Returns true if for each unfinished task of the job some upstream has the
  // required labels and capacity. The largest capacity that an upstream has
  // reported so far counts, since a reduced capacity may grow again.
  bool CouldEverRun(const home_job& job) const;

 private:
  session_map sessions_;
  // Rises whenever a session is added or removed or an upstream registers anew.
  uint64_t session_changes_ = 0;
  std::map<upstream_id, upstream_standing> standings_;
  // Kept when this instance ceases to be home.
  home_speeds speeds_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_UPSTREAMS_H_
