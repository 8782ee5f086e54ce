#include "fakes/daemon_process.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jasminedyke {

namespace {

constexpr int kSilenceMs = 60'000;
constexpr int kPauseMs = 5;

std::string MakeFolder() {
  std::string folder = std::filesystem::temp_directory_path() / "daemon-XXXXXX";
  if (!mkdtemp(folder.data()))
    throw std::runtime_error("no temporary folder");
  return folder;
}

std::string SettingsFile(const std::string& folder) {
  return folder + "/settings.toml";
}

// A child begins with what its parent ignores.
class ignored_for_child {
 public:
  explicit ignored_for_child(const std::vector<int>& signals) {
    for (int each : signals)
      before_[each] = std::signal(each, SIG_IGN);
  }
  ~ignored_for_child() {
    for (const auto& [number, handler] : before_)
      std::signal(number, handler);
  }
  ignored_for_child(const ignored_for_child&) = delete;
  ignored_for_child& operator=(const ignored_for_child&) = delete;

 private:
  std::map<int, void (*)(int)> before_;
};

}  // namespace

std::string SettingsText(const daemon_addresses& addresses) {
  return "[instance]\nid = \"one\"\nfailure_domain = \"north\"\ncores = 1\n"
         "[listen]\ncallers = \"" +
         addresses.callers.ToString() + "\"\nbalancer = \"" +
         addresses.balancer.ToString() + "\"\npeers = \"" +
         addresses.peers.ToString() + "\"\nmetrics = \"" +
         addresses.metrics.ToString() +
         "\"\n[store]\naddress = \"127.0.0.1:1\"\n"
         "[upstreams]\nlongest_lease_ms = 1000\n[stop]\ngrace_s = 6\n";
}

daemon_process::daemon_process(const std::string& settings,
                               const daemon_parent& parent)
    : folder_(MakeFolder()), log_is_file_(parent.log_is_file) {
  WriteSettings(settings);
  std::array<int, 2> log = log_is_file_ ? OpenFile() : OpenPipe();
  log_end_ = log[0];
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, log[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, log[1], STDERR_FILENO);
  // The first one that a session's leader opens is its terminal.
  if (!parent.terminal.empty())
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO,
                                     parent.terminal.c_str(), O_RDWR, 0);
  for (int each : parent.closed_descriptors)
    posix_spawn_file_actions_addclose(&actions, each);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t blocked;
  sigemptyset(&blocked);
  for (int each : parent.blocked_signals)
    sigaddset(&blocked, each);
  posix_spawnattr_setsigmask(&attributes, &blocked);
  sigset_t defaults;
  sigfillset(&defaults);
  ignored_for_child ignored(parent.ignored_signals);
  for (int each : parent.ignored_signals)
    sigdelset(&defaults, each);
  posix_spawnattr_setsigdefault(&attributes, &defaults);
  int session = parent.terminal.empty() ? 0 : POSIX_SPAWN_SETSID;
  posix_spawnattr_setflags(&attributes,
                           static_cast<short>(POSIX_SPAWN_SETSIGMASK |
                                              POSIX_SPAWN_SETSIGDEF | session));
  std::string program = JASMINEDYKED;
  std::string option = "--platform";
  std::string variable = "JASMINEDYKE_BOOT=" + SettingsFile(folder_);
  std::array<char*, 3> arguments = {program.data(), option.data(), nullptr};
  std::array<char*, 2> environment = {variable.data(), nullptr};
  int failed = posix_spawn(&pid_, program.c_str(), &actions, &attributes,
                           arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  close(log[1]);
  if (failed != 0)
    throw std::runtime_error("can't start " + program);
}

daemon_process::~daemon_process() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    WaitForEnd();
  }
  close(log_end_);
  std::filesystem::remove_all(folder_);
}

void daemon_process::WriteSettings(const std::string& settings) const {
  std::ofstream(SettingsFile(folder_)) << settings;
}

void daemon_process::Signal(int number) const {
  kill(pid_, number);
}

void daemon_process::LimitFileSize(uint64_t bytes) const {
  rlimit limit{bytes, bytes};
  prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

bool daemon_process::WaitForLine(const std::string& part) {
  do {
    size_t found = log_.find(part, seen_);
    if (found != std::string::npos) {
      seen_ = found + part.size();
      return true;
    }
  } while (ReadMore());
  return false;
}

int daemon_process::WaitForEnd() {
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

std::array<int, 2> daemon_process::OpenPipe() const {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe for the log");
  return ends;
}

std::array<int, 2> daemon_process::OpenFile() const {
  std::string path = folder_ + "/log";
  int writing = open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  return {open(path.c_str(), O_RDONLY | O_CLOEXEC), writing};
}

bool daemon_process::Runs() const {
  siginfo_t ended{};
  waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
  return ended.si_pid == 0;
}

bool daemon_process::WaitForGrowth() const {
  for (int waited = 0; waited < kSilenceMs; waited += kPauseMs) {
    bool runs = Runs();
    struct stat file {};
    fstat(log_end_, &file);
    if (file.st_size > lseek(log_end_, 0, SEEK_CUR))
      return true;
    if (!runs)
      return false;
    poll(nullptr, 0, kPauseMs);
  }
  return false;
}

bool daemon_process::ReadMore() {
  pollfd ready{log_end_, POLLIN, 0};
  if (log_is_file_ ? !WaitForGrowth() : poll(&ready, 1, kSilenceMs) != 1)
    return false;
  std::array<char, 4096> some{};
  ssize_t count = read(log_end_, some.data(), some.size());
  if (count <= 0)
    return false;
  log_.append(some.data(), static_cast<size_t>(count));
  return true;
}

port_holder::port_holder()
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(socket_, generic, length) != 0 || listen(socket_, 1) != 0)
    throw std::runtime_error("no free port");
  getsockname(socket_, generic, &length);
  address_ = {"127.0.0.1", ntohs(address.sin_port)};
}

void port_holder::Release() {
  if (socket_ >= 0)
    close(socket_);
  socket_ = -1;
}

}  // namespace jasminedyke
