// Bytes by kind of message.

#include <doctest/doctest.h>

#include "base/base.h"
#include "protocol/protocol.h"

namespace jasminedyke {

TEST_CASE("traffic_meter: bytes add up by other side, message and way") {
  traffic_meter meter;
  meter.Note({"upstream", "start", traffic_way::kOut}, 700);
  meter.Note({"upstream", "start", traffic_way::kOut}, 300);
  meter.Note({"upstream", "start", traffic_way::kIn}, 90);
  meter.Note({"peer", KindOf(home_status()), traffic_way::kOut}, 40);
  CHECK(meter.Summary() ==
        "peer.home_status.out=1/40,upstream.start.out=2/1000,"
        "upstream.start.in=1/90");
}

}  // namespace jasminedyke
