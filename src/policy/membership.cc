#include "policy/membership.h"

#include <algorithm>

namespace jasminedyke {

namespace {

bool IsLiveUpstream(const instance_info& info) {
  return info.role == instance_role::kUpstream &&
         info.state == instance_state::kLive;
}

}  // namespace

bool membership_view::Update(const membership_list& list) {
  if (list.version <= list_.version)
    return false;
  list_ = list;
  std::ranges::sort(list_.instances, {}, &instance_info::id);
  index_by_id_.clear();
  for (size_t i = 0; i < list_.instances.size(); ++i)
    index_by_id_[list_.instances[i].id] = i;
  return true;
}

const instance_info* membership_view::Find(const instance_id& id) const {
  auto found = index_by_id_.find(id);
  return found == index_by_id_.end() ? nullptr
                                     : &list_.instances[found->second];
}

std::vector<instance_info> membership_view::entries(
    const failure_domain_id& domain) const {
  std::vector<instance_info> found = entries();
  std::erase_if(found, [&](const instance_info& info) {
    return info.failure_domain != domain;
  });
  return found;
}

std::vector<instance_info> membership_view::entries() const {
  std::vector<instance_info> found;
  for (const instance_info& info : list_.instances) {
    if (info.role == instance_role::kEntry)
      found.push_back(info);
  }
  return found;
}

int membership_view::slots(const failure_domain_id& domain) const {
  int total = 0;
  for (const instance_info& info : list_.instances) {
    if (IsLiveUpstream(info) && info.failure_domain == domain)
      total += info.slots;
  }
  return total;
}

int membership_view::slots() const {
  int total = 0;
  for (const instance_info& info : list_.instances) {
    if (IsLiveUpstream(info))
      total += info.slots;
  }
  return total;
}

}  // namespace jasminedyke
