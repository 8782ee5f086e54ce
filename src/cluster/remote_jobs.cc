#include "cluster/remote_jobs.h"

#include <utility>
#include <vector>

namespace jasminedyke {

namespace {

constexpr duration kLinkTimeout = std::chrono::seconds(2);

}  // namespace

remote_jobs::remote_jobs(scheduler& clock,
                         const instance_id& self,
                         peer_port& peers,
                         const membership_view& membership,
                         local_handler handler)
    : clock_(clock),
      self_(self),
      peers_(peers),
      membership_(membership),
      local_handler_(std::move(handler)) {}

void remote_jobs::Forward(const forwarded_job& request, callback done) {
  uint64_t number = ++last_number_;
  pending_request& pending = pending_[number];
  pending.request = request;
  pending.done = std::move(done);
  const instance_id& owner = request.job.owner;
  // Only jobs of an earlier incarnation of this instance are forwarded.
  if (owner == self_) {
    FinishLater(number, forward_error::kOwnerGone);
    return;
  }
  if (auto peer = peers_.Identity(owner)) {
    Send(number, *peer);
    return;
  }
  const instance_info* info = membership_.Find(owner);
  bool is_entry = info && info->role == instance_role::kEntry;
  if (!is_entry) {
    // Without a membership list it is unknown which instances are alive.
    FinishLater(number, membership_.known() ? forward_error::kOwnerGone
                                            : forward_error::kOwnerUnreachable);
    return;
  }
  pending.timer = std::make_unique<scoped_timer>(clock_);
  pending.timer->StartAfter(kLinkTimeout, [this, number] {
    Finish(number, forward_error::kOwnerUnreachable);
  });
  if (auto address = socket_address::Parse(info->address))
    peers_.Open(owner, *address);
}

void remote_jobs::OnPeerUp(const instance_id& peer) {
  auto identity = peers_.Identity(peer);
  std::vector<uint64_t> waiting;
  for (const auto& [number, pending] : pending_) {
    if (!pending.sent && pending.request.job.owner == peer)
      waiting.push_back(number);
  }
  for (uint64_t number : waiting) {
    if (identity)
      Send(number, *identity);
  }
}

void remote_jobs::OnPeerDown(const instance_id& peer) {
  std::vector<uint64_t> broken;
  for (const auto& [number, pending] : pending_) {
    if (pending.sent && pending.request.job.owner == peer)
      broken.push_back(number);
  }
  for (uint64_t number : broken)
    Finish(number, forward_error::kOwnerUnreachable);
}

void remote_jobs::OnRequest(const instance_id& peer,
                            const remote_job_request& request) {
  auto answer = [this, requester = peers_.Identity(peer),
                 number = request.number](const http_reply& reply) {
    // Another process of the instance has requests of its own with the same
    // numbers.
    if (requester && peers_.Identity(requester->instance) == requester)
      peers_.Send(
          requester->instance,
          remote_job_reply{number, reply.status, reply.headers, reply.body});
  };
  auto job = job_id::Parse(request.job);
  bool known_operation =
      request.operation >= 0 &&
      request.operation <= static_cast<int>(job_operation::kCancel);
  if (!job || !known_operation) {
    error_reply error;
    error.reason = "malformed";
    answer(MakeErrorReply(error));
    return;
  }
  local_handler_({static_cast<job_operation>(request.operation), *job,
                  request.team, request.body},
                 answer);
}

void remote_jobs::OnReply(const instance_id& peer,
                          const remote_job_reply& reply) {
  auto found = pending_.find(reply.number);
  // Only the owner that the request was sent to may reply to it.
  if (found == pending_.end() || found->second.request.job.owner != peer)
    return;
  Finish(reply.number, http_reply{reply.status, reply.headers, reply.body});
}

void remote_jobs::Send(uint64_t number, const peer_identity& peer) {
  pending_request& pending = pending_.at(number);
  const forwarded_job& request = pending.request;
  if (peer.incarnation != request.job.incarnation) {
    FinishLater(number, forward_error::kOwnerGone);
    return;
  }
  pending.sent = true;
  pending.timer.reset();
  remote_job_request message{number, static_cast<int>(request.operation),
                             request.job.ToString(), request.team,
                             request.body};
  if (!peers_.Send(peer.instance, message))
    FinishLater(number, forward_error::kOwnerUnreachable);
}

void remote_jobs::FinishLater(uint64_t number, forward_error error) {
  clock_.CallAfter(duration::zero(),
                   [this, number, error] { Finish(number, error); });
}

void remote_jobs::Finish(uint64_t number,
                         const outcome<http_reply, forward_error>& reply) {
  auto found = pending_.find(number);
  if (found == pending_.end())
    return;
  callback done = std::move(found->second.done);
  pending_.erase(found);
  done(reply);
}

}  // namespace jasminedyke
