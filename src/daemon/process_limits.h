// How a daemon shares out what its process may take.

#ifndef SRC_DAEMON_PROCESS_LIMITS_H_
#define SRC_DAEMON_PROCESS_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "http/http.h"
#include "protocol/protocol.h"

namespace jasminedyke {

struct process_limits {
  // Of files and sockets that are open at once.
  size_t descriptors = 0;
  // 0: not known.
  size_t memory_bytes = 0;
};

// Of this process; `memory_mb` from its settings, 0 if they don't tell.
process_limits OwnLimits(double memory_mb);

// Callers get half of the descriptors, and requests in progress an eighth of
// the memory: reading and keeping a job takes some times its text. The rest is
// for the daemon's own connections: to peers, upstreams and the store.
http_server_limits CallersLimits(const process_limits& process);

// For the few that watch or administrate the daemon.
http_server_limits WatchersLimits(const process_limits& process);

// All links to peers get a quarter of the memory, a sixteenth is the longest
// frame: the largest job takes 21 MB of frames, the longest of them 0.5 MB.
link_limits PeersLimits(const process_limits& process);

// Of all jobs whose callers wait here: a quarter of the memory at what a task
// takes of the owner and the home, and at least the largest job. 0: no bound.
uint64_t MostOpenTasks(const process_limits& process);

// Peers that have yet to prove who they are.
size_t MostUnprovenPeers(const process_limits& process);

}  // namespace jasminedyke

#endif  // SRC_DAEMON_PROCESS_LIMITS_H_
