// One authenticated connection between two entry instances.

#ifndef SRC_PROTOCOL_PEER_LINK_H_
#define SRC_PROTOCOL_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "protocol/frame_codec.h"
#include "protocol/peer_message.h"
#include "protocol/wire_names.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace jasminedyke {

enum class link_end {
  kClosed,        // by the other side or the network
  kTimeout,       // no handshake in time, or silence
  kVersion,       // the peer's release is too far from ours
  kUnauthorized,  // the peer has not the shared key
  kMalformed,     // bytes that are no frame
  kOverflow,      // the peer does not read what is sent to it
  kTooLarge,      // a frame beyond the bound
  kMemory,        // the links together hold too much, this one the most
  kRefused,       // nobody listens at the peer's address
};

const char* ToString(link_end end);

struct peer_traffic {
  // All that keeps the system going: slots, heartbeats, documents.
  uint64_t control_bytes_in = 0;
  uint64_t control_bytes_out = 0;
  // Callers' requests and replies that pass through.
  uint64_t forwarded_bytes_in = 0;
  uint64_t forwarded_bytes_out = 0;
  uint64_t messages_in = 0;
  uint64_t messages_out = 0;
  traffic_meter by_kind;
};

// What frames may take of a process's memory.
struct link_limits {
  // One that is longer is no frame.
  size_t max_frame = 40 * 1024 * 1024;
  // Of all links together: parts of frames that arrive, and what waits to be
  // sent. 0: no bound.
  size_t max_held = 0;
};

// Both sides send a hello with a fresh nonce and then prove that they know the
// shared key, by a MAC over both nonces and their own name. A replayed or
// mirrored proof fails, as our nonce and the name are in it. The frames that
// follow are not authenticated one by one: the network between instances is
// trusted to deliver a TCP connection's bytes unchanged.
class peer_link {
 public:
  // Told of the link's life. The link may be destroyed only after the call
  // has returned.
  class owner {
   public:
    virtual ~owner() = default;
    virtual void OnEstablished(peer_link& link) = 0;
    virtual void OnMessage(peer_link& link, const peer_message& message) = 0;
    // Once; nothing comes after it.
    virtual void OnEnded(peer_link& link, link_end end) = 0;
    // Bytes came to what the link holds, or left; often.
    virtual void OnHeld(size_t added, size_t gone) = 0;
  };

  struct settings {
    peer_identity self;
    std::string key;
    // A link that brings nothing for so long has ended. Several heartbeats.
    duration silence = std::chrono::seconds(4);
    link_limits limits = link_limits();
  };

  // Takes over `connection`, which is connected or connecting; `outgoing` if
  // this side opened it.
  peer_link(event_loop& loop,
            const settings& own,
            const wire_names& names,
            bufferevent* connection,
            bool outgoing,
            owner& told,
            peer_traffic& traffic);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  // From the owner's own turn, not amid a call of the link.
  void End(link_end end);
  // Its owner is told no more of what it holds; all of that counts as gone.
  void Forget();

  // Only when established.
  void Send(const peer_message& message);

  bool established() const { return established_; }
  bool outgoing() const { return outgoing_; }
  // Known once established.
  const peer_identity& peer() const { return peer_; }
  time_point last_use() const { return last_use_; }
  // Bytes that arrived or wait to be sent.
  size_t held() const;

 private:
  struct bufferevent_deleter {
    void operator()(bufferevent* connection) const;
  };

  static void OnBufferChanged(evbuffer* buffer,
                              const evbuffer_cb_info* info,
                              void* self);
  void OnReadable();
  void OnEvent(short what);
  bool TakeFrame(std::string* bytes);
  void OnFrame(const std::string& bytes);
  void OnHello(const peer_hello& hello);
  void OnProof(const peer_proof& proof);
  std::string ProofOf(const peer_identity& sender,
                      const std::string& receiver_nonce,
                      const std::string& sender_nonce) const;
  size_t SendFrame(const peer_frame& frame);

  event_loop& loop_;
  const settings& own_;
  const wire_names& names_;
  owner& owner_;
  peer_traffic& traffic_;
  std::unique_ptr<bufferevent, bufferevent_deleter> connection_;
  bool outgoing_;
  std::string nonce_;
  std::optional<peer_hello> peer_hello_;
  peer_identity peer_;
  bool established_ = false;
  bool ended_ = false;
  bool forgotten_ = false;
  time_point last_use_;
  // Ends a link whose handshake or output does not get on.
  scoped_timer end_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_PEER_LINK_H_
