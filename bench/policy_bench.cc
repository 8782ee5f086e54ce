// Program: measures the decisions, on a replayed clock.

#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "replay/replay.h"
#include "replay/trace_file.h"

namespace {

using namespace jasminedyke;

struct named_sharing {
  const char* name;
  sharing strategy;
};

const std::vector<named_sharing>& Sharings() {
  static const std::vector<named_sharing> kAll = {
      {"static-split", sharing::kStaticSplit},
      {"granted", sharing::kGranted},
  };
  return kAll;
}

struct named_spread {
  const char* name;
  arrival_spread spread;
};

const std::vector<named_spread>& Spreads() {
  static const std::vector<named_spread> kAll = {
      {"even", arrival_spread::kEven},
      {"uneven", arrival_spread::kUneven},
      {"one", arrival_spread::kOneEntry},
  };
  return kAll;
}

struct run_options {
  std::string deployment = "conf/railway.json";
  double seconds = 60;
  uint64_t seed = 1;
  std::vector<double> loads = {0.3, 0.7, 0.9, 1.1};
  std::vector<int> entries = {3, 9};
  std::vector<std::string> sharings;
  std::vector<std::string> orders = {""};
  std::vector<std::string> spreads = {"uneven"};
  double declared_factor = -1;
  bool by_class = false;
  bool by_kind = false;
  std::string record;
  std::vector<std::string> traces;
};

void PrintHeader() {
  std::printf(
      "%-16s %-24s %-6s %4s %3s | %6s %6s %6s %7s | %8s %8s | %7s %6s "
      "%6s\n",
      "sharing", "order", "spread", "load", "n", "p50", "p90", "p99", "max",
      "waste/k", "refus/k", "msg/st", "B/s", "maxB/s");
}

void PrintRow(const named_sharing& s,
              const std::string& order,
              const char* spread,
              double load,
              int entries,
              const replay_result& r) {
  double starts = static_cast<double>(r.starts);
  double refused = 0;
  for (const auto& [reason, count] : r.refusals)
    refused += static_cast<double>(count);
  std::printf(
      "%-16s %-24s %-6s %4.2f %3d | %6.2f %6.2f %6.2f %7.2f | %8.1f %8.1f | "
      "%7.2f %6.0f %6.0f%s\n",
      s.name, order.empty() ? "(default)" : order.c_str(), spread, load,
      entries, r.StretchQuantile(0.5), r.StretchQuantile(0.9),
      r.StretchQuantile(0.99), r.StretchQuantile(1),
      1000.0 * static_cast<double>(r.WastedMessages()) / starts,
      1000.0 * refused / static_cast<double>(r.jobs.size()),
      static_cast<double>(r.peer_messages) / starts,
      static_cast<double>(r.peer_bytes) / r.seconds / entries,
      static_cast<double>(r.most_bytes_of_one) / r.seconds,
      r.doubled + r.unfinished > 0 ? "  BROKEN PROMISE" : "");
}

void PrintClasses(const deployment& d, const replay_result& r) {
  for (const mix_class& c : d.classes) {
    std::printf(
        "    %-24s target %5.0f ms: response p50 %5.0f p99 %6.0f ms, "
        "stretch p50 %.2f p90 %.2f p99 %.2f, %zu complete\n",
        c.work_class.c_str(), c.target_ms,
        r.ResponseQuantile(0.5, c.work_class),
        r.ResponseQuantile(0.99, c.work_class),
        r.StretchQuantile(0.5, c.work_class),
        r.StretchQuantile(0.9, c.work_class),
        r.StretchQuantile(0.99, c.work_class), r.Complete(c.work_class));
  }
}

template <class Named>
bool IsChosen(const std::vector<std::string>& chosen, const Named& named) {
  if (chosen.empty())
    return true;
  for (const std::string& name : chosen) {
    if (name == named.name)
      return true;
  }
  return false;
}

bool RunOne(const run_options& opt,
            const deployment& d,
            const named_sharing& s,
            const std::string& order,
            const named_spread& spread,
            double load,
            int entries) {
  replay_options options;
  options.strategy = s.strategy;
  options.order = order;
  options.entries = entries;
  options.upstreams = d.upstreams / d.failure_domains + 1;
  options.seed = opt.seed;
  replay_world world(d, options);
  job_source source(d, opt.seed);
  int slots = options.upstreams * d.slots;
  for (const trace_job& job :
       source.Arrivals(load, slots, opt.seconds * 1000, entries, spread.spread))
    world.Submit(job);
  replay_result result = world.Run();
  PrintRow(s, order, spread.name, load, entries, result);
  if (opt.by_class)
    PrintClasses(d, result);
  if (opt.by_kind) {
    double starts = static_cast<double>(result.starts);
    std::printf(
        "    bytes per start: demands %.1f, grants %.1f, releases %.1f; "
        "%.0f starts/s\n",
        static_cast<double>(result.bytes_by_kind[0]) / starts,
        static_cast<double>(result.bytes_by_kind[1]) / starts,
        static_cast<double>(result.bytes_by_kind[2]) / starts,
        starts / result.seconds);
  }
  std::fflush(stdout);
  return result.doubled == 0 && result.unfinished == 0;
}

bool RunAll(const run_options& opt) {
  deployment d = ReadDeployment(opt.deployment);
  for (mix_class& c : d.classes) {
    if (opt.declared_factor >= 0)
      c.declared_factor = opt.declared_factor;
  }
  bool held = true;
  PrintHeader();
  for (const std::string& order : opt.orders)
    for (const named_spread& spread : Spreads())
      for (int entries : opt.entries)
        for (double load : opt.loads)
          for (const named_sharing& s : Sharings())
            if (IsChosen(opt.sharings, s) && IsChosen(opt.spreads, spread))
              held = RunOne(opt, d, s, order, spread, load, entries) && held;
  return held;
}

// Writes the jobs of the first load and number of entry instances.
void Record(const run_options& opt) {
  deployment d = ReadDeployment(opt.deployment);
  for (mix_class& c : d.classes) {
    if (opt.declared_factor >= 0)
      c.declared_factor = opt.declared_factor;
  }
  job_source source(d, opt.seed);
  std::ofstream(opt.record) << RecordJobs(
      source.Arrivals(opt.loads[0], d.upstreams * d.slots, opt.seconds * 1000,
                      opt.entries[0], arrival_spread::kEven));
}

bool ReplayAll(const std::vector<std::string>& files) {
  bool met = true;
  for (const std::string& file : files) {
    trace_verdict verdict = ReplayTrace(file);
    std::printf("%s: %s\n", file.c_str(),
                verdict.violations.empty() ? "as stated" : "VIOLATED");
    for (const std::string& line : verdict.measured)
      std::printf("  %s\n", line.c_str());
    for (const std::string& line : verdict.violations)
      std::printf("  violated: %s\n", line.c_str());
    met = met && verdict.violations.empty();
  }
  return met;
}

bool Run(const run_options& opt) {
  if (!opt.traces.empty())
    return ReplayAll(opt.traces);
  if (opt.record.empty())
    return RunAll(opt);
  Record(opt);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  run_options opt;
  CLI::App app{
      "Replays a deployment's mix in one failure domain under ways of sharing "
      "slots and orders. Response is given over the ideal. Exit status 0 if "
      "every promise held."};
  app.add_option("--deployment", opt.deployment, "description under conf/");
  app.add_option("--seconds", opt.seconds, "of arrivals");
  app.add_option("--seed", opt.seed, "of the arrivals");
  app.add_option("--load", opt.loads, "slot time asked for over slot time");
  app.add_option("--entries", opt.entries, "entry instances");
  app.add_option("--sharing", opt.sharings, "ways of sharing; all if none");
  app.add_option("--order", opt.orders, "order rules");
  app.add_option("--spread", opt.spreads, "even, uneven or one");
  app.add_option("--declared-factor", opt.declared_factor,
                 "declared over real run time; 0: nothing declared");
  app.add_flag("--by-class", opt.by_class, "also a line for each class");
  app.add_flag("--by-kind", opt.by_kind, "also bytes by kind of message");
  app.add_option("--record", opt.record, "write a trace's jobs to this file");
  app.add_option("--trace", opt.traces, "replay these traces instead");
  CLI11_PARSE(app, argc, argv);
  try {
    return Run(opt) ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "policy_bench: %s\n", error.what());
    return 2;
  }
}
