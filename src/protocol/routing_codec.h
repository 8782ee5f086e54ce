// Changes of the configuration, to and from their wire form.

#ifndef SRC_PROTOCOL_ROUTING_CODEC_H_
#define SRC_PROTOCOL_ROUTING_CODEC_H_

#include "protocol/routing_piece.h"

namespace jasminedyke::wire {
class routing_piece;
}  // namespace jasminedyke::wire

namespace jasminedyke {

wire::routing_piece ToWire(const routing_piece& piece);
routing_piece FromWire(const wire::routing_piece& wire);

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_ROUTING_CODEC_H_
