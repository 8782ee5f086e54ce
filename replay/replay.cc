#include "replay/replay.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "protocol/protocol.h"
#include "replay/pausable_scheduler.h"

namespace jasminedyke {

namespace {

const failure_domain_id kDomain("domain-0");
// How long a silent link is taken for alive, and a broken one for a glitch.
constexpr duration kLinkSilence = std::chrono::milliseconds(4500);
constexpr duration kLinkGrace = std::chrono::milliseconds(500);

instance_id EntryId(int number) {
  return instance_id("entry-" + std::to_string(number));
}

std::string UpstreamName(int number) {
  return "upstream-" + std::to_string(number);
}

int UpstreamNumber(const upstream_id& id) {
  return std::atoi(id.str().c_str() + sizeof("upstream-") - 1);
}

const order_rule& Rule(const std::string& name) {
  if (name.empty())
    return DefaultOrderRule();
  const order_rule* rule = FindOrderRule(name);
  if (!rule)
    throw std::runtime_error("no order rule " + name);
  return *rule;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  auto index = static_cast<size_t>(q * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + index);
  return values[index];
}

}  // namespace

double replay_result::StretchQuantile(double q,
                                      const std::string& work_class) const {
  std::vector<double> values;
  for (const replay_job_result& job : jobs) {
    if (job.complete && (work_class.empty() || job.work_class == work_class))
      values.push_back(job.stretch());
  }
  return Quantile(std::move(values), q);
}

double replay_result::ResponseQuantile(double q,
                                       const std::string& work_class) const {
  std::vector<double> values;
  for (const replay_job_result& job : jobs) {
    if (job.complete && (work_class.empty() || job.work_class == work_class))
      values.push_back(job.response_ms);
  }
  return Quantile(std::move(values), q);
}

size_t replay_result::Complete(const std::string& work_class) const {
  return std::ranges::count_if(jobs, [&](const replay_job_result& job) {
    return job.complete && (work_class.empty() || job.work_class == work_class);
  });
}

uint64_t replay_result::WastedMessages() const {
  uint64_t sum = 0;
  for (const auto& [kind, count] : wasted)
    sum += count;
  return sum;
}

// One entry instance: the real dispatcher, strategy and home on a clock of its
// own, with the replay's network around it.
class replay_world::entry_instance : public attempt_port, public usage_sink {
 public:
  entry_instance(replay_world& world, int number)
      : world_(world),
        number_(number),
        clock_(world.clock_),
        upstreams_(kDomain),
        jobs_(clock_, *this, *this, upstreams_, world.rule_, queue_caps()),
        home_(clock_,
              EntryId(number),
              kDomain,
              world.rule_,
              [this](const instance_id& to, const slot_grant& grant) {
                world_.Deliver(number_, to, grant);
              }) {
    jobs_.SetStrategy(MakeStrategy(), [this](const instance_id& to,
                                             const slot_message& message) {
      world_.Deliver(number_, to, message);
    });
    if (granted_)
      jobs_.SetWorkElsewhere([this] {
        int running = static_cast<int>(jobs_.attempts_in_flight());
        return dispatcher::work_elsewhere{
            granted_->work_in_domain().waiting - jobs_.waiting_tasks(),
            granted_->work_in_domain().running - running};
      });
  }

  // attempt_port:
  void Start(const attempt_request& request, callback done) override {
    // The attempt outlives a killed process on the wire, and its answer then
    // goes nowhere.
    auto answer = [this, request, done](const http_result& result) {
      clock_.CallAfter(Delay(), [request, done, result] {
        done(ClassifyResult(request, result));
      });
    };
    world_.clock_.CallAfter(Delay(), [this, request, answer] {
      world_.upstreams_[UpstreamNumber(request.upstream)]->Start(request,
                                                                 answer);
    });
  }

  void Stop(const upstream_id& upstream, const std::string& task) override {
    world_.clock_.CallAfter(Delay(), [this, upstream, task] {
      world_.upstreams_[UpstreamNumber(upstream)]->Stop(task);
    });
  }

