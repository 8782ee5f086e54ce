// Public header of the ledger library: what instances' logs tell of jobs that
// were not answered within their objective.

#ifndef SRC_LEDGER_LEDGER_H_
#define SRC_LEDGER_LEDGER_H_

#include "ledger/job_facts.h"
#include "ledger/job_trace.h"
#include "ledger/log_line.h"
#include "ledger/loss_cause.h"
#include "ledger/loss_ledger.h"

#endif  // SRC_LEDGER_LEDGER_H_
