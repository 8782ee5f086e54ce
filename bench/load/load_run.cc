#include "load/load_run.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr duration kReadyCheck = std::chrono::milliseconds(50);
constexpr duration kProgressEvery = std::chrono::seconds(1);
constexpr duration kAnswerMargin = std::chrono::seconds(5);

std::string JobBody(const trace_job& job, duration timeout) {
  json body = {{"class", job.work_class},
               {"timeout_ms", timeout / std::chrono::milliseconds(1)},
               {"tasks", json::array()}};
  for (const trace_task& task : job.tasks) {
    json payload = {{"run_ms", task.run_ms}};
    json one = {{"payload", payload.dump()}};
    if (task.declared_ms >= 1)
      one["expected_ms"] = static_cast<int64_t>(task.declared_ms);
    body["tasks"].push_back(std::move(one));
  }
  return body.dump();
}

// Whether each answer is the one to its own task's payload.
bool AnswersAreRight(const trace_job& job, const json& body) {
  const json& answers = body.at("answers");
  if (answers.size() != job.tasks.size())
    return false;
  for (size_t i = 0; i < answers.size(); ++i) {
    json payload = {{"run_ms", job.tasks[i].run_ms}};
    if (answers[i].at("task") != i ||
        answers[i].at("body") != "answer to " + payload.dump())
      return false;
  }
  return true;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  return values[static_cast<size_t>(q *
                                    static_cast<double>(values.size() - 1))];
}

json Quantiles(const std::vector<double>& values) {
  return {{"p50", Quantile(values, 0.5)},
          {"p90", Quantile(values, 0.9)},
          {"p99", Quantile(values, 0.99)},
          {"max", Quantile(values, 1)}};
}

}  // namespace

json load_result::ToJson() const {
  struct group {
    std::vector<double> stretch;
    std::vector<double> response;
    std::vector<double> added;
  };
  std::map<std::string, group> groups;
  json timeline = json::array();
  for (const sample& s : complete) {
    for (const std::string& name :
         {std::string("all"), "class " + s.work_class, "team " + s.team}) {
      groups[name].stretch.push_back(s.response_ms / s.ideal_ms);
      groups[name].response.push_back(s.response_ms);
      groups[name].added.push_back(s.response_ms - s.ideal_ms);
    }
    timeline.push_back({std::round(s.at_ms),
                        std::round(s.response_ms * 10) / 10,
                        std::round(s.response_ms / s.ideal_ms * 1000) / 1000});
  }
  json by_group;
  for (const auto& [name, values] : groups)
    by_group[name] = {{"complete", values.stretch.size()},
                      {"stretch", Quantiles(values.stretch)},
                      {"response_ms", Quantiles(values.response)},
                      {"added_ms", Quantiles(values.added)}};
  return {{"jobs", jobs},           {"tasks_complete", tasks_complete},
          {"seconds", seconds},     {"groups", by_group},
          {"refused", refused},     {"failed", failed},
          {"no_answer", no_answer}, {"wrong_answers", wrong_answers},
          {"timeline", timeline}};
}

struct load_run::entry {
  explicit entry(event_loop& loop) : ready_timer(loop) {}

  std::vector<std::unique_ptr<http_connection>> connections;
  std::unique_ptr<http_connection> operators;
  bool ready = true;
  scoped_timer ready_timer;
};

load_run::load_run(event_loop& loop,
                   const load_options& options,
                   std::vector<trace_job> jobs)
    : loop_(loop),
      options_(options),
      jobs_(std::move(jobs)),
      send_timer_(loop),
      progress_timer_(loop) {
  std::ranges::sort(jobs_, {}, &trace_job::at_ms);
  result_.jobs = jobs_.size();
  for (size_t i = 0; i < options.callers.size(); ++i)
    entries_.push_back(std::make_unique<entry>(loop));
  for (size_t i = 0; i < options.operators.size(); ++i) {
    entries_[i]->operators = std::make_unique<http_connection>(
        loop, options.operators[i], http_client_limits());
  }
}

load_run::~load_run() = default;

