// Public header of the upstream library: attempts to run tasks, and what
// their ends prove.

#ifndef SRC_UPSTREAM_UPSTREAM_H_
#define SRC_UPSTREAM_UPSTREAM_H_

#include "upstream/attempt.h"
#include "upstream/upstream_links.h"

#endif  // SRC_UPSTREAM_UPSTREAM_H_
