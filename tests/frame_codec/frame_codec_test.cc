// Frames between peers as bytes.

#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <peer_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "protocol/protocol.h"

namespace jasminedyke {
namespace {

wire_names Names() {
  wire_names names;
  names.Load({"u0", "u1", "lahore"});
  return names;
}

TEST_CASE("frame_codec: every message survives the way") {
  slot_demand demand;
  demand.sequence = 1'234'567;
  demand.last_grant_sequence = 9;
  demand.waiting = {{team_id("lahore"), -1.5, 20, 64}};
  demand.running = {{team_id("lahore"), 3}};
  demand.full_report = true;
  demand.held = {{upstream_id("u0"), 2}};
  demand.quarantined = {upstream_id("u1")};
  slot_grant grant{
      7, 55, {{upstream_id("u1"), team_id("lahore"), true}}, domain_work{8, 9}};
  slot_release release{{{upstream_id("u0"), slot_result::kBroken, 1.5}}};
  const std::vector<peer_message> messages = {
      grant,
      release,
      peer_status{config_version(3),
                  membership_version(4),
                  true,
                  {{instance_id("e1"), config_version(2)}},
                  {{failure_domain_id("x"), 5}},
                  store_reading::kFollowing,
                  group_knowledge::kSome,
                  time_point(std::chrono::milliseconds(7))},
      document_request{document_kind::kMembership},
      document_request{document_kind::kConfiguration, config_version(9), 2},
      routing_piece{
          {config_version(3),
           {config_version(4),
            {{"r", "h.example", "/a/", "parts", std::chrono::milliseconds(1500),
              std::chrono::milliseconds(60), 1.6, 4, 2}},
            {{"parts", {false, 64, "/healthz"}}},
            9,
            10},
           {{"h.example", "/b/"}},
           1ull << 63},
          1,
          false},
      peer_document{document_kind::kConfiguration, 12, "{}"},
      remote_job_request{5, 2, "job", team_id("lahore"), std::string("\0b", 2)},
      remote_job_reply{5, 200, {{"A", "b"}}, "body"},
      drained_domains{store_version(77), {failure_domain_id("north")}},
      crash_news{{{{job_key("a"), 0, {1, 2}},
                   {{{upstream_id("u1"), upstream_birth(5)}, true},
                    {{upstream_id("u2"), upstream_birth()}, false}}}},
                 {{upstream_id("u3"), upstream_birth(7)}}},
      speed_news{{{upstream_id("u1"), upstream_birth(77), 0.625},
                  {upstream_id("u2"), upstream_birth(), 1.6}}}};
  wire_names names = Names();
  for (const peer_message& message : messages) {
    auto decoded = DecodeFrame(EncodeFrame(message, names), names);
    REQUIRE(decoded.ok());
    const auto& back = std::get<peer_message>(decoded.value());
    CHECK(EncodeFrame(back, names) == EncodeFrame(message, names));
    CHECK(back.index() == message.index());
  }
  auto decoded = DecodeFrame(EncodeFrame(peer_message(demand), names), names);
  REQUIRE(decoded.ok());
  const auto& back =
      std::get<slot_demand>(std::get<peer_message>(decoded.value()));
  CHECK(back.waiting == demand.waiting);
  CHECK(back.held == demand.held);
  CHECK(back.quarantined == demand.quarantined);
}

// A peer knows an upstream that is not on our list yet: its entry is dropped
// and the rest of the message counts.
TEST_CASE("frame_codec: unknown names are dropped") {
  slot_grant grant{1,
                   1,
                   {{upstream_id("new"), team_id("lahore"), false},
                    {upstream_id("u0"), team_id("lahore"), false}},
                   {}};
  wire_names names = Names();
  auto decoded = DecodeFrame(EncodeFrame(peer_message(grant), names), names);
  REQUIRE(decoded.ok());
  const auto& back =
      std::get<slot_grant>(std::get<peer_message>(decoded.value()));
  REQUIRE(back.slots.size() == 1);
  CHECK(back.slots[0].upstream == upstream_id("u0"));
}

// A newer release adds a field. This one must read past it.
TEST_CASE("frame_codec: fields of a newer release are skipped") {
  using apache::thrift::protocol::TCompactProtocolT;
  using apache::thrift::transport::TMemoryBuffer;
  namespace protocol = apache::thrift::protocol;
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> writer(buffer);
  writer.writeStructBegin("frame");
  writer.writeFieldBegin("status_message", protocol::T_STRUCT, 6);
  writer.writeStructBegin("status");
  writer.writeFieldBegin("config_version", protocol::T_I64, 1);
  writer.writeI64(3);
  writer.writeFieldEnd();
  writer.writeFieldBegin("of_the_future", protocol::T_STRING, 99);
  writer.writeString("unknown");
  writer.writeFieldEnd();
  writer.writeFieldStop();
  writer.writeStructEnd();
  writer.writeFieldEnd();
  writer.writeFieldStop();
  writer.writeStructEnd();
  auto decoded = DecodeFrame(buffer->getBufferAsString(), Names());
  REQUIRE(decoded.ok());
  const auto& status =
      std::get<peer_status>(std::get<peer_message>(decoded.value()));
  CHECK(status.config == config_version(3));
}

TEST_CASE("frame_codec: any bytes are a frame or a problem") {
  std::mt19937_64 random(3);
  wire_names names = Names();
  slot_grant grant{1, 1, {{upstream_id("u0"), team_id("lahore"), false}}, {}};
  std::string good = EncodeFrame(peer_message(grant), names);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    if (i % 2 == 0) {
      bytes.resize(random() % 40);
      for (char& c : bytes)
        c = static_cast<char>(random());
    } else {
      bytes[random() % bytes.size()] = static_cast<char>(random());
      bytes.resize(random() % (bytes.size() + 1));
    }
    (void)DecodeFrame(bytes, names);
  }
  // A list that claims to be huge.
  CHECK_FALSE(
      DecodeFrame(std::string("\x5c\x19\xfc\xff\xff\xff\xff\x07", 8), names)
          .ok());
}

// A field that is a structure, a list of `elements` structures in it, and what
// follows. Numbers are varints of up to 21 bits.
std::string FrameWithList(int field, int elements, const std::string& rest) {
  auto varint = [](int number) {
    std::string bytes;
    for (; number >= 0x80; number >>= 7)
      bytes += static_cast<char>((number & 0x7f) | 0x80);
    return bytes + static_cast<char>(number);
  };
  constexpr char kStruct = 12;
  constexpr char kList = 9;
  constexpr char kLongListOfStructs = static_cast<char>(0xfc);
  // Lists begin the numbers of their fields at 3 in a demand.
  std::string bytes = {static_cast<char>(field << 4 | kStruct),
                       static_cast<char>(3 << 4 | kList), kLongListOfStructs};
  return bytes + varint(elements) + rest;
}

// Guards against strangers who have 100,000 structures made by ten bytes.
TEST_CASE("frame_codec: a list is no longer than its frame") {
  for (int elements : {20, 100'000}) {
    auto frame = DecodeFrame(FrameWithList(3, elements, "123456789"), Names());
    REQUIRE(!frame.ok());
    CHECK(frame.error().ToString().find("larger than the frame") !=
          std::string::npos);
  }
}

// Guards against a peer's frame that takes hundreds of times its size.
TEST_CASE("frame_codec: a frame's elements are bounded in all") {
  // Empty structures, and the ends of the message and of the frame.
  auto decode = [](int lists) {
    constexpr int kElements = 100'000;
    std::string list(kElements, '\0');
    std::string frame = FrameWithList(3, kElements, list);
    std::string again = frame.substr(1, frame.size() - 1);
    // The same field again, with its number in full.
    again.replace(0, 1, std::string{9, 6});
    for (int i = 1; i < lists; ++i)
      frame += again;
    frame += std::string(2, '\0');
    return DecodeFrame(frame, Names()).ok();
  };
  CHECK(decode(3));
  CHECK(!decode(4));
}

// Guards against strings that are said to be longer than the frame, and
// structures in structures without an end.
TEST_CASE("frame_codec: claimed lengths and nesting end a frame") {
  // An unknown field that is a string of 31 MB.
  CHECK(!DecodeFrame("\xf8\x80\x80\xc0\x0e", Names()).ok());
  for (char nested : {'\x1c', '\xfc'})
    CHECK(!DecodeFrame(std::string(1'000'000, nested), Names()).ok());
}

}  // namespace
}  // namespace jasminedyke
