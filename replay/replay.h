// Replays jobs and faults against the real decisions on a clock that only the
// replay moves.

#ifndef REPLAY_REPLAY_H_
#define REPLAY_REPLAY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "cluster/cluster.h"
#include "entry/entry.h"
#include "replay/replay_upstream.h"
#include "replay/workload.h"

namespace jasminedyke {

// How entry instances share slots in a replay.
enum class sharing { kStaticSplit, kGranted };

struct replay_options {
  sharing strategy = sharing::kGranted;
  std::string order;  // empty: the default rule
  int entries = 3;
  int upstreams = 17;  // of one failure domain
  // The platform's list shows a dead or leaving upstream after this.
  duration list_lag = std::chrono::seconds(5);
  uint64_t seed = 1;
};

// What became of one job.
struct replay_job_result {
  std::string work_class;
  std::string team;
  double at_ms = 0;
  double response_ms = 0;
  double ideal_ms = 0;
  size_t tasks = 0;
  bool complete = false;
  bool refused = false;
  refusal_reason refusal = refusal_reason::kOverloaded;
  failure_reason failure = failure_reason::kTaskFailed;

  double stretch() const { return response_ms / ideal_ms; }
};

struct replay_result {
  std::vector<replay_job_result> jobs;
  uint64_t starts = 0;
  uint64_t refused_starts = 0;
  uint64_t doubled = 0;
  uint64_t peer_messages = 0;
  uint64_t peer_bytes = 0;
  // Of demands, grants and releases.
  std::array<uint64_t, 3> bytes_by_kind{};
  // The most that any one entry instance sent.
  uint64_t most_bytes_of_one = 0;
  double seconds = 0;
  std::map<waste_kind, uint64_t> wasted;
  std::map<refusal_reason, uint64_t> refusals;
  // Most slots granted at one upstream, over its own.
  int overcommitted = 0;
  int jobs_lost = 0;   // their entry instance died
  int unfinished = 0;  // neither answer nor failure: must be none
  std::map<std::string, uint64_t> booked_us;  // by team

  // Of the complete jobs; of one class unless it is empty.
  double StretchQuantile(double q, const std::string& work_class = "") const;
  double ResponseQuantile(double q, const std::string& work_class = "") const;
  size_t Complete(const std::string& work_class = "") const;
  uint64_t WastedMessages() const;
};

// One failure domain with its entry instances and upstreams.
class replay_world {
 public:
  replay_world(const deployment& d, const replay_options& options);
  ~replay_world();

  // Jobs and faults are set up first, then everything runs to its end.
  void Submit(const trace_job& job);
  void At(double at_ms, std::function<void()> event);
  replay_result Run();

  manual_scheduler& clock() { return clock_; }
  replay_upstream& upstream(int number) { return *upstreams_[number]; }
  int upstreams() const { return static_cast<int>(upstreams_.size()); }
  const dispatcher& jobs(int entry) const;
  const granted_slots* slots(int entry) const;
  const slot_home* home() const;

  // Faults.
  void SetUpstream(int number, upstream_mode mode);
  void KillEntry(int number);
  void PauseEntry(int number);
  void ContinueEntry(int number);
  // The entry's links to all others.
  void CutEntry(int number, bool cut);
  void CancelAll(const std::string& team);
  void SetTarget(const std::string& work_class, double target_ms);
  // Lets `entry` report `upstream` as failing, whatever is true.
  void Lie(int entry, int upstream);
  int home_number() const;

 private:
  class entry_instance;
  friend class entry_instance;

  void PublishMembership();
  void RefreshHomes();
  void Deliver(int from, const instance_id& to, const slot_message& message);
  void SubmitNow(const trace_job& job, size_t result);
  int EntryNumber(const instance_id& id) const;
  bool Linked(int a, int b) const;

  deployment deployment_;
  replay_options options_;
  manual_scheduler clock_;
  const order_rule& rule_;
  time_point start_;
  uint64_t membership_version_ = 0;
  std::vector<instance_info> listed_;
  membership_view view_;
  std::vector<std::unique_ptr<replay_upstream>> upstreams_;
  std::vector<std::unique_ptr<entry_instance>> entries_;
  std::map<std::string, class_settings> classes_;
  std::vector<bool> cut_;
  wire_names names_;
  replay_result result_;
  size_t pending_ = 0;
  std::vector<uint64_t> bytes_by_entry_;
};

}  // namespace jasminedyke

#endif  // REPLAY_REPLAY_H_
