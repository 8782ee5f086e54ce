// The serving daemon.

#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

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

int Fail(const std::string& reason) {
  std::fprintf(stderr, "jasminedyked: %s\n", reason.c_str());
  LogEnd(kExitFailed, reason);
  return kExitFailed;
}

void LogBadSettings(const std::string& file,
                    const settings_problems& problems) {
  for (const settings_problem& problem : problems)
    LogEvent(log_level::kError, "settings_invalid",
             {{"problem", problem.ToString(file)}});
  LogEnd(kExitBadSettings, "the settings can't be used");
}

void PrintProblems(const std::string& file, const settings_problems& problems) {
  for (const settings_problem& problem : problems)
    std::fprintf(stderr, "%s\n", problem.ToString(file).c_str());
}

template <class Load>
int Check(const Load& load) {
  std::string file;
  auto settings = load(&file);
  if (!settings.ok()) {
    PrintProblems(file, settings.error());
    return kExitBadSettings;
  }
  PrintProblems(file, settings.value().awaited);
  if (!settings.value().awaited.empty())
    return kExitBadSettings;
  PrintProblems(file, settings.value().defaulted);
  std::printf("%s: ok\n", file.c_str());
  return kExitOk;
}

void Make(std::optional<instance>& made,
          event_loop& loop,
          const daemon_settings& settings,
          open_sockets sockets,
          status_ports&) {
  made.emplace(loop, settings, std::move(sockets));
}

void Make(std::optional<platform_daemon>& made,
          event_loop& loop,
          const platform_settings& settings,
          open_sockets sockets,
          status_ports& status) {
  made.emplace(loop, settings, std::move(sockets), status);
}

// A daemon from its start to its end. `Load` reads and checks the settings and
// says from which file: at the start, and again on each reload.
template <class Daemon, class Load>
class daemon_life {
 public:
  daemon_life(event_loop& loop, const Load& load)
      : loop_(loop),
        load_(load),
        ports_(loop, [this] { return Awaited(); }),
        start_(loop, Steps()) {}

  // Returns the exit status.
  int Run() {
    RunDaemon(loop_, [this] {
      start_.Begin();
      signal_actions actions;
      actions.stop = [this](std::function<void()> done) {
        Stop(std::move(done));
      };
      actions.reload = [this] { Reload(); };
      return actions;
    });
    if (status_ == kExitOk)
      LogEnd(kExitOk, "stopped");
    return status_;
  }

 private:
  using settings_outcome = std::invoke_result_t<Load, std::string*>;
  using settings_type =
      std::remove_cvref_t<decltype(std::declval<settings_outcome>().value())>;

  start_steps Steps() {
    start_steps steps;
    steps.load = [this] { return ReadSettings(); };
    steps.awaited = [this] { return settings_->awaited; };
    steps.make = [this](open_sockets sockets) {
      Make(served_, loop_, *settings_, std::move(sockets), ports_);
    };
    steps.on_early = [this](const listen_address& address,
                            server_socket socket) {
      ports_.Serve(address, std::move(socket),
                   WatchersLimits(OwnLimits(settings_->memory_mb)));
    };
    steps.on_bad_settings = [this](const settings_problems& problems) {
      PrintProblems(file_, problems);
      LogBadSettings(file_, problems);
      End(kExitBadSettings);
    };
    steps.on_failed = [this](const std::string& reason) { End(Fail(reason)); };
    return steps;
  }

  outcome<std::vector<listen_address>, settings_problems> ReadSettings() {
    settings_outcome read = load_(&file_);
    if (!read.ok())
      return read.error();
    std::vector<listen_address> addresses = Daemon::Addresses(read.value());
    if (!served_) {
      Use(read.value());
      ports_.Keep(addresses);
    }
    return addresses;
  }

  awaited_at_start Awaited() const {
    awaited_at_start awaited;
    awaited.addresses = start_.awaited_addresses();
    for (const settings_problem& problem : settings_->awaited)
      awaited.settings.push_back(problem.key);
    return awaited;
  }

  void Use(const settings_type& settings) {
    std::string level = settings_ ? settings_->log_level : kFirstLogLevel;
    if (settings.log_level != level)
      StartLogging(settings.log_level);
    if (!settings_)
      LogEvent(log_level::kInfo, "starting",
               {{"version", kVersion}, {"pid", getpid()}, {"file", file_}});
    LogDefaults(settings.defaulted);
    settings_ = settings;
  }

  // Read again and again, the same settings are told of once.
  void LogDefaults(const settings_problems& defaulted) {
    if (settings_ && settings_->defaulted == defaulted)
      return;
    for (const settings_problem& problem : defaulted)
      LogEvent(log_level::kWarning, "settings_default",
               {{"problem", problem.ToString(file_)}});
  }

  // One that isn't made yet has nothing to end gracefully.
  void Stop(std::function<void()> done) {
    if (served_)
      served_->Stop(std::move(done));
    else
      done();
  }

  void Reload() {
    bool valid = start_.Reload();
    CountReload(valid);
    LogEvent(valid ? log_level::kInfo : log_level::kError, "reload",
             {{"file", file_}, {"valid", valid ? 1 : 0}});
  }

  void End(int status) {
    status_ = status;
    loop_.Stop();
  }

  event_loop& loop_;
  Load load_;
  std::string file_;
  // Those by which the daemon is made.
  std::optional<settings_type> settings_;
  status_ports ports_;
  std::optional<Daemon> served_;
  int status_ = kExitOk;
  daemon_start start_;
};

template <class Daemon, class Load>
int Serve(event_loop& loop, const Load& load) {
  return daemon_life<Daemon, Load>(loop, load).Run();
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
  auto load = [&file](std::string* read) {
    *read = file;
    return LoadSettings(file);
  };
  if (check_only)
    return on_platform ? Check(LoadPlatformSettings) : Check(load);
  StartLogging(kFirstLogLevel);
  LogWhatEndsTheProcess();
  try {
    event_loop loop;
    return on_platform ? Serve<platform_daemon>(loop, &LoadPlatformSettings)
                       : Serve<instance>(loop, load);
  } catch (const std::exception& error) {
    return Fail(error.what());
  }
}
