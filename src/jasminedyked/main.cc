// The serving daemon.

#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <unistd.h>
#include <CLI/CLI.hpp>

#include "base/base.h"
#include "base/process_state.h"
#include "daemon/daemon.h"
#include "platform_daemon.h"
#include "version.h"

namespace {

using namespace jasminedyke;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

// Before the settings tell what is to be logged, and for what ends the process.
constexpr char kFirstLogLevel[] = "info";

void LogBadSettings(const std::string& file,
                    const settings_problems& problems) {
  for (const settings_problem& problem : problems)
    LogEvent(log_level::kError, "settings_invalid",
             {{"problem", problem.ToString(file)}});
  LogEnd(kExitBadSettings, "the settings can't be used");
}

// `load` reads and checks the settings and says from which file: at the start,
// and again on each reload.
template <class Daemon, class Load>
int Serve(event_loop& loop, const Load& load, bool check_only) {
  std::string file;
  auto settings = load(&file);
  if (!settings.ok()) {
    for (const settings_problem& problem : settings.error())
      std::fprintf(stderr, "%s\n", problem.ToString(file).c_str());
    if (!check_only)
      LogBadSettings(file, settings.error());
    return kExitBadSettings;
  }
  if (check_only) {
    std::printf("%s: ok\n", file.c_str());
    return kExitOk;
  }
  StartLogging(settings.value().log_level);
  LogEvent(log_level::kInfo, "starting",
           {{"version", kVersion}, {"pid", getpid()}, {"file", file}});
  std::optional<Daemon> served;
  RunDaemon(loop, [&] {
    served.emplace(loop, settings.value());
    signal_actions actions;
    actions.stop = [&](std::function<void()> done) {
      served->Stop(std::move(done));
    };
    actions.reload = [&] {
      bool valid = load(&file).ok();
      CountReload(valid);
      LogEvent(valid ? log_level::kInfo : log_level::kError, "reload",
               {{"file", file}, {"valid", valid ? 1 : 0}});
    };
    return actions;
  });
  LogEnd(kExitOk, "stopped");
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  HoldSignals();
  CLI::App app{
      "jasminedyked dispatches short tasks of many teams to upstreams.\n"
      "Exit status: 0 stopped as asked, 1 failed to start, 2 bad settings."};
  app.set_version_flag("--version", jasminedyke::kVersion);
  std::string file;
  bool check_only = false;
  bool on_platform = false;
  auto* source = app.add_option_group("source of the settings");
  source->add_option("--settings", file, "TOML file with the settings");
  source->add_flag("--platform", on_platform,
                   "on the operators' platform, which names the file");
  source->require_option(1);
  app.add_flag("--check", check_only, "check the settings and start nothing");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadSettings;
  }
  if (!check_only) {
    StartLogging(kFirstLogLevel);
    LogWhatEndsTheProcess();
  }
  try {
    event_loop loop;
    if (on_platform)
      return Serve<platform_daemon>(loop, LoadPlatformSettings, check_only);
    auto load = [&file](std::string* read) {
      *read = file;
      return LoadSettings(file);
    };
    return Serve<instance>(loop, load, check_only);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jasminedyked: %s\n", error.what());
    LogEnd(kExitFailed, error.what());
    return kExitFailed;
  }
}
