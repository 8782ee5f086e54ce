#include "fakes/load_day.h"

#include <algorithm>
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
// Long enough to take down one upstream after another.
constexpr duration kCrasherLimit = std::chrono::seconds(20);
constexpr duration kRebirthTime = std::chrono::seconds(3);

}  // namespace

std::vector<load_class> DeskClasses() {
  return {{"urgent", 0, 8, milliseconds(60), 0.245},
          {"two-tasks", 1, 2, milliseconds(200), 0.711},
          {"long", 2, 4, milliseconds(900), 0.044}};
}

load_day::load_day(const std::vector<std::string>& domains,
                   int instances,
                   int upstreams,
                   uint64_t seed)
    : random_(seed) {
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
    return std::pair(run_times_.at(task.job.str()), run_end::kDone);
  };
  upstream.crashes = [](const task_name& task) {
    return task.job.str().starts_with(kCrasher) && task.position.index == 0;
  };
  upstream.on_crash = [this, id, domain] { Rebirth(id, domain); };
  return upstream;
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
  double rate = load * static_cast<double>(places_) / work_of_job;
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

void load_day::Arrive() {
  double at = Uniform(0, 1);
  size_t number = 0;
  while (number + 1 < classes_.size() && at >= classes_[number].share)
    at -= classes_[number++].share;
  const load_class& kind = classes_[number];
  std::string key = "job" + std::to_string(jobs_++);
  duration run_time = FromSeconds(ToSeconds(kind.run_time) * Uniform(0.8, 1.2));
  run_times_[key] = run_time;

  run_job job;
  job.key = job_key(key);
  job.queue = queue_id(kind.queue);
  job.service = service_id("parts");
  job.spec = std::to_string(kTaskMillis);
  job_step step;
  step.tasks = kind.tasks;
  step.need = {kTaskMillis, 64, 0};
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
  auto live = Live();
  live[random_() % live.size()]->cluster->desk().Submit(
      std::move(job), [this, &result, objective,
                       arrived = clock.now()](const run_answer& answer) {
        duration took = clock.now() - arrived;
        bool served = answer.outcome == run_outcome::kSucceeded;
        result.in_time += served && took <= objective ? 1 : 0;
        result.late += served && took > objective ? 1 : 0;
        result.refused += served ? 0 : 1;
        result.failed += answer.outcome == run_outcome::kFailed ? 1 : 0;
        result.refused_late += !served && took > objective / 4 ? 1 : 0;
      });
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
  live[random_() % live.size()]->cluster->desk().Submit(
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
