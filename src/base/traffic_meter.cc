#include "base/traffic_meter.h"

namespace jasminedyke {

const char* ToString(traffic_way way) {
  return way == traffic_way::kOut ? "out" : "in";
}

void traffic_meter::Note(const traffic_kind& kind, uint64_t bytes) {
  traffic_count& count = counts_[kind];
  ++count.messages;
  count.bytes += bytes;
}

std::string traffic_meter::Summary() const {
  std::string text;
  for (const auto& [kind, count] : counts_) {
    if (!text.empty())
      text += ',';
    text.append(kind.other_side).append(".").append(kind.message);
    text.append(".").append(ToString(kind.way)).append("=");
    text += std::to_string(count.messages) + "/" + std::to_string(count.bytes);
  }
  return text;
}

}  // namespace jasminedyke
