#include "policy/route_table.h"

namespace jasminedyke {

bool route_table::Update(const routing_config& config) {
  if (config.version <= config_.version)
    return false;
  config_ = config;
  index_.clear();
  for (size_t i = 0; i < config_.routes.size(); ++i) {
    const route& each = config_.routes[i];
    index_[each.host][each.path_prefix] = i;
  }
  return true;
}

const route* route_table::Find(const std::string& host,
                               const std::string& path) const {
  auto found = index_.find(host);
  if (found == index_.end())
    return nullptr;
  const auto& by_prefix = found->second;
  // Cutting the path at one slash after the other, from its end, looks up a
  // few prefixes however many routes the host has.
  size_t end = path.size();
  while (true) {
    auto entry = by_prefix.find(path.substr(0, end));
    if (entry != by_prefix.end())
      return &config_.routes[entry->second];
    size_t slash = end < 2 ? std::string::npos : path.rfind('/', end - 2);
    if (slash == std::string::npos)
      return nullptr;
    end = slash + 1;
  }
}

}  // namespace jasminedyke
