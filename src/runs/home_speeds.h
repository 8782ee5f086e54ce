// The speeds of one group's upstreams, which its home learns from runs and
// sends to the instances that may succeed it.

#ifndef SRC_RUNS_HOME_SPEEDS_H_
#define SRC_RUNS_HOME_SPEEDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"
#include "policy/upstream_speeds.h"
#include "runs/upstream_registry.h"

namespace jasminedyke {

// The speed of one incarnation of an upstream; 1 is the usual speed.
struct upstream_speed {
  upstream_id id;
  upstream_birth birth;
  double speed = 1;

  bool operator==(const upstream_speed&) const = default;
};

// Speeds that a home sends to the other instances of its failure domain.
struct speed_news {
  std::vector<upstream_speed> speeds;

  bool operator==(const speed_news&) const = default;
};

// The number of upstreams of one kind and their speeds.
struct kind_speed {
  int upstreams = 0;
  double mean = 0;
  double slowest = 0;
  double fastest = 0;
};

// Returns a name of the upstream's kind. Upstreams of one service with the same
// labels, apart from the rack, are of one kind.
std::string KindOf(const upstream_info& info);

// Learns the speed of each incarnation of an upstream. The speeds are also kept
// by instances that are not home, so that a successor can use them at once.
class home_speeds {
 public:
  // Records a run that took `took` and would have taken `usual` at the usual
  // speed.
  void RecordRun(const upstream_info& info,
                 duration usual,
                 duration took,
                 time_point now);
  // Returns the speed of an upstream; 1 is the usual speed.
  double Of(const upstream_info& info) const;
  // Returns the speed class of the upstream, which is computed whenever the
  // speed changes. Speeds of one class are treated as equal; 0 is normal speed,
  // higher is faster (see `SpeedClass` in runs/placement.h).
  int ClassOf(const upstream_info& info) const;
  // A counter that changes whenever a result of `ClassOf` may have changed.
  uint64_t changes() const { return changes_ + learned_.refreshes(); }
  // Returns the speed of the upstream's kind.
  double OfKind(const upstream_info& info) const;

  // Adds the registered upstreams and forgets those that are no longer
  // registered or have another incarnation.
  void SetRegistered(const upstream_registry& registered);

  // Returns the speeds that have changed noticeably since they were last sent,
  // and logs upstreams that have become slow, fast or usual.
  speed_news TakeNews(time_point now);
  // Returns all speeds other than the usual one.
  speed_news All() const;
  // Applies speeds received from the home. Upstreams that are not in
  // `registered` and other incarnations are ignored.
  void Apply(const speed_news& news,
             const upstream_registry& registered,
             time_point now);

  // Returns statistics by kind, see `KindOf`.
  std::map<std::string, kind_speed> ByKind() const;

 private:
  struct known_upstream {
    upstream_birth birth;
    std::string kind;
    // As of the last update.
    double speed = 1;
    // `SpeedClass(speed)`; each change of it increments `changes_`.
    int speed_class = 0;
    // The speed last sent to or received from another instance.
    double shared_speed = 1;
  };

  // Returns null if only the speed of the upstream's kind is known.
  const known_upstream* FindKnown(const upstream_info& info) const;
  // Returns the entry of this incarnation, which replaces that of another one.
  known_upstream& FindOrAdd(const upstream_info& info);
  void Update(const upstream_id& id, known_upstream& known);
  // Updates all speeds, because each is relative to the mean of all; does so at
  // most once per update interval.
  void UpdateAll(time_point now);

  upstream_speeds learned_;
  std::map<upstream_id, known_upstream> known_;
  // Time of the last `UpdateAll`.
  time_point updated_;
  uint64_t changes_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_SPEEDS_H_
