#include "cluster/peer_choice.h"

#include <set>
#include <string>
#include <vector>

namespace jasminedyke {

namespace {

std::vector<instance_id> Ids(const std::vector<instance_info>& infos) {
  std::vector<instance_id> ids;
  ids.reserve(infos.size());
  for (const instance_info& info : infos)
    ids.push_back(info.id);
  return ids;
}

// The end, within `domain`, of the link with this number to `other`.
instance_id LinkEnd(const membership_view& view,
                    const failure_domain_id& domain,
                    const failure_domain_id& other,
                    int number) {
  std::string subject =
      domain.str() + ">" + other.str() + "#" + std::to_string(number);
  return ChooseHome(subject, Ids(view.entries(domain)));
}

std::set<failure_domain_id> OtherDomains(const membership_view& view,
                                         const failure_domain_id& own) {
  std::set<failure_domain_id> domains;
  for (const instance_info& info : view.entries())
    domains.insert(info.failure_domain);
  domains.erase(own);
  return domains;
}

}  // namespace

std::map<instance_id, socket_address> ChoosePeers(const membership_view& view,
                                                  const peer_identity& self) {
  std::set<instance_id> chosen;
  for (const instance_info& info : view.entries(self.failure_domain))
    chosen.insert(info.id);
  for (const failure_domain_id& other :
       OtherDomains(view, self.failure_domain)) {
    for (int number = 0; number < kLinksBetweenDomains; ++number) {
      if (LinkEnd(view, self.failure_domain, other, number) == self.instance)
        chosen.insert(LinkEnd(view, other, self.failure_domain, number));
    }
  }
  std::map<instance_id, socket_address> peers;
  for (const instance_id& id : chosen) {
    auto address = socket_address::Parse(view.Find(id)->address);
    if (address && id != self.instance)
      peers[id] = *address;
  }
  return peers;
}

}  // namespace jasminedyke
