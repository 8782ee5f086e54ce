// The upstreams of one home: a session with each, and what their last runs say
// about them.

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
  // Null if there is none.
  upstream_session* Find(const upstream_id& id) const;
  void Add(std::unique_ptr<upstream_session> session);
  // As the upstream registers now.
  void SetInfo(upstream_session& session, const upstream_info& info);
  // Those that are no longer registered, once nothing runs there.
  void Forget(const upstream_registry& registered);
  void Clear();

  // What runs on each is known, or can't be running any more.
  bool AllSettled() const;
  // Not known to be bad.
  bool IsGood(const upstream_id& id) const;
  // Usable and good.
  bool TakesWork(const upstream_session& session) const;
  upstream_standing& Standing(const upstream_id& id) { return standings_[id]; }
  // Another incarnation has its own.
  void ForgetStanding(const upstream_id& id) { standings_.erase(id); }
  home_speeds& speeds() { return speeds_; }
  const home_speeds& speeds() const { return speeds_; }
  // Never falls, and rises if there are other sessions, or an upstream may be
  // of another class of speeds or have registered anew.
  uint64_t changes() const { return session_changes_ + speeds_.changes(); }
  // Of those that take work; a fast one counts as more.
  double UsableCores() const;
  // Some upstream has the size and labels for each task of the job that is not
  // done, by the most room that it ever said to have: what shrinks grows again.
  bool CouldEverRun(const home_job& job) const;

 private:
  session_map sessions_;
  // Rises whenever one comes, goes or registers.
  uint64_t session_changes_ = 0;
  std::map<upstream_id, upstream_standing> standings_;
  // Outlives the home's term.
  home_speeds speeds_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_UPSTREAMS_H_
