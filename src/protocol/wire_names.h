// Short names of upstreams and teams on the wire.

#ifndef SRC_PROTOCOL_WIRE_NAMES_H_
#define SRC_PROTOCOL_WIRE_NAMES_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// Maps names to 32-bit hashes and those that are known back to names. A name
// that is unknown here, because our list is older than the peer's, comes out
// empty; whoever gets an empty name drops that entry.
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
