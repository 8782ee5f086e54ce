// Copies between evhttp's structures and ours.

#ifndef SRC_HTTP_EVHTTP_CONVERT_H_
#define SRC_HTTP_EVHTTP_CONVERT_H_

#include <string>

#include "http/http_types.h"

struct evbuffer;
struct evkeyvalq;

namespace jasminedyke {

http_headers CopyHeaders(const evkeyvalq* headers);

// Empties `buffer`.
std::string CopyBody(evbuffer* buffer);

}  // namespace jasminedyke

#endif  // SRC_HTTP_EVHTTP_CONVERT_H_
