// Public header of the store library: the table service, the instance
// list, and what is kept in them.

#ifndef SRC_STORE_STORE_H_
#define SRC_STORE_STORE_H_

#include "store/configuration_json.h"
#include "store/configuration_store.h"
#include "store/http_platform.h"
#include "store/json_bounds.h"
#include "store/json_fields.h"
#include "store/json_reader.h"
#include "store/membership_json.h"
#include "store/membership_poller.h"
#include "store/store_watch.h"
#include "store/table_feed.h"
#include "store/table_service.h"
#include "store/usage_ledger.h"
#include "store/usage_sink.h"

#endif  // SRC_STORE_STORE_H_
