// Bytes that an instance sends and receives, by the other side and the kind of
// message.

#ifndef SRC_BASE_TRAFFIC_METER_H_
#define SRC_BASE_TRAFFIC_METER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jasminedyke {

enum class traffic_way { kOut, kIn };

const char* ToString(traffic_way way);

// Names must be literals: only views of them are kept.
struct traffic_kind {
  std::string_view other_side;
  std::string_view message;
  traffic_way way = traffic_way::kOut;

  auto operator<=>(const traffic_kind&) const = default;
};

struct traffic_count {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

class traffic_meter {
 public:
  void Note(const traffic_kind& kind, uint64_t bytes);

  const std::map<traffic_kind, traffic_count>& counts() const {
    return counts_;
  }
  // All kinds on one line, as "upstream.start.out=MESSAGES/BYTES", separated
  // by commas.
  std::string Summary() const;

 private:
  std::map<traffic_kind, traffic_count> counts_;
};

}  // namespace jasminedyke

#endif  // SRC_BASE_TRAFFIC_METER_H_
