#include "policy/route_table.h"

#include <utility>

namespace jasminedyke {

namespace {

// Limit on the removed routes that are kept to update peers at older versions.
constexpr size_t kMaxRemovedRoutes = 10'000;

// Appends `field` with its length in front, so that different lists of fields
// never give the same text.
void AppendField(std::string* text, const std::string& field) {
  *text += std::to_string(field.size());
  *text += ':';
  *text += field;
}

uint64_t HashOf(const route& each) {
  std::string text;
  for (const std::string& field :
       {each.name, each.host, each.path_prefix, each.service})
    AppendField(&text, field);
  AppendField(&text, std::to_string(each.timeout.count()));
  AppendField(&text, std::to_string(each.target_latency.count()));
  AppendField(&text, std::to_string(each.stretch));
  AppendField(&text, std::to_string(each.max_attempts));
  AppendField(&text, std::to_string(each.priority));
  return StableHash(text);
}

uint64_t HashOfGlobals(const routing_config& config) {
  std::string text;
  for (const auto& [name, service] : config.services) {
    AppendField(&text, name);
    AppendField(&text, service.health_path);
    AppendField(&text, std::to_string(service.guarded));
    AppendField(&text, std::to_string(service.max_connections));
  }
  AppendField(&text, std::to_string(config.max_header_bytes));
  AppendField(&text, std::to_string(config.max_body_bytes));
  return StableHash(text);
}

route_key KeyOf(const route& each) {
  return {each.host, each.path_prefix};
}

}  // namespace

bool route_table::Update(const routing_config& config) {
  if (config.version <= version_)
    return false;
  bool is_first = !known();
  std::map<route_key, const route*> new_routes;
  for (const route& each : config.routes)
    new_routes[KeyOf(each)] = &each;
  std::vector<route_key> removed_keys;
  for (const auto& [host, by_prefix] : routes_) {
    for (const auto& [prefix, known] : by_prefix) {
      route_key key{host, prefix};
      if (!new_routes.contains(key))
        removed_keys.push_back(std::move(key));
    }
  }
  for (const route_key& key : removed_keys)
    Remove(key, config.version);
  for (const auto& [key, each] : new_routes)
    Put(*each, config.version);
  SetGlobals(config);
  version_ = config.version;
  if (is_first || removed_.size() > kMaxRemovedRoutes)
    ForgetRemoved();
  return true;
}

update_outcome route_table::Apply(const routing_update& update) {
  if (update.to.version <= version_)
    return update_outcome::kNotNewer;
  bool is_full_copy = update.base.value() == 0;
  if (is_full_copy) {
    Update(update.to);
    return update_outcome::kApplied;
  }
  if (DigestAfter(update) != update.digest)
    return update_outcome::kMismatch;
  for (const route_key& key : update.removed)
    Remove(key, update.to.version);
  for (const route& each : update.to.routes)
    Put(each, update.to.version);
  SetGlobals(update.to);
  version_ = update.to.version;
  if (removed_.size() > kMaxRemovedRoutes)
    ForgetRemoved();
  return update_outcome::kApplied;
}

uint64_t route_table::DigestAfter(const routing_update& update) const {
  uint64_t digest =
      digest_ - HashOfGlobals(globals_) + HashOfGlobals(update.to);
  for (const route_key& key : update.removed) {
    const entry* old = FindEntry(key);
    digest -= old ? old->hash : 0;
  }
  for (const route& each : update.to.routes) {
    const entry* old = FindEntry(KeyOf(each));
    digest -= old ? old->hash : 0;
    digest += HashOf(each);
  }
  return digest;
}

routing_update route_table::ChangesSince(config_version base) const {
  routing_update update;
  bool is_full_copy = base.value() == 0 || base < removals_known_since_;
  if (!is_full_copy)
    update.base = base;
  update.to = globals_;
  update.to.version = version_;
  update.digest = digest_;
  for (const auto& [host, by_prefix] : routes_) {
    for (const auto& [prefix, known] : by_prefix) {
      if (is_full_copy || known.changed > base)
        update.to.routes.push_back(known.definition);
    }
  }
  if (is_full_copy)
    return update;
  for (const auto& [key, version] : removed_) {
    if (version > base)
      update.removed.push_back(key);
  }
  return update;
}

const route_table::entry* route_table::FindEntry(const route_key& key) const {
  auto by_prefix = routes_.find(key.host);
  if (by_prefix == routes_.end())
    return nullptr;
  auto found = by_prefix->second.find(key.path_prefix);
  return found == by_prefix->second.end() ? nullptr : &found->second;
}

void route_table::Put(const route& each, config_version version) {
  auto [found, is_new] = routes_[each.host].try_emplace(each.path_prefix);
  entry& known = found->second;
  if (!is_new && known.definition == each)
    return;
  digest_ -= known.hash;
  known = {each, HashOf(each), version};
  digest_ += known.hash;
  size_ += is_new;
  removed_.erase(KeyOf(each));
}

void route_table::Remove(const route_key& key, config_version version) {
  const entry* known = FindEntry(key);
  removed_[key] = version;
  if (!known)
    return;
  digest_ -= known->hash;
  --size_;
  auto by_prefix = routes_.find(key.host);
  by_prefix->second.erase(key.path_prefix);
  if (by_prefix->second.empty())
    routes_.erase(by_prefix);
}

void route_table::SetGlobals(const routing_config& config) {
  if (known())
    digest_ -= HashOfGlobals(globals_);
  globals_.services = config.services;
  globals_.max_header_bytes = config.max_header_bytes;
  globals_.max_body_bytes = config.max_body_bytes;
  digest_ += HashOfGlobals(globals_);
}

// From now on peers at earlier versions get a full copy.
void route_table::ForgetRemoved() {
  removed_.clear();
  removals_known_since_ = version_;
}

const route* route_table::Find(const std::string& host,
                               const std::string& path) const {
  auto found = routes_.find(host);
  if (found == routes_.end())
    return nullptr;
  const auto& by_prefix = found->second;
  // Looks up the path and then each shorter prefix that ends with a slash, so
  // the cost depends on the depth of the path and not on the number of routes.
  size_t end = path.size();
  while (true) {
    auto entry = by_prefix.find(path.substr(0, end));
    if (entry != by_prefix.end())
      return &entry->second.definition;
    size_t slash = end < 2 ? std::string::npos : path.rfind('/', end - 2);
    if (slash == std::string::npos)
      return nullptr;
    end = slash + 1;
  }
}

}  // namespace jasminedyke