  // usage_sink:
  void Book(const team_id& team, duration run_time) override {
    world_.result_.booked_us[team.str()] +=
        static_cast<uint64_t>(run_time.count());
  }

  void SetMembership() {
    upstreams_.SetMembership(world_.view_);
    home_.SetMembership(world_.view_, Holders());
    if (jobs_ready_)
      jobs_.strategy().OnMembershipChanged();
    jobs_ready_ = true;
  }

  void ChooseHome() {
    std::vector<instance_id> candidates = Holders();
    instance_id chosen = jasminedyke::ChooseHome(kDomain.str(), candidates);
    home_.SetMembership(world_.view_, candidates);
    if (chosen == EntryId(number_))
      home_.Start();
    else
      home_.Stop();
    if (!granted_)
      return;
    auto rank = std::ranges::find(candidates, EntryId(number_));
    granted_->SetShare(static_cast<int>(rank - candidates.begin()),
                       static_cast<int>(candidates.size()));
    if (granted_->home() != chosen)
      granted_->SetHome(chosen);
  }

  void OnMessage(const instance_id& from, const slot_message& message) {
    if (const auto* demand = std::get_if<slot_demand>(&message))
      home_.OnDemand(from, *demand);
    else if (const auto* release = std::get_if<slot_release>(&message))
      home_.OnRelease(from, *release);
    else
      jobs_.strategy().OnPeerMessage(from, message);
  }

  std::vector<instance_id> Holders() const {
    std::vector<instance_id> holders;
    for (size_t i = 0; i < world_.entries_.size(); ++i) {
      if (world_.Linked(number_, static_cast<int>(i)))
        holders.push_back(EntryId(static_cast<int>(i)));
    }
    return holders;
  }

  duration Delay() const {
    return FromMilliseconds(world_.deployment_.upstream_delay_ms);
  }

  pausable_scheduler& clock() { return clock_; }
  upstream_table& upstreams() { return upstreams_; }
  dispatcher& jobs() { return jobs_; }
  slot_home& home() { return home_; }
  granted_slots* granted() { return granted_; }
  bool alive = true;
  bool reachable = true;

 private:
  std::unique_ptr<slot_strategy> MakeStrategy() {
    if (world_.options_.strategy == sharing::kStaticSplit)
      return MakeStaticSplit();
    uint64_t seed = world_.options_.seed * 1000 + number_;
    auto granted = std::make_unique<granted_slots>(clock_, upstreams_, jobs_,
                                                   world_.rule_, seed);
    granted_ = granted.get();
    return granted;
  }

  std::unique_ptr<slot_strategy> MakeStaticSplit() {
    auto split =
        std::make_unique<static_split_slots>(clock_, upstreams_, jobs_);
    split->SetShare(number_, world_.options_.entries);
    return split;
  }

