// Few descriptors, for this process and for those that it starts.

#ifndef TESTS_FAKES_DESCRIPTOR_LIMIT_H_
#define TESTS_FAKES_DESCRIPTOR_LIMIT_H_

#include <sys/resource.h>
#include <unistd.h>

namespace jasminedyke {

// In force while it lives; what is open stays open. The sanitizer opens a pipe
// when it meets a type of object for the first time, so a test makes the calls
// that run without a descriptor once before it.
class descriptor_limit {
 public:
  explicit descriptor_limit(rlim_t most) {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit now = before_;
    now.rlim_cur = most;
    setrlimit(RLIMIT_NOFILE, &now);
  }
  ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

  // With this one no further descriptor can be opened.
  static rlim_t NoneLeft() {
    int next = dup(STDIN_FILENO);
    close(next);
    return static_cast<rlim_t>(next);
  }

 private:
  rlimit before_{};
};

}  // namespace jasminedyke

#endif  // TESTS_FAKES_DESCRIPTOR_LIMIT_H_
