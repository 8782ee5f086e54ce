// The metrics of an instance that shares upstreams through homes.

#ifndef SRC_ADMIN_RUN_METRICS_REPORT_H_
#define SRC_ADMIN_RUN_METRICS_REPORT_H_

#include "admin/prometheus_writer.h"
#include "cluster/cluster.h"

namespace jasminedyke {

void WriteRunMetrics(prometheus_writer& out, const run_cluster& cluster);
void WriteTraffic(prometheus_writer& out, const traffic_meter& traffic);
// Of a server's connections, by what they are for.
void WriteServer(prometheus_writer& out,
                 const char* use,
                 const http_server_metrics& metrics);
void WriteOwnConnections(prometheus_writer& out,
                         size_t peers,
                         uint64_t peer_accept_failures,
                         size_t upstreams);
// What links hold of the memory, and their ends.
void WriteLinks(prometheus_writer& out, const peer_mesh& links);
// Of the process itself, and of its log.
void WriteProcessMetrics(prometheus_writer& out);

}  // namespace jasminedyke

#endif  // SRC_ADMIN_RUN_METRICS_REPORT_H_