  replay_world& world_;
  int number_;
  pausable_scheduler clock_;
  upstream_table upstreams_;
  dispatcher jobs_;
  slot_home home_;
  granted_slots* granted_ = nullptr;
  bool jobs_ready_ = false;
};

replay_world::replay_world(const deployment& d, const replay_options& options)
    : deployment_(d),
      options_(options),
      rule_(Rule(options.order)),
      start_(clock_.now()),
      cut_(options.entries, false),
      bytes_by_entry_(options.entries, 0) {
  std::vector<std::string> wire;
  for (const mix_class& c : d.classes) {
    classes_[c.work_class] = {FromMilliseconds(c.target_ms), c.idempotent};
    wire.push_back(c.team);
  }
  for (int i = 0; i < options.upstreams; ++i) {
    upstreams_.push_back(std::make_unique<replay_upstream>(clock_, d.slots));
    instance_info info;
    info.id = instance_id(UpstreamName(i));
    info.failure_domain = kDomain;
    info.slots = d.slots;
    info.connections = d.connections;
    info.memory_mb = d.memory_mb;
    listed_.push_back(info);
    wire.push_back(UpstreamName(i));
  }
  for (int i = 0; i < options.entries; ++i) {
    instance_info info;
    info.id = EntryId(i);
    info.role = instance_role::kEntry;
    info.failure_domain = kDomain;
    listed_.push_back(info);
    entries_.push_back(std::make_unique<entry_instance>(*this, i));
  }
  names_.Load(wire);
  PublishMembership();
  RefreshHomes();
}

replay_world::~replay_world() = default;

void replay_world::Submit(const trace_job& job) {
  ++pending_;
  replay_job_result expected;
  expected.work_class = job.work_class;
  expected.team = job.team;
  expected.at_ms = job.at_ms;
  expected.tasks = job.tasks.size();
  double all_slots = options_.upstreams * deployment_.slots;
  expected.ideal_ms = std::max(job.longest_ms(), job.work_ms() / all_slots) +
                      2 * deployment_.upstream_delay_ms +
                      2 * deployment_.caller_delay_ms;
  size_t index = result_.jobs.size();
  result_.jobs.push_back(expected);
  At(job.at_ms + deployment_.caller_delay_ms,
     [this, job, index] { SubmitNow(job, index); });
}

void replay_world::At(double at_ms, std::function<void()> event) {
  clock_.CallAt(start_ + FromMilliseconds(at_ms), std::move(event));
}

replay_result replay_world::Run() {
  // Timers such as heartbeats never end; jobs do, by their timeout at the
  // latest.
  while (pending_ > 0 && clock_.RunNext()) {
  }
  result_.seconds = ToSeconds(clock_.now() - start_);
  result_.unfinished = static_cast<int>(pending_);
  for (const auto& upstream : upstreams_) {
    result_.starts += upstream->starts();
    result_.refused_starts += upstream->refusals();
    result_.doubled += upstream->doubled();
  }
  for (const auto& entry : entries_) {
    for (const auto& [kind, count] : entry->jobs().metrics().wasted)
      result_.wasted[kind] += count;
    for (const auto& [reason, count] : entry->jobs().metrics().refusals)
      result_.refusals[reason] += count;
  }
  result_.most_bytes_of_one = *std::ranges::max_element(bytes_by_entry_);
  return result_;
}

const dispatcher& replay_world::jobs(int entry) const {
  return entries_[entry]->jobs();
}

const granted_slots* replay_world::slots(int entry) const {
  return entries_[entry]->granted();
}

const slot_home* replay_world::home() const {
  int number = home_number();
  return number < 0 ? nullptr : &entries_[number]->home();
}

void replay_world::SetUpstream(int number, upstream_mode mode) {
  upstreams_[number]->SetMode(mode);
  bool gone = mode == upstream_mode::kDead || mode == upstream_mode::kLeaving;
  clock_.CallAfter(options_.list_lag, [this, number, gone] {
    listed_[number].state =
        gone ? instance_state::kLeaving : instance_state::kLive;
    PublishMembership();
  });
}

void replay_world::KillEntry(int number) {
  entry_instance& entry = *entries_[number];
  entry.alive = false;
  entry.clock().Kill();
  int lost = static_cast<int>(entry.jobs().jobs());
  result_.jobs_lost += lost;
  pending_ -= lost;
  // Their connections to it are reset.
  for (auto& other : entries_) {
    if (other->granted() && other->granted()->home() == EntryId(number))
      other->granted()->OnHomeUnreachable();
  }
  clock_.CallAfter(kLinkGrace, [this] { RefreshHomes(); });
}

void replay_world::PauseEntry(int number) {
  entries_[number]->clock().Pause();
  clock_.CallAfter(kLinkSilence, [this, number] {
    entries_[number]->reachable = false;
    RefreshHomes();
  });
}

void replay_world::ContinueEntry(int number) {
  entries_[number]->clock().Continue();
  entries_[number]->reachable = true;
  clock_.CallAfter(kLinkGrace, [this] { RefreshHomes(); });
}

void replay_world::CutEntry(int number, bool cut) {
  cut_[number] = cut;
  clock_.CallAfter(cut ? kLinkSilence : kLinkGrace, [this] { RefreshHomes(); });
}

void replay_world::CancelAll(const std::string& team) {
  for (auto& entry : entries_) {
    for (local_job job : entry->jobs().JobsOfTeam(team_id(team)))
      entry->jobs().Cancel(job);
  }
}

void replay_world::SetTarget(const std::string& work_class, double target_ms) {
  classes_[work_class].target = FromMilliseconds(target_ms);
}

void replay_world::Lie(int entry, int upstream) {
  slot_release lies;
  for (int i = 0; i < 3; ++i)
    lies.slots.push_back(
        {upstream_id(UpstreamName(upstream)), slot_result::kTaskError});
  Deliver(entry, EntryId(home_number()), lies);
}

int replay_world::home_number() const {
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->alive && entries_[i]->home().active())
      return static_cast<int>(i);
  }
  return -1;
}

