#include "http/refused_callers.h"

#include <array>
#include <cerrno>
#include <utility>

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminedyke {

namespace {

// Read in one go.
constexpr size_t kPiece = 16 * 1024;

}  // namespace

void refused_callers::event_deleter::operator()(event* e) const {
  int socket = event_get_fd(e);
  event_free(e);
  close(socket);
}

refused_callers::~refused_callers() = default;

connection_key refused_callers::Take(int socket) {
  auto made = std::make_unique<caller>();
  made->all = this;
  made->readable.reset(event_new(loop_.base(), socket, EV_READ | EV_PERSIST,
                                 &refused_callers::OnReadable, made.get()));
  event_add(made->readable.get(), nullptr);
  connection_key key = made.get();
  callers_[key] = std::move(made);
  return key;
}

bool refused_callers::Close(connection_key caller) {
  return callers_.erase(caller) > 0;
}

void refused_callers::OnReadable(int socket, short, void* self) {
  std::array<char, kPiece> thrown_away;
  ssize_t bytes = recv(socket, thrown_away.data(), kPiece, MSG_DONTWAIT);
  bool goes_on =
      bytes > 0 || (bytes < 0 && (errno == EAGAIN || errno == EINTR));
  if (goes_on)
    return;
  refused_callers* all = static_cast<caller*>(self)->all;
  all->Close(self);
  all->on_gone_(self);
}

}  // namespace jasminedyke
