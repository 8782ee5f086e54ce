// A listener that can't accept rests for a moment.

#ifndef SRC_HTTP_ACCEPT_PAUSE_H_
#define SRC_HTTP_ACCEPT_PAUSE_H_

#include <cstdint>
#include <string>

#include "base/base.h"

struct evconnlistener;

namespace jasminedyke {

// Without descriptors, accept fails at once and the connection stays in the
// queue, so that the listener is ready again and again and takes a whole core.
// It is taken off the loop after each failure for a tenth of a second.
class accept_pause {
 public:
  // `what` names the listener in the log. It must live for as long as this.
  accept_pause(scheduler& clock, evconnlistener* listener, std::string what);
  ~accept_pause();
  accept_pause(const accept_pause&) = delete;
  accept_pause& operator=(const accept_pause&) = delete;

  uint64_t failures() const { return failures_; }

 private:
  static void OnError(evconnlistener* listener, void* owner);
  void Pause();

  scheduler& clock_;
  evconnlistener* listener_;
  std::string what_;
  uint64_t failures_ = 0;
  time_point logged_ = time_point::min();
  scoped_timer resume_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_HTTP_ACCEPT_PAUSE_H_
