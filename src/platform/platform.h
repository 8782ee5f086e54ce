// Public header of the platform library: the table service, the instance
// list, and what is kept in them.

#ifndef SRC_PLATFORM_PLATFORM_H_
#define SRC_PLATFORM_PLATFORM_H_

#include "platform/configuration_json.h"
#include "platform/configuration_store.h"
#include "platform/http_platform.h"
#include "platform/json_reader.h"
#include "platform/membership_json.h"
#include "platform/membership_poller.h"
#include "platform/table_service.h"
#include "platform/usage_ledger.h"
#include "platform/usage_sink.h"

#endif  // SRC_PLATFORM_PLATFORM_H_
