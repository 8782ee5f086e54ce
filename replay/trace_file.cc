#include "replay/trace_file.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <limits>
#include <map>
#include <stdexcept>

namespace jasminedyke {

namespace {

using nlohmann::json;

// Sets up one kind of event, by the name of its field.
using event_action = void (*)(replay_world& world, const json& event);

upstream_mode ParseMode(const std::string& name) {
  static const std::map<std::string, upstream_mode> kModes = {
      {"ok", upstream_mode::kOk},
      {"fail_all", upstream_mode::kFailAll},
      {"dead", upstream_mode::kDead},
      {"hang", upstream_mode::kHang},
      {"leaving", upstream_mode::kLeaving}};
  return kModes.at(name);
}

const std::map<std::string, event_action>& Events() {
  static const std::map<std::string, event_action> kEvents = {
      {"upstream",
       [](replay_world& world, const json& e) {
         int number = e["upstream"];
         if (e.contains("slowness"))
           world.upstream(number).SetSlowness(e["slowness"]);
         else
           world.SetUpstream(number, ParseMode(e.at("mode")));
       }},
      {"kill_entry", [](replay_world& world,
                        const json& e) { world.KillEntry(e["kill_entry"]); }},
      {"kill_home", [](replay_world& world,
                       const json&) { world.KillEntry(world.home_number()); }},
      {"pause_entry",
       [](replay_world& world, const json& e) {
         world.PauseEntry(e["pause_entry"]);
       }},
      {"continue_entry",
       [](replay_world& world, const json& e) {
         world.ContinueEntry(e["continue_entry"]);
       }},
      {"cut_entry",
       [](replay_world& world, const json& e) {
         world.CutEntry(e["cut_entry"], e.value("cut", true));
       }},
      {"cancel_team", [](replay_world& world,
                         const json& e) { world.CancelAll(e["cancel_team"]); }},
      {"target_class",
       [](replay_world& world, const json& e) {
         world.SetTarget(e["target_class"], e.at("target_ms"));
       }},
      {"lie_about",
       [](replay_world& world, const json& e) {
         world.Lie(e.at("entry"), e["lie_about"]);
       }},
  };
  return kEvents;
}

std::vector<trace_job> ParseJobs(const json& rows) {
  std::vector<trace_job> jobs;
  for (const json& row : rows) {
    trace_job job;
    job.at_ms = row.at(0);
    job.entry = row.at(1);
    job.work_class = row.at(2);
    job.team = row.at(3);
    for (const json& task : row.at(4)) {
      bool declared = task.is_array();
      job.tasks.push_back(
          {declared ? task.at(0).get<double>() : task.get<double>(),
           declared ? task.at(1).get<double>() : 0});
    }
    jobs.push_back(std::move(job));
  }
  return jobs;
}

// Whether a job counts for an outcome.
bool Selects(const json& outcome, const replay_job_result& job) {
  return (!outcome.contains("class") || outcome["class"] == job.work_class) &&
         (!outcome.contains("team") || outcome["team"] == job.team) &&
         job.at_ms >= outcome.value("from_ms", 0.0) &&
         job.at_ms < outcome.value("to_ms", 1e18);
}

replay_result Selected(const json& outcome, const replay_result& result) {
  replay_result selected = result;
  std::erase_if(selected.jobs, [&](const replay_job_result& job) {
    return !Selects(outcome, job);
  });
  return selected;
}

double CountJobs(const replay_result& result,
                 bool (*counts)(const replay_job_result&)) {
  return static_cast<double>(std::ranges::count_if(result.jobs, counts));
}

// Measures one kind of outcome, by its name.
using measurement = double (*)(const json& outcome,
                               const replay_result& selected,
                               replay_world& world);

const std::map<std::string, measurement>& Measurements() {
  static const std::map<std::string, measurement> kMeasurements = {
      {"stretch",
       [](const json& o, const replay_result& r, replay_world&) {
         return r.StretchQuantile(o.at("quantile"));
       }},
      {"response_ms",
       [](const json& o, const replay_result& r, replay_world&) {
         return r.ResponseQuantile(o.at("quantile"));
       }},
      {"complete",
       [](const json&, const replay_result& r, replay_world&) {
         return static_cast<double>(r.Complete());
       }},
      {"refused",
       [](const json&, const replay_result& r, replay_world&) {
         return CountJobs(
             r, [](const replay_job_result& job) { return job.refused; });
       }},
      {"failed",
       [](const json&, const replay_result& r, replay_world&) {
         return CountJobs(r, [](const replay_job_result& job) {
           return !job.complete && !job.refused && job.response_ms > 0;
         });
       }},
      {"lost", [](const json&, const replay_result& r,
                  replay_world&) { return static_cast<double>(r.jobs_lost); }},
      {"wasted_per_1000_starts",
       [](const json&, const replay_result& r, replay_world&) {
         return 1000.0 * static_cast<double>(r.WastedMessages()) /
                static_cast<double>(r.starts);
       }},
      {"starts_at",
       [](const json& o, const replay_result&, replay_world& world) {
         return static_cast<double>(world.upstream(o.at("upstream"))
                                        .StartsBetween(o.value("from_ms", 0.0),
                                                       o.value("to_ms", 1e18)));
       }},
      {"overcommitted",
       [](const json&, const replay_result& r, replay_world&) {
         return static_cast<double>(r.overcommitted);
       }},
  };
  return kMeasurements;
}

void CheckOutcome(const json& outcome,
                  const replay_result& result,
                  replay_world& world,
                  trace_verdict* verdict) {
  double value = Measurements().at(outcome.at("what"))(
      outcome, Selected(outcome, result), world);
  std::string line = outcome.dump() + " measured " + std::to_string(value);
  verdict->measured.push_back(line);
  double infinite = std::numeric_limits<double>::infinity();
  if (value > outcome.value("max", infinite) ||
      value < outcome.value("min", -infinite)) {
    verdict->violations.push_back(line);
  }
}

void CheckPromises(const replay_result& result, trace_verdict* verdict) {
  if (result.doubled > 0)
    verdict->violations.push_back("tasks started more than once: " +
                                  std::to_string(result.doubled));
  if (result.unfinished > 0)
    verdict->violations.push_back("jobs without an outcome: " +
                                  std::to_string(result.unfinished));
}

}  // namespace

trace_verdict ReplayTrace(const std::string& file) {
  std::ifstream stream(file);
  if (!stream)
    throw std::runtime_error("can't read " + file);
  json trace = json::parse(stream);
  replay_options options;
  options.entries = trace.value("entries", options.entries);
  options.upstreams = trace.value("upstreams", options.upstreams);
  options.list_lag = FromMilliseconds(trace.value("list_lag_ms", 5000.0));
  replay_world world(ParseDeployment(trace.at("deployment")), options);
  for (const trace_job& job : ParseJobs(trace.at("jobs")))
    world.Submit(job);
  for (const json& event : trace.value("events", json::array())) {
    auto action = std::ranges::find_if(Events(), [&](const auto& known) {
      return event.contains(known.first);
    });
    if (action == Events().end())
      throw std::runtime_error(file + ": unknown event " + event.dump());
    world.At(event.at("at_ms"),
             [&world, event, run = action->second] { run(world, event); });
  }
  replay_result result = world.Run();
  trace_verdict verdict;
  CheckPromises(result, &verdict);
  for (const json& outcome : trace.at("outcomes"))
    CheckOutcome(outcome, result, world, &verdict);
  return verdict;
}

json RecordJobs(const std::vector<trace_job>& jobs) {
  json rows = json::array();
  for (const trace_job& job : jobs) {
    json tasks = json::array();
    for (const trace_task& task : job.tasks) {
      if (task.declared_ms > 0)
        tasks.push_back({task.run_ms, task.declared_ms});
      else
        tasks.push_back(task.run_ms);
    }
    rows.push_back(
        {std::round(job.at_ms), job.entry, job.work_class, job.team, tasks});
  }
  return rows;
}

}  // namespace jasminedyke
