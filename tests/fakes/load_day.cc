#include "fakes/load_day.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

constexpr int kTasksPerUpstream = 2;
constexpr int64_t kTaskMillis = 14'000;
constexpr duration kStartTime = std::chrono::seconds(2);
constexpr double kLateWorth = 0.2;
const std::string kCrasher = "crasher";
constexpr duration kCrasherRunTime = milliseconds(200);
constexpr double kLongJobs = 0.03;
constexpr double kLongFactor = 7;
constexpr double kSiblingsDiffer = 0.15;
constexpr int64_t kLargeMillis = 48'000;
constexpr double kUnevenTaskMillis = 16'000;
// Of all cores; fragments are left where tasks differ in size.
constexpr double kUsableShare = 0.85;
// Long enough to take down one upstream after another.
constexpr duration kCrasherLimit = std::chrono::seconds(20);
constexpr size_t kCallersOfQueue = 4;
// Of callers that ignore Retry-After; and until callers give a job up.
constexpr duration kImpatience = milliseconds(100);
constexpr duration kPatience = std::chrono::seconds(20);
constexpr duration kRebirthTime = std::chrono::seconds(3);

}  // namespace

std::vector<load_class> DeskClasses() {
  return {{"urgent", 0, 8, milliseconds(60), 0.245},
          {"two-tasks", 1, 2, milliseconds(200), 0.711},
          {"long", 2, 4, milliseconds(900), 0.044}};
}

caller_result& caller_result::operator+=(const caller_result& other) {
  asked += other.asked;
  tries += other.tries;
  served += other.served;
  returns += other.returns;
  returns_served += other.returns_served;
  waited += other.waited;
  return *this;
}

std::vector<load_class> AuctionClasses() {
  return {{"short", 0, 8, milliseconds(51), 0.25},
          {"middle", 1, 2, milliseconds(170), 0.69},
          {"long", 2, 4, milliseconds(760), 0.06}};
}

load_day::load_day(const std::vector<std::string>& domains,
                   int instances,
                   int upstreams,
                   uint64_t seed,
                   const run_home::settings& home)
    : random_(seed), returns_random_(seed) {
  home_settings = home;
  for (const std::string& domain : domains) {
    for (int i = 0; i < upstreams; ++i) {
      AddUpstream(domain + "-u" + std::to_string(i), domain);
      places_ += kTasksPerUpstream;
    }
  }
  for (const std::string& domain : domains) {
    for (int i = 1; i <= instances; ++i)
      Add(domain, i);
  }
  Run(kStartTime);
}

fake_upstream& load_day::AddUpstream(const std::string& id,
                                     const std::string& domain) {
  fake_upstream& upstream = fleet.Add(id, domain);
  upstream.plan = [this](const task_name& task) {
    double length = ToSeconds(run_times_.at(task.job.str()));
    if (uneven_ && task.position.index > 0) {
      auto name = task.job.str() + "/" + std::to_string(task.position.index);
      length *= 1 - kSiblingsDiffer *
                        static_cast<double>(StableHash(name) % 1000) / 1000;
    }
    return std::pair(FromSeconds(length), run_end::kDone);
  };
  upstream.crashes = [](const task_name& task) {
    return task.job.str().starts_with(kCrasher) && task.position.index == 0;
  };
  upstream.on_crash = [this, id, domain] { Rebirth(id, domain); };
  return upstream;
}

void load_day::MakeUneven(const uneven_load& uneven) {
  uneven_ = true;
  classes_ = uneven.classes;
  places_ = 0;
  size_t number = 0;
  for (auto& [id, upstream] : fleet.upstreams) {
    upstream->speed = uneven.speeds[number % uneven.speeds.size()];
    // Each speed in both sizes.
    if (number / uneven.speeds.size() % 2 == 1)
      upstream->capacity.cpu_millis = kLargeMillis;
    fleet.registry.at(id).capacity = upstream->capacity;
    places_ += static_cast<double>(upstream->capacity.cpu_millis) *
               upstream->speed * kUsableShare / kUnevenTaskMillis;
    ++number;
  }
  for (run_node* node : Live())
    node->cluster->SetUpstreams(fleet.registry);
}

