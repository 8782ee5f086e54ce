// The speeds of one group's upstreams, as its home learns them and tells them
// to the instance that may succeed it.

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

struct upstream_speed {
  upstream_id id;
  upstream_birth birth;
  double speed = 1;

  bool operator==(const upstream_speed&) const = default;
};

// To the other instances of the home's failure domain.
struct speed_news {
  std::vector<upstream_speed> speeds;

  bool operator==(const speed_news&) const = default;
};

// How many upstreams of a kind, and how fast they are.
struct kind_speed {
  int upstreams = 0;
  double mean = 0;
  double slowest = 0;
  double fastest = 0;
};

// Upstreams of one service with the same labels are of one kind.
std::string KindOf(const upstream_info& info);

// A speed belongs to one incarnation of an upstream. Kept while the instance is
// no home, so that a successor places by it at once.
class home_speeds {
 public:
  // A run that would have taken `usual` at the usual speed took `took`.
  void Note(const upstream_info& info,
            duration usual,
            duration took,
            time_point now);
  // 1 is usual.
  double Of(const upstream_info& info) const;
  // The same as a class of speeds, worked out when the speed changed.
  int ClassOf(const upstream_info& info) const;
  // Differs from an earlier value if `ClassOf` may have changed since.
  uint64_t changes() const { return changes_ + learnt_.refreshes(); }
  // Of all that are like it.
  double OfKind(const upstream_info& info) const;

  // Forgets upstreams that are gone or have another incarnation.
  void Keep(const upstream_registry& registered);

  // What changed noticeably since the last call. Logs what became slow or fast.
  speed_news TakeNews(time_point now);
  speed_news All() const;
  // From the home; what is said of upstreams that are not in `registered`, or
  // of another incarnation, changes nothing.
  void Take(const speed_news& news,
            const upstream_registry& registered,
            time_point now);

  // By kind: an upstream's service and labels.
  std::map<std::string, kind_speed> ByKind() const;

 private:
  struct known_upstream {
    upstream_birth birth;
    std::string kind;
    // As of the last look.
    double speed = 1;
    // `SpeedClass(speed)`; each change counts in `changes_`.
    int speed_class = 0;
    // As last told to others.
    double told = 1;
  };

  // Null if only its kind is known.
  const known_upstream* FindKnown(const upstream_info& info) const;
  known_upstream& Find(const upstream_info& info);
  void Update(const upstream_id& id, known_upstream& known);
  // All speeds: each depends on the mean.
  void UpdateAll(time_point now);

  upstream_speeds learnt_;
  std::map<upstream_id, known_upstream> known_;
  time_point updated_;
  uint64_t changes_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_SPEEDS_H_
