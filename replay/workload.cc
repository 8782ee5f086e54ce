#include "replay/workload.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <stdexcept>

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr int kSampleJobs = 20'000;

mix_class ParseClass(const json& document) {
  mix_class c;
  c.work_class = document.at("class").get<std::string>();
  c.team = document.at("team").get<std::string>();
  c.share = document.value("share", c.share);
  c.target_ms = document.value("target_ms", c.target_ms);
  c.idempotent = document.value("idempotent", c.idempotent);
  c.min_tasks = document.value("min_tasks", c.min_tasks);
  c.max_tasks = document.value("max_tasks", c.max_tasks);
  c.tasks_alpha = document.value("tasks_alpha", c.tasks_alpha);
  c.median_ms = document.value("median_ms", c.median_ms);
  c.sigma = document.value("sigma", c.sigma);
  c.max_ms = document.value("max_ms", c.max_ms);
  c.declared_factor = document.value("declared_factor", c.declared_factor);
  return c;
}

std::vector<double> EntryWeights(int entries, arrival_spread spread) {
  std::vector<double> weights(entries, 1.0);
  if (spread == arrival_spread::kOneEntry)
    std::fill(weights.begin() + 1, weights.end(), 0.0);
  if (spread == arrival_spread::kUneven) {
    for (int i = 0; i < entries; ++i)
      weights[i] = std::pow(0.5, i);
  }
  return weights;
}

}  // namespace

deployment ParseDeployment(const json& document) {
  deployment d;
  d.name = document.value("name", d.name);
  d.failure_domains = document.value("failure_domains", d.failure_domains);
  d.upstreams = document.value("upstreams", d.upstreams);
  d.slots = document.value("slots", d.slots);
  d.connections = document.value("connections", d.connections);
  d.memory_mb = document.value("memory_mb", d.memory_mb);
  d.entries = document.value("entries", d.entries);
  d.peer_delay_ms = document.value("peer_delay_ms", d.peer_delay_ms);
  d.upstream_delay_ms =
      document.value("upstream_delay_ms", d.upstream_delay_ms);
  d.caller_delay_ms = document.value("caller_delay_ms", d.caller_delay_ms);
  for (const json& c : document.at("classes"))
    d.classes.push_back(ParseClass(c));
  return d;
}

deployment ReadDeployment(const std::string& file) {
  std::ifstream stream(file);
  json document = json::parse(stream, nullptr, false);
  if (!document.is_object())
    throw std::runtime_error(file + " is no description of a deployment");
  return ParseDeployment(document);
}

double trace_job::work_ms() const {
  double sum = 0;
  for (const trace_task& task : tasks)
    sum += task.run_ms;
  return sum;
}

double trace_job::longest_ms() const {
  double longest = 0;
  for (const trace_task& task : tasks)
    longest = std::max(longest, task.run_ms);
  return longest;
}

job_source::job_source(const deployment& d, uint64_t seed)
    : deployment_(d), random_(seed) {
  for (const mix_class& c : d.classes)
    shares_.push_back(c.share);
  for (int i = 0; i < kSampleJobs; ++i)
    mean_work_ms_ += Draw().work_ms() / kSampleJobs;
}

trace_job job_source::Draw() {
  std::discrete_distribution<size_t> pick(shares_.begin(), shares_.end());
  const mix_class& c = deployment_.classes[pick(random_)];
  trace_job job;
  job.work_class = c.work_class;
  job.team = c.team;
  job.tasks.resize(DrawTasks(c));
  for (trace_task& task : job.tasks) {
    task.run_ms = DrawRunTime(c);
    task.declared_ms = std::round(task.run_ms * c.declared_factor);
  }
  return job;
}

std::vector<trace_job> job_source::Arrivals(double load,
                                            int slots,
                                            double duration_ms,
                                            int entries,
                                            arrival_spread spread) {
  std::vector<double> weights = EntryWeights(entries, spread);
  std::discrete_distribution<int> entry(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(load * slots / mean_work_ms_);
  std::vector<trace_job> jobs;
  for (double at = gap(random_); at < duration_ms; at += gap(random_)) {
    trace_job job = Draw();
    job.at_ms = at;
    job.entry = entry(random_);
    jobs.push_back(std::move(job));
  }
  return jobs;
}

int job_source::DrawTasks(const mix_class& c) {
  if (c.max_tasks <= c.min_tasks)
    return c.min_tasks;
  double u = std::uniform_real_distribution<double>(0, 1)(random_);
  double low = std::pow(c.min_tasks, -c.tasks_alpha);
  double high = std::pow(c.max_tasks + 1.0, -c.tasks_alpha);
  double value = std::pow(low - u * (low - high), -1 / c.tasks_alpha);
  return std::clamp(static_cast<int>(value), c.min_tasks, c.max_tasks);
}

double job_source::DrawRunTime(const mix_class& c) {
  std::lognormal_distribution<double> run(std::log(c.median_ms), c.sigma);
  return std::round(std::clamp(run(random_), 5.0, c.max_ms));
}

}  // namespace jasminedyke