void load_day::Rebirth(const std::string& id, const std::string& domain) {
  ++upstreams_lost_;
  clock.CallAfter(kRebirthTime, [this, id, domain] {
    fake_upstream& old = *fleet.upstreams.at(upstream_id(id));
    old.down = false;
    old.gone = true;
    fleet.registry.erase(upstream_id(id));
    AddUpstream(id + "+", domain);
    for (run_node* node : Live())
      node->cluster->SetUpstreams(fleet.registry);
  });
}

int load_day::most_crasher_starts() {
  std::map<task_name, int> starts;
  int most = 0;
  for (const auto& [id, upstream] : fleet.upstreams) {
    for (const auto& [task, count] : upstream->starts) {
      if (upstream->crashes(task))
        most = std::max(most, starts[task] += count);
    }
  }
  return most;
}

double load_day::Uniform(double from, double to) {
  return std::uniform_real_distribution<>(from, to)(random_);
}

void load_day::Play(duration length, double load) {
  double work_of_job = 0;
  for (const load_class& each : classes_)
    work_of_job += each.share * each.tasks * ToSeconds(each.run_time);
  if (uneven_)
    work_of_job *= 1 + kLongJobs * (kLongFactor - 1);
  double rate = load * places_ / work_of_job;
  std::exponential_distribution<> gap(rate);
  time_point next_crasher = clock.now();
  duration crasher_gap = length / (2 * std::max(crashers_left_, 1));
  for (time_point end = clock.now() + length; clock.now() < end;) {
    Run(FromSeconds(gap(random_)));
    Arrive();
    if (crashers_left_ > 0 && clock.now() >= next_crasher) {
      --crashers_left_;
      next_crasher += crasher_gap;
      ArriveCrasher();
    }
  }
}

duration load_day::RunTime(const load_class& kind) {
  double length = ToSeconds(kind.run_time) * Uniform(0.8, 1.2);
  if (uneven_ && Uniform(0, 1) < kLongJobs)
    length *= kLongFactor;
  return FromSeconds(length);
}

int64_t load_day::TaskMillis() {
  return uneven_ ? std::llround(kUnevenTaskMillis * Uniform(0.8, 1.2))
                 : kTaskMillis;
}

void load_day::Arrive() {
  double at = Uniform(0, 1);
  size_t number = 0;
  while (number + 1 < classes_.size() && at >= classes_[number].share)
    at -= classes_[number++].share;
  Ask(classes_[number]);
}

void load_day::Crowd(const std::string& queue, int jobs) {
  const load_class& kind =
      *std::ranges::find(classes_, queue, &load_class::queue);
  for (int i = 0; i < jobs; ++i)
    Ask(kind);
}

void load_day::Ask(const load_class& kind) {
  std::string key = "job" + std::to_string(jobs_++);
  duration run_time = RunTime(kind);
  int64_t millis = TaskMillis();
  run_times_[key] = run_time;

  run_job job;
  job.key = job_key(key);
  job.queue = queue_id(kind.queue);
  job.service = service_id("parts");
  job.spec = std::to_string(millis);
  job_step step;
  step.tasks = kind.tasks;
  step.need = {millis, 64, 0};
  step.estimate = FromSeconds(ToSeconds(run_time) * Uniform(0.6, 1.4));
  job.steps.push_back(step);
  job.priority = kind.priority;
  job.max_attempts = 3;
  job.stretch = 1.6;
  job.target_latency = milliseconds(60);
  job.limit = std::chrono::seconds(5);

  load_result& result = results_[kind.queue];
  ++result.asked;
  work_[kind.queue] = kind.tasks * ToSeconds(kind.run_time);
  duration objective =
      job.target_latency +
      std::chrono::duration_cast<duration>(run_time * job.stretch);
  std::vector<caller_result>& callers = callers_[kind.queue];
  callers.resize(kCallersOfQueue);
  size_t number = static_cast<size_t>(result.asked) % kCallersOfQueue;
  asked_job asked;
  asked.job = std::move(job);
  asked.objective = objective;
  asked.caller = &callers[number];
  asked.habit = number == 0 ? habit_of_first_.value_or(habit_) : habit_;
  asked.asked = clock.now();
  ++asked.caller->asked;
  Try(std::move(asked));
}

