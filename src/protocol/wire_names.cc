#include "protocol/wire_names.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// The largest numbers whose zigzag form fits into two bytes.
constexpr uint64_t kNumbers = 8192;

int32_t FirstNumber(const std::string& name) {
  return static_cast<int32_t>(StableHash(name) % kNumbers);
}

}  // namespace

void wire_names::Load(const std::vector<std::string>& names) {
  wire_by_name_.clear();
  name_by_wire_.clear();
  std::vector<std::string> sorted = names;
  std::ranges::sort(sorted);
  for (const std::string& name : sorted) {
    if (wire_by_name_.contains(name) || wire_by_name_.size() >= kNumbers)
      continue;
    int32_t wire = FirstNumber(name);
    while (name_by_wire_.contains(wire))
      wire = static_cast<int32_t>((wire + 1) % kNumbers);
    wire_by_name_[name] = wire;
    name_by_wire_[wire] = name;
  }
}

int32_t wire_names::ToWire(const std::string& name) const {
  auto found = wire_by_name_.find(name);
  return found == wire_by_name_.end() ? FirstNumber(name) : found->second;
}

std::string wire_names::FromWire(int32_t wire) const {
  auto found = name_by_wire_.find(wire);
  return found == name_by_wire_.end() ? std::string() : found->second;
}

}  // namespace jasminedyke
