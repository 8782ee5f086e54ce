#include "protocol/peer_link.h"

#include <cerrno>
#include <cstdlib>
#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminedyke {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kNonceBytes = 16;
// What a stranger may make us buffer.
constexpr size_t kMaxHandshakeFrame = 1024;
constexpr size_t kMaxUnsent = 64 * 1024 * 1024;
constexpr duration kHandshakeTime = std::chrono::seconds(2);

bool IsForwarded(const peer_message& message) {
  return std::holds_alternative<remote_job_request>(message) ||
         std::holds_alternative<remote_job_reply>(message);
}

}  // namespace

const char* ToString(link_end end) {
  switch (end) {
    case link_end::kClosed:
      return "closed";
    case link_end::kTimeout:
      return "timeout";
    case link_end::kVersion:
      return "version";
    case link_end::kUnauthorized:
      return "unauthorized";
    case link_end::kMalformed:
      return "malformed";
    case link_end::kOverflow:
      return "overflow";
    case link_end::kTooLarge:
      return "too_large";
    case link_end::kMemory:
      return "memory";
    case link_end::kRefused:
      return "refused";
  }
  return "closed";
}

void peer_link::bufferevent_deleter::operator()(bufferevent* connection) const {
  bufferevent_free(connection);
}

peer_link::peer_link(event_loop& loop,
                     const settings& own,
                     const wire_names& names,
                     bufferevent* connection,
                     bool outgoing,
                     owner& told,
                     peer_traffic& traffic)
    : loop_(loop),
      own_(own),
      names_(names),
      owner_(told),
      traffic_(traffic),
      connection_(connection),
      outgoing_(outgoing),
      nonce_(FromHex(RandomHex(kNonceBytes))),
      last_use_(loop.now()),
      end_timer_(loop) {
  for (evbuffer* buffer :
       {bufferevent_get_input(connection), bufferevent_get_output(connection)})
    evbuffer_add_cb(buffer, &peer_link::OnBufferChanged, this);
  bufferevent_setcb(
      connection,
      [](bufferevent*, void* self) {
        static_cast<peer_link*>(self)->OnReadable();
      },
      nullptr,
      [](bufferevent*, short what, void* self) {
        static_cast<peer_link*>(self)->OnEvent(what);
      },
      this);
  timeval silence;
  silence.tv_sec = own.silence.count() / 1000000;
  silence.tv_usec = own.silence.count() % 1000000;
  bufferevent_set_timeouts(connection, &silence, nullptr);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
  end_timer_.StartAfter(kHandshakeTime, [this] { End(link_end::kTimeout); });
  SendFrame(peer_hello{kProtocolVersion, own_.self, nonce_});
}

peer_link::~peer_link() {
  Forget();
}

size_t peer_link::held() const {
  bufferevent* bev = connection_.get();
  return evbuffer_get_length(bufferevent_get_input(bev)) +
         evbuffer_get_length(bufferevent_get_output(bev));
}

void peer_link::OnBufferChanged(evbuffer*,
                                const evbuffer_cb_info* info,
                                void* self) {
  static_cast<peer_link*>(self)->owner_.OnHeld(info->n_added, info->n_deleted);
}

void peer_link::Forget() {
  if (forgotten_)
    return;
  forgotten_ = true;
  bufferevent* bev = connection_.get();
  for (evbuffer* buffer :
       {bufferevent_get_input(bev), bufferevent_get_output(bev)})
    evbuffer_remove_cb(buffer, &peer_link::OnBufferChanged, this);
  owner_.OnHeld(0, held());
}

void peer_link::Send(const peer_message& message) {
  if (ended_)
    return;
  size_t bytes = SendFrame(message);
  ++traffic_.messages_out;
  traffic_.by_kind.Note({"peer", KindOf(message), traffic_way::kOut}, bytes);
  bool forwarded = IsForwarded(message);
  (forwarded ? traffic_.forwarded_bytes_out : traffic_.control_bytes_out) +=
      bytes;
  if (forwarded)
    last_use_ = loop_.now();
  evbuffer* unsent = bufferevent_get_output(connection_.get());
  // Later, not now: the caller may still use the link in this call.
  if (evbuffer_get_length(unsent) > kMaxUnsent)
    end_timer_.StartAfter(duration::zero(),
                          [this] { End(link_end::kOverflow); });
}

void peer_link::OnReadable() {
  std::string bytes;
  while (!ended_ && TakeFrame(&bytes))
    OnFrame(bytes);
}

