#include "runs/start_delegation.h"

#include <utility>

namespace jasminedyke {

namespace {

// Exceeds the 300 ms that the owner waits for the upstream, and covers an owner
// that is frozen and returns no result at all. The home asks the upstream about
// an unanswered start request long before this time.
constexpr duration kResultTimeout = std::chrono::milliseconds(400);

}  // namespace

start_delegator::start_delegator(scheduler& clock,
                                 upstream_port& direct,
                                 address_lookup address,
                                 send_start send)
    : clock_(clock),
      direct_(direct),
      address_(std::move(address)),
      send_(std::move(send)),
      last_number_(
          static_cast<uint64_t>(clock.now().time_since_epoch().count())) {}

void start_delegator::Start(const upstream_id& upstream,
                            const run_order& order,
                            start_callback done) {
  if (!order.delegate) {
    direct_.Start(upstream, order, std::move(done));
    return;
  }
  uint64_t number = ++last_number_;
  pending_start& pending = pending_[number];
  pending.owner = order.delegate->owner;
  pending.upstream = upstream;
  pending.done = std::move(done);
  pending.timer = std::make_unique<scoped_timer>(clock_);
  pending.timer->StartAfter(kResultTimeout, [this, number] {
    Finish(number, {start_result::kUnknown, std::nullopt});
  });
  delegated_start delegated{number, order.delegate->submission, upstream,
                            order};
  delegated.order.address = address_(upstream);
  delegated.order.delegate.reset();
  if (send_(pending.owner, delegated))
    return;
  pending.timer->StartAfter(duration::zero(), [this, number] {
    Finish(number, {start_result::kOwnerGone, std::nullopt});
  });
}

void start_delegator::Stop(const upstream_id& upstream,
                           const stop_order& order,
                           stop_callback done) {
  direct_.Stop(upstream, order, std::move(done));
}

void start_delegator::Hold(const upstream_id& upstream,
                           const hold_order& order,
                           hold_callback done) {
  direct_.Hold(upstream, order, std::move(done));
}

void start_delegator::Drop(const upstream_id& upstream) {
  std::erase_if(pending_, [&](const auto& entry) {
    return entry.second.upstream == upstream;
  });
  direct_.Drop(upstream);
}

void start_delegator::OnResult(const instance_id& from,
                               const delegated_start_result& result) {
  auto found = pending_.find(result.number);
  if (found != pending_.end() && found->second.owner == from)
    Finish(result.number, result.reply);
}

void start_delegator::OnPeerDown(const instance_id& peer) {
  std::vector<uint64_t> lost;
  for (const auto& [number, pending] : pending_) {
    if (pending.owner == peer)
      lost.push_back(number);
  }
  for (uint64_t number : lost)
    Finish(number, {start_result::kUnknown, std::nullopt});
}

void start_delegator::Finish(uint64_t number, const start_reply& reply) {
  auto found = pending_.find(number);
  if (found == pending_.end())
    return;
  start_callback done = std::move(found->second.done);
  // Kept alive until this function returns, because the timer may be its
  // caller.
  std::unique_ptr<scoped_timer> timer = std::move(found->second.timer);
  pending_.erase(found);
  done(reply);
}

delegated_starter::delegated_starter(upstream_port& upstreams,
                                     spec_lookup spec,
                                     send_result send)
    : upstreams_(upstreams), spec_(std::move(spec)), send_(std::move(send)) {}

// The task isn't started if the caller has left the job meanwhile; the home
// receives the job's cancellation on the same link.
void delegated_starter::OnStart(const instance_id& home,
                                const delegated_start& delegated) {
  const std::string* spec =
      spec_(delegated.order.task.job, delegated.submission);
  if (!spec) {
    send_(home, {delegated.number, {start_result::kOwnerGone, std::nullopt}});
    return;
  }
  run_order order = delegated.order;
  order.spec = *spec;
  upstreams_.Start(
      delegated.upstream, order,
      [this, home, number = delegated.number](const start_reply& reply) {
        send_(home, {number, reply});
      });
}

}  // namespace jasminedyke
