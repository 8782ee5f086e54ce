// Short names of upstreams and teams on the wire.

#ifndef SRC_PROTOCOL_WIRE_NAMES_H_
#define SRC_PROTOCOL_WIRE_NAMES_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// Maps names to numbers that take two bytes in compact protocol, and back. A
// number is the name's hash, or the next free one where two names clash; so
// instances with the same names have the same numbers. While lists differ, a
// number may be unknown here and come out empty: whoever gets an empty name
// drops that entry. Or, rarely, it may mean another name: that costs a refused
// start or an unused slot, as every wrong view of slots does.
class wire_names {
 public:
  void Load(const std::vector<std::string>& names);

  int32_t ToWire(const std::string& name) const;
  std::string FromWire(int32_t wire) const;

 private:
  std::unordered_map<std::string, int32_t> wire_by_name_;
  std::unordered_map<int32_t, std::string> name_by_wire_;
};

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_WIRE_NAMES_H_
