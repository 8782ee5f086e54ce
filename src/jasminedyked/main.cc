// The serving daemon.

#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <CLI/CLI.hpp>

#include "base/base.h"
#include "daemon/daemon.h"
#include "platform_daemon.h"
#include "version.h"

namespace {

using namespace jasminedyke;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

void LogReload(const std::string& file, bool valid) {
  LogEvent(valid ? log_level::kInfo : log_level::kError, "reload",
           {{"file", file}, {"valid", valid ? 1 : 0}});
}

template <class Daemon, class Settings>
int Serve(event_loop& loop,
          const Settings& settings,
          const std::function<void()>& reload) {
  std::optional<Daemon> served;
  RunDaemon(loop, [&] {
    served.emplace(loop, settings);
    return signal_actions{
        [&](std::function<void()> done) { served->Stop(std::move(done)); },
        reload};
  });
  return kExitOk;
}

void PrintProblems(const std::string& file, const settings_problems& found) {
  for (const settings_problem& problem : found)
    std::fprintf(stderr, "%s\n", problem.ToString(file).c_str());
}

int ServeOnPlatform(event_loop& loop, bool check_only) {
  std::string file;
  auto settings = LoadPlatformSettings(&file);
  if (!settings.ok()) {
    PrintProblems(file, settings.error());
    return kExitBadSettings;
  }
  if (check_only) {
    std::printf("%s: ok\n", file.c_str());
    return kExitOk;
  }
  StartLogging(settings.value().log_level);
  return Serve<platform_daemon>(loop, settings.value(), [] {
    std::string changed_file;
    bool valid = LoadPlatformSettings(&changed_file).ok();
    LogReload(changed_file, valid);
  });
}

int ServeUpstreams(event_loop& loop, const std::string& file, bool check_only) {
  auto settings = LoadSettings(file);
  if (!settings.ok()) {
    PrintProblems(file, settings.error());
    return kExitBadSettings;
  }
  if (check_only) {
    std::printf("%s: ok\n", file.c_str());
    return kExitOk;
  }
  StartLogging(settings.value().log_level);
  return Serve<instance>(loop, settings.value(),
                         [&file] { LogReload(file, LoadSettings(file).ok()); });
}

}  // namespace

int main(int argc, char** argv) {
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
  try {
    event_loop loop;
    return on_platform ? ServeOnPlatform(loop, check_only)
                       : ServeUpstreams(loop, file, check_only);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jasminedyked: %s\n", error.what());
    return kExitFailed;
  }
}
