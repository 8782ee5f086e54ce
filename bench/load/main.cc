// Program: puts load on entry instances and reports what callers saw.

#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "load/load_run.h"

namespace {

using namespace jasminedyke;
using nlohmann::json;

struct options {
  std::string deployment = "conf/railway.json";
  std::vector<std::string> callers;
  std::vector<std::string> operators;
  std::string spread = "even";
  std::string result;
  double load = 0.5;
  double seconds = 10;
  uint64_t seed = 1;
  // A plain stream of equal tasks instead of the deployment's mix.
  double starts_per_second = 0;
  int tasks_per_job = 10;
  double run_ms = 5;
  bool quiet = false;
};

std::vector<socket_address> Addresses(const std::vector<std::string>& texts) {
  std::vector<socket_address> addresses;
  for (const std::string& text : texts) {
    auto address = socket_address::Parse(text);
    if (!address)
      throw std::runtime_error(text + " is not IP:PORT");
    addresses.push_back(*address);
  }
  return addresses;
}

arrival_spread Spread(const std::string& name) {
  if (name == "one")
    return arrival_spread::kOneEntry;
  return name == "uneven" ? arrival_spread::kUneven : arrival_spread::kEven;
}

std::vector<trace_job> PlainJobs(const options& opt, const deployment& d) {
  std::vector<trace_job> jobs;
  double gap_ms = 1000.0 * opt.tasks_per_job / opt.starts_per_second;
  int entries = static_cast<int>(opt.callers.size());
  for (double at = 0; at < opt.seconds * 1000; at += gap_ms) {
    trace_job job;
    job.at_ms = at;
    job.entry = static_cast<int>(jobs.size()) % entries;
    job.work_class = d.classes[0].work_class;
    job.team = d.classes[0].team;
    job.tasks.assign(opt.tasks_per_job, {opt.run_ms, 0});
    jobs.push_back(job);
  }
  return jobs;
}

int Run(const options& opt) {
  deployment d = ReadDeployment(opt.deployment);
  load_options load;
  load.callers = Addresses(opt.callers);
  load.operators = Addresses(opt.operators);
  load.slots = d.upstreams * d.slots;
  load.round_trip_ms = 2 * d.upstream_delay_ms;
  load.progress = !opt.quiet;
  for (const mix_class& c : d.classes)
    load.token_by_team[c.team] = "token-of-" + c.team;
  std::vector<trace_job> jobs;
  if (opt.starts_per_second > 0) {
    jobs = PlainJobs(opt, d);
  } else {
    job_source source(d, opt.seed);
    jobs = source.Arrivals(opt.load, load.slots, opt.seconds * 1000,
                           static_cast<int>(load.callers.size()),
                           Spread(opt.spread));
  }
  event_loop loop;
  load_result result = load_run(loop, load, jobs).Run();
  json report = result.ToJson();
  if (!opt.result.empty())
    std::ofstream(opt.result) << report.dump() << "\n";
  report.erase("timeline");
  std::printf("%s\n", report.dump(1).c_str());
  // Promises as far as callers can see them.
  return result.wrong_answers == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  options opt;
  CLI::App app{
      "Puts a deployment's mix, or a plain stream of tasks, on entry "
      "instances. "
      "Teams' tokens are \"token-of-TEAM\". Exit status 0 if every answer was "
      "the right one."};
  app.add_option("--deployment", opt.deployment, "description under conf/");
  app.add_option("--callers", opt.callers, "IP:PORT of each instance")
      ->required();
  app.add_option("--operators", opt.operators,
                 "IP:PORT of each instance, to follow /readyz");
  app.add_option("--spread", opt.spread, "even, uneven or one");
  app.add_option("--load", opt.load, "slot time asked for over slot time");
  app.add_option("--seconds", opt.seconds, "of arrivals");
  app.add_option("--seed", opt.seed, "of the arrivals");
  app.add_option("--starts-per-second", opt.starts_per_second,
                 "plain stream instead of the mix");
  app.add_option("--tasks-per-job", opt.tasks_per_job, "of the plain stream");
  app.add_option("--run-ms", opt.run_ms, "of the plain stream");
  app.add_option("--result", opt.result, "file for the JSON result");
  app.add_flag("--quiet", opt.quiet, "no progress");
  CLI11_PARSE(app, argc, argv);
  try {
    return Run(opt);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jasminedyke_load: %s\n", error.what());
    return 2;
  }
}
