// Public header of the protocol library: the inner protocol between entry
// instances.

#ifndef SRC_PROTOCOL_PROTOCOL_H_
#define SRC_PROTOCOL_PROTOCOL_H_

#include "protocol/frame_codec.h"
#include "protocol/peer_link.h"
#include "protocol/peer_mesh.h"
#include "protocol/peer_message.h"
#include "protocol/peer_port.h"
#include "protocol/routing_piece.h"
#include "protocol/wire_names.h"

#endif  // SRC_PROTOCOL_PROTOCOL_H_
