// Public header of the daemon library: settings and the running instance.

#ifndef SRC_DAEMON_DAEMON_H_
#define SRC_DAEMON_DAEMON_H_

#include "daemon/address_opener.h"
#include "daemon/daemon_run.h"
#include "daemon/daemon_start.h"
#include "daemon/instance.h"
#include "daemon/limit_watch.h"
#include "daemon/process_end.h"
#include "daemon/process_limits.h"
#include "daemon/settings.h"
#include "daemon/settings_rules.h"
#include "daemon/status_ports.h"

#endif  // SRC_DAEMON_DAEMON_H_