void peer_link::OnEvent(short what) {
  if (what & BEV_EVENT_CONNECTED) {
    int on = 1;
    setsockopt(bufferevent_getfd(connection_.get()), IPPROTO_TCP, TCP_NODELAY,
               &on, sizeof(on));
    return;
  }
  if (what & BEV_EVENT_TIMEOUT) {
    End(link_end::kTimeout);
    return;
  }
  bool refused = (what & BEV_EVENT_ERROR) && outgoing_ && !peer_hello_ &&
                 evutil_socket_geterror(bufferevent_getfd(connection_.get())) ==
                     ECONNREFUSED;
  End(refused ? link_end::kRefused : link_end::kClosed);
}

bool peer_link::TakeFrame(std::string* bytes) {
  evbuffer* input = bufferevent_get_input(connection_.get());
  uint32_t length = 0;
  if (evbuffer_get_length(input) < kLengthBytes)
    return false;
  evbuffer_copyout(input, &length, kLengthBytes);
  length = ntohl(length);
  if (length > (established_ ? own_.limits.max_frame : kMaxHandshakeFrame)) {
    End(established_ ? link_end::kTooLarge : link_end::kMalformed);
    return false;
  }
  if (evbuffer_get_length(input) < kLengthBytes + length)
    return false;
  evbuffer_drain(input, kLengthBytes);
  bytes->resize(length);
  evbuffer_remove(input, bytes->data(), length);
  return true;
}

void peer_link::OnFrame(const std::string& bytes) {
  auto frame = DecodeFrame(bytes, names_);
  if (!frame.ok()) {
    End(link_end::kMalformed);
    return;
  }
  if (const auto* hello = std::get_if<peer_hello>(&frame.value())) {
    OnHello(*hello);
    return;
  }
  if (const auto* proof = std::get_if<peer_proof>(&frame.value())) {
    OnProof(*proof);
    return;
  }
  if (!established_) {
    End(link_end::kUnauthorized);
    return;
  }
  const auto& message = std::get<peer_message>(frame.value());
  ++traffic_.messages_in;
  traffic_.by_kind.Note({"peer", KindOf(message), traffic_way::kIn},
                        bytes.size() + kLengthBytes);
  bool forwarded = IsForwarded(message);
  (forwarded ? traffic_.forwarded_bytes_in : traffic_.control_bytes_in) +=
      bytes.size() + kLengthBytes;
  if (forwarded)
    last_use_ = loop_.now();
  owner_.OnMessage(*this, message);
}

void peer_link::OnHello(const peer_hello& hello) {
  if (peer_hello_) {
    End(link_end::kMalformed);
    return;
  }
  if (std::abs(hello.version - kProtocolVersion) > 1) {
    End(link_end::kVersion);
    return;
  }
  if (hello.identity.instance.empty() || hello.nonce.size() != kNonceBytes ||
      hello.identity.instance == own_.self.instance) {
    End(link_end::kMalformed);
    return;
  }
  peer_hello_ = hello;
  SendFrame(peer_proof{ProofOf(own_.self, hello.nonce, nonce_)});
}

void peer_link::OnProof(const peer_proof& proof) {
  if (!peer_hello_ || established_) {
    End(link_end::kMalformed);
    return;
  }
  std::string expected =
      ProofOf(peer_hello_->identity, nonce_, peer_hello_->nonce);
  if (!EqualInConstantTime(proof.mac, expected)) {
    End(link_end::kUnauthorized);
    return;
  }
  peer_ = peer_hello_->identity;
  established_ = true;
  end_timer_.Stop();
  owner_.OnEstablished(*this);
}

// Each part has its length in front, so that no two sets of parts look alike.
std::string peer_link::ProofOf(const peer_identity& sender,
                               const std::string& receiver_nonce,
                               const std::string& sender_nonce) const {
  std::string text;
  for (const std::string& part :
       {sender.instance.str(), sender.incarnation.str(),
        sender.failure_domain.str(), receiver_nonce, sender_nonce}) {
    text += std::to_string(part.size()) + ":" + part;
  }
  return HmacSha256(own_.key, text);
}

size_t peer_link::SendFrame(const peer_frame& frame) {
  std::string bytes = EncodeFrame(frame, names_);
  uint32_t length = htonl(static_cast<uint32_t>(bytes.size()));
  evbuffer* output = bufferevent_get_output(connection_.get());
  evbuffer_add(output, &length, kLengthBytes);
  evbuffer_add(output, bytes.data(), bytes.size());
  return bytes.size() + kLengthBytes;
}

void peer_link::End(link_end end) {
  if (ended_)
    return;
  ended_ = true;
  established_ = false;
  end_timer_.Stop();
  bufferevent_disable(connection_.get(), EV_READ | EV_WRITE);
  Forget();
  owner_.OnEnded(*this, end);
}

}  // namespace jasminedyke