void replay_world::PublishMembership() {
  view_.Update({membership_version(++membership_version_), listed_});
  for (auto& entry : entries_)
    entry->SetMembership();
}

void replay_world::RefreshHomes() {
  for (auto& entry : entries_) {
    if (entry->alive)
      entry->ChooseHome();
  }
}

void replay_world::Deliver(int from,
                           const instance_id& to,
                           const slot_message& message) {
  int receiver = EntryNumber(to);
  if (!entries_[from]->alive || !Linked(from, receiver))
    return;
  auto deliver = [this, from, receiver, message] {
    if (entries_[receiver]->alive)
      entries_[receiver]->OnMessage(EntryId(from), message);
  };
  if (receiver == from) {
    entries_[from]->clock().CallAfter(duration::zero(), deliver);
    return;
  }
  peer_message wrapped =
      std::visit([](const auto& each) { return peer_message(each); }, message);
  uint64_t bytes = EncodeFrame(wrapped, names_).size() + 4;
  ++result_.peer_messages;
  result_.peer_bytes += bytes;
  result_.bytes_by_kind[message.index()] += bytes;
  bytes_by_entry_[from] += bytes;
  entries_[receiver]->clock().CallAfter(
      FromMilliseconds(deployment_.peer_delay_ms), deliver);
}

void replay_world::SubmitNow(const trace_job& job, size_t index) {
  int number = job.entry;
  // The balancer sends nothing to an instance that is gone.
  while (!entries_[number]->alive)
    number = (number + 1) % options_.entries;
  job_spec spec;
  spec.name = "job-" + std::to_string(index);
  spec.team = team_id(job.team);
  spec.work_class = class_id(job.work_class);
  spec.settings = classes_[job.work_class];
  spec.timeout = std::chrono::seconds(120);
  for (const trace_task& task : job.tasks)
    spec.tasks.push_back(
        {std::to_string(task.run_ms), 0, FromMilliseconds(task.declared_ms)});
  auto started = entries_[number]->jobs().Submit(
      std::move(spec), [this, index](const job_outcome& outcome) {
        replay_job_result& result = result_.jobs[index];
        result.complete = std::holds_alternative<job_complete>(outcome);
        if (!result.complete)
          result.failure = std::get<job_failed>(outcome).reason;
        result.response_ms = ToMilliseconds(clock_.now() - start_) -
                             result.at_ms + deployment_.caller_delay_ms;
        --pending_;
      });
  if (!started.ok()) {
    result_.jobs[index].refused = true;
    result_.jobs[index].refusal = started.error().reason;
    --pending_;
  }
  const slot_home* active = home();
  for (int i = 0; active && i < options_.upstreams; ++i) {
    int over = active->held(upstream_id(UpstreamName(i))) - deployment_.slots;
    result_.overcommitted = std::max(result_.overcommitted, over);
  }
}

int replay_world::EntryNumber(const instance_id& id) const {
  return std::atoi(id.str().c_str() + sizeof("entry-") - 1);
}

bool replay_world::Linked(int a, int b) const {
  if (a == b)
    return true;
  return entries_[b]->alive && entries_[b]->reachable && !cut_[a] && !cut_[b];
}

}  // namespace jasminedyke
