// Peer messages as bytes, by Thrift's compact protocol.

#ifndef SRC_PROTOCOL_FRAME_CODEC_H_
#define SRC_PROTOCOL_FRAME_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "base/base.h"
#include "protocol/peer_message.h"
#include "protocol/wire_names.h"

namespace jasminedyke {

// The release's protocol version. Peers whose version differs by more than
// one are refused.
inline constexpr int kProtocolVersion = 1;

// The handshake's messages.
struct peer_hello {
  int version = kProtocolVersion;
  peer_identity identity;
  std::string nonce;

  bool operator==(const peer_hello&) const = default;
};

struct peer_proof {
  std::string mac;

  bool operator==(const peer_proof&) const = default;
};

using peer_frame = std::variant<peer_hello, peer_proof, peer_message>;

// The bytes of one frame without the length in front.
std::string EncodeFrame(const peer_frame& frame, const wire_names& names);

// A problem if the bytes are no frame of exactly one known message. Throws
// nothing whatever the bytes are.
outcome<peer_frame> DecodeFrame(std::string_view bytes,
                                const wire_names& names);

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_FRAME_CODEC_H_
