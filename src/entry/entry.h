// Public header of the entry library: jobs from the caller's request to the
// caller's answer.

#ifndef SRC_ENTRY_ENTRY_H_
#define SRC_ENTRY_ENTRY_H_

#include "entry/caller_api.h"
#include "entry/dispatch_metrics.h"
#include "entry/dispatcher.h"
#include "entry/job.h"
#include "entry/job_forwarder.h"
#include "entry/job_id.h"
#include "entry/job_json.h"
#include "entry/job_registry.h"
#include "entry/token_directory.h"

#endif  // SRC_ENTRY_ENTRY_H_
