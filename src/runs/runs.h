// Public header of the runs library, which runs tasks on upstreams under
// leases: a job's owner sends them to a group's home, and the home to an
// upstream.

#ifndef SRC_RUNS_RUNS_H_
#define SRC_RUNS_RUNS_H_

#include "runs/admission_estimate.h"
#include "runs/answer_times.h"
#include "runs/byte_rate.h"
#include "runs/crash_record.h"
#include "runs/domain_drains.h"
#include "runs/home_directory.h"
#include "runs/home_job.h"
#include "runs/home_reports.h"
#include "runs/home_room.h"
#include "runs/home_speeds.h"
#include "runs/home_tasks.h"
#include "runs/home_upstreams.h"
#include "runs/incarnation_state.h"
#include "runs/job_order.h"
#include "runs/job_owner.h"
#include "runs/late_starts.h"
#include "runs/owner_links.h"
#include "runs/placement.h"
#include "runs/return_bound.h"
#include "runs/room_rate.h"
#include "runs/run_claims.h"
#include "runs/run_home.h"
#include "runs/run_messages.h"
#include "runs/run_times.h"
#include "runs/run_types.h"
#include "runs/start_delegation.h"
#include "runs/start_gate.h"
#include "runs/stuck_runs.h"
#include "runs/task_placer.h"
#include "runs/upstream_clock.h"
#include "runs/upstream_port.h"
#include "runs/upstream_registry.h"
#include "runs/upstream_runs.h"
#include "runs/upstream_session.h"
#include "runs/upstream_standing.h"

#endif  // SRC_RUNS_RUNS_H_
