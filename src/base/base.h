// Public header of the base library: ids, time, timers, outcomes, logs,
// digests and stream statistics.

#ifndef SRC_BASE_BASE_H_
#define SRC_BASE_BASE_H_

#include "base/crypto.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/manual_scheduler.h"
#include "base/outcome.h"
#include "base/quantiles.h"
#include "base/runtime_clock.h"
#include "base/scheduler.h"
#include "base/traffic_meter.h"

#endif  // SRC_BASE_BASE_H_
