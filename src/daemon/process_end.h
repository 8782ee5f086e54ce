// Tells in the log what ends the process.

#ifndef SRC_DAEMON_PROCESS_END_H_
#define SRC_DAEMON_PROCESS_END_H_

#include <string>

namespace jasminedyke {

// From now on these leave a line `ended` in the log before the process is gone:
// a signal whose default action ends it, an exception that nobody catches, and
// a failed check of libevent. What libevent warns of becomes a line as well.
// SIGKILL, also by a machine that is out of memory, can't be told.
void LogWhatEndsTheProcess();

// The line of a process that ends by returning from `main`. Waits for a slow
// reader of the log, at most a tenth of a second.
void LogEnd(int status, const std::string& reason);

}  // namespace jasminedyke

#endif  // SRC_DAEMON_PROCESS_END_H_
