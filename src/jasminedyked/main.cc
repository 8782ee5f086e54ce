// The serving daemon.

#include <cstdio>
#include <exception>
#include <string>

#include <CLI/CLI.hpp>

#include "base/base.h"
#include "daemon/daemon.h"
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

int Main(const std::string& file, bool check_only) {
  auto settings = LoadSettings(file);
  if (!settings.ok()) {
    for (const settings_problem& problem : settings.error())
      std::fprintf(stderr, "%s\n", problem.ToString(file).c_str());
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
  app.add_option("--settings", file, "TOML file with the settings")->required();
  app.add_flag("--check", check_only, "check the settings and start nothing");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadSettings;
  }
  try {
    return Main(file, check_only);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jasminedyked: %s\n", error.what());
    return kExitFailed;
  }
}
