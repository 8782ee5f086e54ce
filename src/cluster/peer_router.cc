#include "cluster/peer_router.h"

#include <variant>

#include "base/overloaded.h"

namespace jasminedyke {

namespace {

peer_message ToPeerMessage(const slot_message& message) {
  return std::visit([](const auto& each) { return peer_message(each); },
                    message);
}

}  // namespace

peer_router::peer_router(scheduler& clock,
                         peer_port& peers,
                         const peer_identity& self,
                         granted_slots& holder_side,
                         slot_home& home_side,
                         home_selector& homes,
                         document_sync& documents,
                         remote_jobs& jobs)
    : clock_(clock),
      peers_(peers),
      self_(self),
      holder_side_(holder_side),
      home_side_(home_side),
      homes_(homes),
      documents_(documents),
      jobs_(jobs) {}

void peer_router::SendSlotMessage(const instance_id& peer,
                                  const slot_message& message) {
  if (peer != self_.instance) {
    peers_.Send(peer, ToPeerMessage(message));
    return;
  }
  // Later, as over a link: neither side expects an answer within its call.
  clock_.CallAfter(duration::zero(), [this, message] {
    TakeSlotMessage(self_.instance, message);
  });
}

void peer_router::OnPeerUp(const peer_identity& peer) {
  documents_.OnPeerUp(peer.instance);
  homes_.OnPeerUp(peer.instance);
  jobs_.OnPeerUp(peer.instance);
}

void peer_router::OnPeerDown(const instance_id& peer) {
  documents_.OnPeerDown(peer);
  homes_.OnPeerDown(peer);
  jobs_.OnPeerDown(peer);
}

void peer_router::OnPeerMessage(const instance_id& peer,
                                const peer_message& message) {
  std::visit(
      overloaded{
          [&](const slot_demand& m) { TakeSlotMessage(peer, m); },
          [&](const slot_grant& m) { TakeSlotMessage(peer, m); },
          [&](const slot_release& m) { TakeSlotMessage(peer, m); },
          [&](const peer_status& m) {
            documents_.OnStatus(peer, m);
            if (m.leaving)
              homes_.OnPeerLeaving(peer);
          },
          [&](const document_request& m) { documents_.OnRequest(peer, m); },
          [&](const peer_document& m) { documents_.OnDocument(m); },
          [&](const remote_job_request& m) { jobs_.OnRequest(peer, m); },
          [&](const remote_job_reply& m) { jobs_.OnReply(peer, m); },
          // Of the runs library, which has its own router.
          [](const auto&) {},
      },
      message);
}

void peer_router::TakeSlotMessage(const instance_id& from,
                                  const slot_message& message) {
  if (const auto* demand = std::get_if<slot_demand>(&message))
    home_side_.OnDemand(from, *demand);
  else if (const auto* release = std::get_if<slot_release>(&message))
    home_side_.OnRelease(from, *release);
  else
    holder_side_.OnPeerMessage(from, message);
}

}  // namespace jasminedyke
