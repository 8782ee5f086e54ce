#include "http/accept_pause.h"

#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <utility>

#include <event2/listener.h>

namespace jasminedyke {

namespace {

constexpr duration kPause = std::chrono::milliseconds(100);
constexpr duration kLogEvery = std::chrono::seconds(10);

// A listener passes on what its owner has set, which may be evhttp.
std::unordered_map<evconnlistener*, accept_pause*>& Pauses() {
  static std::unordered_map<evconnlistener*, accept_pause*> pauses;
  return pauses;
}

}  // namespace

accept_pause::accept_pause(scheduler& clock,
                           evconnlistener* listener,
                           std::string what)
    : clock_(clock),
      listener_(listener),
      what_(std::move(what)),
      resume_timer_(clock) {
  Pauses()[listener] = this;
  evconnlistener_set_error_cb(listener, &accept_pause::OnError);
}

accept_pause::~accept_pause() {
  evconnlistener_set_error_cb(listener_, nullptr);
  Pauses().erase(listener_);
}

void accept_pause::OnError(evconnlistener* listener, void*) {
  auto found = Pauses().find(listener);
  if (found != Pauses().end())
    found->second->Pause();
}

void accept_pause::Pause() {
  int error = errno;
  ++failures_;
  time_point now = clock_.now();
  if (logged_ == time_point::min() || now - logged_ >= kLogEvery) {
    logged_ = now;
    LogEvent(log_level::kWarning, "accept_failed",
             {{"listener", what_},
              {"error", std::strerror(error)},
              {"failures", failures_}});
  }
  evconnlistener_disable(listener_);
  resume_timer_.StartAfter(kPause,
                           [this] { evconnlistener_enable(listener_); });
}

}  // namespace jasminedyke
