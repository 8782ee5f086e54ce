// Callers that were refused amid a request and may still send.

#ifndef SRC_HTTP_REFUSED_CALLERS_H_
#define SRC_HTTP_REFUSED_CALLERS_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "base/base.h"
#include "http/connection_places.h"

struct event;

namespace jasminedyke {

// A socket that is closed while bytes are unread is reset, and the caller may
// lose the reply. So they are read until the caller closes, and thrown away;
// nothing of them is kept.
class refused_callers {
 public:
  // `on_gone` is told of those that have closed.
  refused_callers(event_loop& loop, std::function<void(connection_key)> on_gone)
      : loop_(loop), on_gone_(std::move(on_gone)) {}
  ~refused_callers();
  refused_callers(const refused_callers&) = delete;
  refused_callers& operator=(const refused_callers&) = delete;

  // Takes over the socket, which nothing more will be written to.
  connection_key Take(int socket);

  // Closes it; false if it is none of these.
  bool Close(connection_key caller);

 private:
  struct event_deleter {
    void operator()(event* e) const;
  };
  struct caller {
    refused_callers* all = nullptr;
    std::unique_ptr<event, event_deleter> readable;
  };

  static void OnReadable(int socket, short what, void* self);

  event_loop& loop_;
  std::function<void(connection_key)> on_gone_;
  std::unordered_map<connection_key, std::unique_ptr<caller>> callers_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_REFUSED_CALLERS_H_
