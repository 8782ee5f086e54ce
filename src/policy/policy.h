// Public header of the policy library, which makes the dispatcher's decisions
// in functions and state machines that depend on time and messages only and do
// no I/O.

#ifndef SRC_POLICY_POLICY_H_
#define SRC_POLICY_POLICY_H_

#include "policy/admission.h"
#include "policy/arrival_meter.h"
#include "policy/configuration.h"
#include "policy/granted_slots.h"
#include "policy/job_queue.h"
#include "policy/local_slots.h"
#include "policy/membership.h"
#include "policy/order_rule.h"
#include "policy/rendezvous.h"
#include "policy/retry_budget.h"
#include "policy/route_table.h"
#include "policy/run_time_estimator.h"
#include "policy/run_time_model.h"
#include "policy/slot_home.h"
#include "policy/slot_messages.h"
#include "policy/slot_strategy.h"
#include "policy/spill_slots.h"
#include "policy/team_quotas.h"
#include "policy/upstream_health.h"
#include "policy/upstream_speeds.h"
#include "policy/upstream_table.h"

#endif  // SRC_POLICY_POLICY_H_
