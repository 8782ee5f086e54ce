// Descriptors that a daemon finds at its start.

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <poll.h>

#include "fakes/daemon_process.h"

namespace jasminedyke {
namespace {

// Callers, balancer, peers and metrics.
constexpr int kListening = 4;
constexpr int kPauseMs = 5;
constexpr int kLongestWaitMs = 60'000;

// What each open descriptor of a process is, by its number.
std::vector<std::string> OpenDescriptors(pid_t pid) {
  std::vector<std::string> open;
  std::string folder = "/proc/" + std::to_string(pid) + "/fd";
  std::error_code gone;
  for (const auto& each : std::filesystem::directory_iterator(folder, gone)) {
    size_t number = std::stoul(each.path().filename());
    open.resize(std::max(open.size(), number + 1));
    open[number] = std::filesystem::read_symlink(each.path(), gone);
  }
  return open;
}

bool IsSocket(const std::string& name) {
  return name.starts_with("socket:");
}

// Guards against a log that is written into a socket or a timer, as the program
// was started without standard descriptors.
TEST_CASE("a daemon that is started without standard descriptors") {
  daemon_parent parent;
  parent.closed_descriptors = {0, 1, 2};
  daemon_process daemon(SettingsText({}), parent);
  std::vector<std::string> open;
  for (int waited = 0; waited < kLongestWaitMs; waited += kPauseMs) {
    open = OpenDescriptors(daemon.pid());
    if (std::count_if(open.begin(), open.end(), IsSocket) >= kListening)
      break;
    poll(nullptr, 0, kPauseMs);
  }
  REQUIRE(std::count_if(open.begin(), open.end(), IsSocket) >= kListening);
  for (size_t number : {0, 1, 2})
    CHECK(open[number] == "/dev/null");
}

}  // namespace
}  // namespace jasminedyke
