#include "cluster/peer_addresses.h"

#include <utility>

namespace jasminedyke {

namespace {

// A restart takes seconds, and a partition in which it falls up to some tens.
// One that is gone for good costs a refused or silent connection a second.
constexpr duration kRememberLeft = std::chrono::seconds(30);

}  // namespace

void peer_addresses::SetMembers(
    const std::map<instance_id, entry_member>& members) {
  address_map now_members;
  for (const auto& [id, member] : members)
    now_members.emplace(id, member.peers);
  for (const auto& [id, address] : members_) {
    if (!now_members.contains(id))
      left_[id] = {address, clock_.now()};
  }
  std::erase_if(left_, [&](const auto& entry) {
    return now_members.contains(entry.first);
  });
  members_ = std::move(now_members);
}

bool peer_addresses::ForgetLeft() {
  return std::erase_if(left_, [&](const auto& entry) {
           return clock_.now() - entry.second.at >= kRememberLeft;
         }) > 0;
}

peer_addresses::address_map peer_addresses::Wanted() const {
  address_map wanted = members_;
  for (const auto& [id, peer] : left_)
    wanted.emplace(id, peer.address);
  return wanted;
}

}  // namespace jasminedyke