load_result load_run::Run() {
  start_ = loop_.now();
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (options_.follow_ready && entries_[i]->operators)
      CheckReady(i);
  }
  if (options_.progress)
    PrintProgress();
  SendDue();
  if (next_ < jobs_.size() || waiting_ > 0)
    loop_.Run();
  result_.seconds = ToSeconds(loop_.now() - start_);
  return std::move(result_);
}

void load_run::SendDue() {
  double now_ms = ToMilliseconds(loop_.now() - start_);
  while (next_ < jobs_.size() && jobs_[next_].at_ms <= now_ms)
    Send(jobs_[next_++]);
  if (next_ < jobs_.size())
    send_timer_.StartAt(start_ + FromMilliseconds(jobs_[next_].at_ms),
                        [this] { SendDue(); });
}

void load_run::Send(const trace_job& job) {
  ++waiting_;
  entry& e = *entries_[ReadyEntry(job.entry)];
  http_connection* connection = nullptr;
  for (auto& each : e.connections) {
    if (!each->busy())
      connection = each.get();
  }
  if (!connection) {
    http_client_limits limits;
    limits.max_body_bytes = 64 * 1024 * 1024;
    e.connections.push_back(std::make_unique<http_connection>(
        loop_, options_.callers[ReadyEntry(job.entry)], limits));
    connection = e.connections.back().get();
  }
  http_request request;
  request.method = http_method::kPost;
  request.path = "/v1/jobs";
  request.headers = {
      {"Content-Type", "application/json"},
      {"Authorization", "Bearer " + options_.token_by_team[job.team]}};
  request.body = JobBody(job, options_.timeout);
  connection->Send(
      request, options_.timeout + kAnswerMargin,
      [this, &job](const http_result& result) { OnAnswer(job, result); });
}

void load_run::OnAnswer(const trace_job& job, const http_result& result) {
  --waiting_;
  json body =
      result.ok() ? json::parse(result.value().body, nullptr, false) : json();
  if (!body.is_object()) {
    ++result_.no_answer;
  } else if (body.value("state", "") == "complete") {
    result_.wrong_answers += !AnswersAreRight(job, body);
    result_.tasks_complete += job.tasks.size();
    double ideal = std::max(job.longest_ms(), job.work_ms() / options_.slots) +
                   options_.round_trip_ms;
    double response = ToMilliseconds(loop_.now() - start_) - job.at_ms;
    result_.complete.push_back({job.work_class, job.team, job.at_ms, response,
                                ideal, job.longest_ms(), job.tasks.size()});
  } else {
    auto& counts =
        body.value("state", "") == "refused" ? result_.refused : result_.failed;
    ++counts[body.value("reason", "unknown")];
  }
  if (next_ == jobs_.size() && waiting_ == 0)
    loop_.Stop();
}

void load_run::CheckReady(size_t number) {
  entry& e = *entries_[number];
  http_request request;
  request.path = "/readyz";
  e.operators->Send(request, std::chrono::seconds(1),
                    [this, number](const http_result& result) {
                      entry& checked = *entries_[number];
                      checked.ready =
                          result.ok() && result.value().status == 200;
                      checked.ready_timer.StartAfter(
                          kReadyCheck, [this, number] { CheckReady(number); });
                    });
}

// As a balancer does: the wanted one if it is ready, else the next that is.
size_t load_run::ReadyEntry(int wanted) const {
  size_t count = entries_.size();
  for (size_t i = 0; i < count; ++i) {
    size_t number = (static_cast<size_t>(wanted) + i) % count;
    if (entries_[number]->ready)
      return number;
  }
  return static_cast<size_t>(wanted) % count;
}

void load_run::PrintProgress() {
  std::fprintf(
      stderr, "\r%6.1f s  sent %zu of %zu  complete %zu  waiting %llu ",
      ToSeconds(loop_.now() - start_), next_, jobs_.size(),
      result_.complete.size(), static_cast<unsigned long long>(waiting_));
  progress_timer_.StartAfter(kProgressEvery, [this] { PrintProgress(); });
}

}  // namespace jasminedyke
