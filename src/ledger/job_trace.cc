#include "ledger/job_trace.h"

#include <algorithm>

namespace jasminedyke {

void job_trace::Take(const log_line& line) {
  if (line.Text("job") == job_)
    lines_.push_back(line);
}

std::string job_trace::Text() const {
  std::vector<log_line> in_order = lines_;
  std::ranges::stable_sort(in_order, {}, &log_line::time);
  std::string text;
  for (const log_line& line : in_order) {
    for (const std::string& part : {line.time, line.prefix}) {
      if (!part.empty())
        text += part + "  ";
    }
    text += line.text + "\n";
  }
  return text;
}

}  // namespace jasminedyke
