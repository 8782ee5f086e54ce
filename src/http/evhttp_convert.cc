#include "http/evhttp_convert.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace jasminedyke {

http_headers CopyHeaders(const evkeyvalq* headers) {
  http_headers copy;
  for (const evkeyval* pair = headers->tqh_first; pair;
       pair = pair->next.tqe_next) {
    copy.emplace_back(pair->key, pair->value);
  }
  return copy;
}

std::string CopyBody(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

}  // namespace jasminedyke
