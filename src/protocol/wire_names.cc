#include "protocol/wire_names.h"

namespace jasminedyke {

namespace {

int32_t HashName(const std::string& name) {
  return static_cast<int32_t>(static_cast<uint32_t>(StableHash(name)));
}

}  // namespace

void wire_names::Load(const std::vector<std::string>& names) {
  wire_by_name_.clear();
  name_by_wire_.clear();
  for (const std::string& name : names) {
    int32_t wire = HashName(name);
    wire_by_name_[name] = wire;
    name_by_wire_[wire] = name;
  }
}

int32_t wire_names::ToWire(const std::string& name) const {
  auto found = wire_by_name_.find(name);
  return found == wire_by_name_.end() ? HashName(name) : found->second;
}

std::string wire_names::FromWire(int32_t wire) const {
  auto found = name_by_wire_.find(wire);
  return found == name_by_wire_.end() ? std::string() : found->second;
}

}  // namespace jasminedyke
