// Public header of the cluster library, which coordinates entry instances.

#ifndef SRC_CLUSTER_CLUSTER_H_
#define SRC_CLUSTER_CLUSTER_H_

#include "cluster/document_sync.h"
#include "cluster/home_election.h"
#include "cluster/home_selector.h"
#include "cluster/member_registry.h"
#include "cluster/peer_choice.h"
#include "cluster/peer_router.h"
#include "cluster/reader_choice.h"
#include "cluster/remote_jobs.h"
#include "cluster/routing_sync.h"
#include "cluster/run_cluster.h"

#endif  // SRC_CLUSTER_CLUSTER_H_
