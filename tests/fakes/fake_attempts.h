// Attempts that the test ends as it likes.

#ifndef TESTS_FAKES_FAKE_ATTEMPTS_H_
#define TESTS_FAKES_FAKE_ATTEMPTS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "entry/entry.h"

namespace jasminedyke {

class fake_attempts : public attempt_port {
 public:
  struct started {
    attempt_request request;
    callback done;
  };

  void Start(const attempt_request& request, callback done) override {
    attempts.push_back({request, std::move(done)});
  }
  void Stop(const upstream_id&, const std::string& task) override {
    stopped.push_back(task);
  }

  // Ends the attempt with this number, counted from the first one.
  void End(size_t number, const http_result& result) {
    started attempt = attempts.at(number);
    attempt.done(ClassifyResult(attempt.request, result));
  }

  std::vector<started> attempts;
  std::vector<std::string> stopped;
};

struct fake_usage : usage_sink {
  void Book(const team_id& team, duration run_time) override {
    booked[team] += run_time;
    ++tasks;
  }
  std::map<team_id, duration> booked;
  int tasks = 0;
};

inline http_result AnswerOk(const std::string& body, int run_ms = 100) {
  return http_reply{200,
                    {{"Content-Length", std::to_string(body.size())},
                     {"Jasminedyke-Run-Ms", std::to_string(run_ms)}},
                    body};
}
inline http_result AnswerStatus(int status) {
  return http_reply{status, {{"Content-Length", "0"}}, ""};
}
inline http_result AnswerNotRun(const char* reason) {
  return http_reply{503,
                    {{"Content-Length", "0"},
                     {"Jasminedyke-Run", "not-run"},
                     {"Jasminedyke-Reason", reason}},
                    ""};
}
inline http_result ConnectFailed() {
  return http_failure{http_failure_kind::kConnect, true};
}
inline http_result ResetAfterSending() {
  return http_failure{http_failure_kind::kReset, false};
}

// A list with upstreams "u0", "u1", ... and entry instances "e0", "e1", ...
inline membership_list MakeMembership(uint64_t version,
                                      int upstreams,
                                      int entries,
                                      int slots = 2) {
  membership_list list;
  list.version = membership_version(version);
  for (int i = 0; i < upstreams; ++i) {
    instance_info info;
    info.id = instance_id("u" + std::to_string(i));
    info.address = "127.0.0.1:1";
    info.failure_domain = failure_domain_id("d");
    info.slots = slots;
    info.connections = 60;
    info.memory_mb = 1000;
    list.instances.push_back(info);
  }
  for (int i = 0; i < entries; ++i) {
    instance_info info;
    info.id = instance_id("e" + std::to_string(i));
    info.address = "127.0.0.1:2";
    info.role = instance_role::kEntry;
    info.failure_domain = failure_domain_id("d");
    list.instances.push_back(info);
  }
  return list;
}

}  // namespace jasminedyke

#endif  // TESTS_FAKES_FAKE_ATTEMPTS_H_
