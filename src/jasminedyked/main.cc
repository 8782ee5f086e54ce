// The serving daemon.

#include <cstdio>
#include <exception>
#include <string>

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

int Serve(const daemon_settings& settings) {
  event_loop loop;
  instance served(loop, settings);
  loop.OnStopSignal([&] { served.Stop([&] { loop.Stop(); }); });
  loop.Run();
  return kExitOk;
}

void PrintProblems(const std::string& file, const settings_problems& found) {
  for (const settings_problem& problem : found)
    std::fprintf(stderr, "%s\n", problem.ToString(file).c_str());
}

int ServeOnPlatform(bool check_only) {
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
  event_loop loop;
  platform_daemon served(loop, settings.value());
  loop.OnStopSignal([&] { served.Stop([&] { loop.Stop(); }); });
  loop.OnReloadSignal([&] {
    auto changed = LoadPlatformSettings(&file);
    LogEvent(changed.ok() ? log_level::kInfo : log_level::kError, "reload",
             {{"file", file}, {"valid", changed.ok() ? 1 : 0}});
  });
  loop.Run();
  return kExitOk;
}

int Main(const std::string& file, bool check_only) {
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
  return Serve(settings.value());
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
    return on_platform ? ServeOnPlatform(check_only) : Main(file, check_only);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jasminedyked: %s\n", error.what());
    return kExitFailed;
  }
}