void load_day::Try(asked_job asked) {
  ++asked.tries;
  ++asked.caller->tries;
  asked.caller->returns += asked.tries == 2 ? 1 : 0;
  run_job job = asked.job;
  auto live = Live();
  uint64_t draw = asked.tries == 1 ? random_() : returns_random_();
  live[draw % live.size()]->cluster->owner().Submit(
      std::move(job), [this, asked = std::move(asked),
                       arrived = clock.now()](const run_answer& answer) {
        duration took = clock.now() - arrived;
        load_result& result = results_[asked.job.queue.str()];
        bool served = answer.outcome == run_outcome::kSucceeded;
        bool in_time = served && took <= asked.objective;
        if (in_time) {
          ++asked.caller->served;
          asked.caller->returns_served += asked.tries == 2 ? 1 : 0;
          asked.caller->waited += clock.now() - asked.asked;
        }
        if (answer.outcome == run_outcome::kNotRun)
          OnRefused(asked, answer.retry_after);
        if (asked.tries > 1)
          return;
        result.in_time += in_time ? 1 : 0;
        result.late += served && !in_time ? 1 : 0;
        result.refused += served ? 0 : 1;
        result.failed += answer.outcome == run_outcome::kFailed ? 1 : 0;
        result.refused_late += !served && took > asked.objective / 4 ? 1 : 0;
      });
}

void load_day::OnRefused(asked_job asked, duration retry_after) {
  if (asked.habit == caller_habit::kLeave)
    return;
  duration pause =
      asked.habit == caller_habit::kReturnAtOnce
          ? kImpatience
          : duration(std::chrono::ceil<std::chrono::seconds>(retry_after));
  if (clock.now() + pause - asked.asked > kPatience)
    return;
  clock.CallAfter(pause, [this, asked = std::move(asked)] { Try(asked); });
}

std::vector<caller_result> load_day::CallersOf(const std::string& queue) {
  return callers_[queue];
}

void load_day::ArriveCrasher() {
  std::string key = kCrasher + std::to_string(jobs_++);
  run_times_[key] = kCrasherRunTime;
  run_job job;
  job.key = job_key(key);
  job.queue = queue_id("urgent");
  job.service = service_id("parts");
  job.spec = std::to_string(kTaskMillis);
  job_step step;
  step.tasks = 4;
  step.need = {kTaskMillis, 64, 0};
  step.estimate = kCrasherRunTime;
  job.steps.push_back(step);
  job.max_attempts = 3;
  job.stretch = 1.6;
  job.target_latency = milliseconds(60);
  job.limit = kCrasherLimit;
  auto live = Live();
  live[random_() % live.size()]->cluster->owner().Submit(
      std::move(job), [this, arrived = clock.now()](const run_answer& answer) {
        bool soon = clock.now() - arrived < kCrasherLimit / 2;
        bool given_up = answer.outcome == run_outcome::kFailed ||
                        answer.reason == run_refusal::kUpstreamsLost;
        crashers_given_up_ += soon && given_up ? 1 : 0;
      });
}

double load_day::Worth() const {
  double earned = 0;
  double owed = 0;
  for (const auto& [queue, result] : results_) {
    double work = work_.at(queue);
    earned += work * (result.in_time + kLateWorth * result.late);
    owed += work * result.asked;
  }
  return earned / owed;
}

}  // namespace jasminedyke
