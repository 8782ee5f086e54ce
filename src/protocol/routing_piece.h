// Changes of the configuration as they travel between instances.

#ifndef SRC_PROTOCOL_ROUTING_PIECE_H_
#define SRC_PROTOCOL_ROUTING_PIECE_H_

#include <cstdint>
#include <vector>

#include "policy/policy.h"

namespace jasminedyke {

// One of the messages that make up an update. Each has its versions, services
// and limits, and some of its routes.
struct routing_piece {
  routing_update update;
  uint32_t number = 0;
  bool last = true;
  // There is none: the sender serves as many others as it can.
  bool busy = false;

  bool operator==(const routing_piece&) const = default;
};

// At least one, small enough for others' messages to wait behind each.
std::vector<routing_piece> SplitIntoPieces(const routing_update& update);

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_ROUTING_PIECE_H_
