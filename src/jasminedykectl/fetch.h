// One blocking HTTP request, for command-line programs.

#ifndef SRC_JASMINEDYKECTL_FETCH_H_
#define SRC_JASMINEDYKECTL_FETCH_H_

#include "base/base.h"
#include "http/http.h"

namespace jasminedyke {

http_result Fetch(const socket_address& address,
                  const http_request& request,
                  duration timeout);

}  // namespace jasminedyke

#endif  // SRC_JASMINEDYKECTL_FETCH_H_
