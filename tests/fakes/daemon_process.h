// The daemon as a process of its own, for tests of its start and its end.

#ifndef TESTS_FAKES_DAEMON_PROCESS_H_
#define TESTS_FAKES_DAEMON_PROCESS_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

#include "http/http.h"

namespace jasminedyke {

// Where a daemon listens; port 0 is any free one.
struct daemon_addresses {
  socket_address callers{"127.0.0.1", 0};
  socket_address balancer{"127.0.0.1", 0};
  socket_address peers{"127.0.0.1", 0};
  socket_address metrics{"127.0.0.1", 0};
};

// Settings of a daemon on the operators' platform, whose store is away.
std::string SettingsText(const daemon_addresses& addresses);

// What a daemon inherits from the program that starts it.
struct daemon_parent {
  std::vector<int> blocked_signals;
  // All others have their default.
  std::vector<int> ignored_signals;
  std::vector<int> closed_descriptors;
  // The path of a terminal that becomes its own, as if it was started there.
  std::string terminal;
  // Its log is a file rather than a pipe.
  bool log_is_file = false;
};

// Ends the process, if it still runs, when it goes.
class daemon_process {
 public:
  // Starts it with a settings file of that text. Its standard output and error
  // are the log.
  explicit daemon_process(const std::string& settings,
                          const daemon_parent& parent = {});
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  // Writes the settings file anew, in place.
  void WriteSettings(const std::string& settings) const;

  void Signal(int number) const;

  // Sets the largest size of a file that it may write.
  void LimitFileSize(uint64_t bytes) const;

  // Reads the log up to a line that has `part`. Returns false if the log ends
  // before, as the process ends, or is silent for a minute.
  bool WaitForLine(const std::string& part);

  // The exit status; negative is the signal that ended the process.
  int WaitForEnd();

  pid_t pid() const { return pid_; }

  // All that was read of the log.
  const std::string& log() const { return log_; }

 private:
  // Both return the log's end for this test, and the one for the process.
  std::array<int, 2> OpenPipe() const;
  std::array<int, 2> OpenFile() const;
  // Returns false at the log's end.
  bool ReadMore();
  // Of a file, which may grow while the process runs.
  bool WaitForGrowth() const;
  bool Runs() const;

  std::string folder_;
  pid_t pid_ = -1;
  int log_end_ = -1;
  bool log_is_file_;
  std::string log_;
  // What `WaitForLine` has looked at.
  size_t seen_ = 0;
};

// A program that has a port of 127.0.0.1.
class port_holder {
 public:
  port_holder();
  ~port_holder() { Release(); }
  port_holder(const port_holder&) = delete;
  port_holder& operator=(const port_holder&) = delete;

  const socket_address& address() const { return address_; }
  void Release();

 private:
  int socket_ = -1;
  socket_address address_;
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_DAEMON_PROCESS_H_
