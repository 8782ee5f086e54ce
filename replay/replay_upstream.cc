#include "replay/replay_upstream.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace jasminedyke {

namespace {

http_reply WithRunTime(int status, duration ran) {
  return {status,
          {{"Content-Length", "0"},
           {"Jasminedyke-Run-Ms", std::to_string(ToMilliseconds(ran))}},
          ""};
}

}  // namespace

replay_upstream::replay_upstream(scheduler& clock, int slots)
    : clock_(clock), origin_(clock.now()), slots_(slots) {}

void replay_upstream::Start(const attempt_request& request,
                            const reply_callback& reply) {
  switch (mode_) {
    case upstream_mode::kOk:
      if (running() >= slots_)
        Refuse(reply, "slots");
      else
        Begin(request, reply);
      return;
    case upstream_mode::kFailAll:
      CountStart();
      reply(WithRunTime(500, std::chrono::milliseconds(1)));
      return;
    case upstream_mode::kDead:
      reply(http_failure{http_failure_kind::kConnect, true});
      return;
    case upstream_mode::kHang:
      CountStart();
      clock_.CallAfter(request.lease, [reply] {
        reply(http_failure{http_failure_kind::kTimeout, false});
      });
      return;
    case upstream_mode::kLeaving:
      Refuse(reply, "leaving");
      return;
  }
}

void replay_upstream::Stop(const std::string& task) {
  if (running_.contains(task))
    End(task, 409, "stopped");
}

void replay_upstream::SetMode(upstream_mode mode) {
  mode_ = mode;
  if (mode != upstream_mode::kDead)
    return;
  for (auto& [task, run] : std::exchange(running_, {})) {
    clock_.Cancel(run.end);
    run.reply(http_failure{http_failure_kind::kReset, false});
  }
}

void replay_upstream::Begin(const attempt_request& request,
                            const reply_callback& reply) {
  CountStart();
  if (++starts_[request.task] == 2)
    ++doubled_;
  double run_ms = std::atof(request.payload.c_str()) * slowness_;
  duration run = FromMilliseconds(run_ms);
  bool lapses = run > request.lease;
  timer_id end = clock_.CallAfter(lapses ? request.lease : run,
                                  [this, task = request.task, lapses] {
                                    End(task, lapses ? 504 : 200, nullptr);
                                  });
  running_[request.task] = {reply, clock_.now(), end};
}

void replay_upstream::End(const std::string& task,
                          int status,
                          const char* reason) {
  auto found = running_.find(task);
  running_task run = std::move(found->second);
  running_.erase(found);
  clock_.Cancel(run.end);
  duration ran = clock_.now() - run.started;
  busy_ += ran;
  http_reply reply = WithRunTime(status, ran);
  if (reason)
    reply.headers.emplace_back("Jasminedyke-Reason", reason);
  run.reply(reply);
}

void replay_upstream::CountStart() {
  start_times_ms_.push_back(ToMilliseconds(clock_.now() - origin_));
}

uint64_t replay_upstream::StartsBetween(double from_ms, double to_ms) const {
  return std::ranges::count_if(start_times_ms_, [&](double at_ms) {
    return at_ms >= from_ms && at_ms < to_ms;
  });
}

void replay_upstream::Refuse(const reply_callback& reply, const char* reason) {
  ++refusals_;
  reply(http_reply{503,
                   {{"Content-Length", "0"},
                    {"Jasminedyke-Run", "not-run"},
                    {"Jasminedyke-Reason", reason}},
                   ""});
}

}  // namespace jasminedyke
