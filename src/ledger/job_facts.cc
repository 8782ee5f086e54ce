#include "ledger/job_facts.h"

#include <array>

namespace jasminedyke {

namespace {

void TakeAnswer(job_facts& job, const log_line& line) {
  job_facts::answer answer;
  answer.ms = line.Number("ms").value_or(0);
  answer.objective_ms = line.Number("objective_ms").value_or(0);
  answer.outcome = line.Text("outcome");
  answer.reason = line.Text("reason");
  const std::string& group = line.Text("group");
  answer.served_in = group.substr(0, group.rfind('/'));
  answer.asked_in = line.Text("failure_domain");
  answer.moved = line.Number("moved").value_or(0);
  answer.room_left = line.Text("room_left") == "1";
  job.queue = line.Text("queue");
  job.answered = answer;
}

void TakeHomeWord(job_facts& job, const log_line& line) {
  job_facts::home_word home;
  home.came_ms = line.Number("came_ms").value_or(0);
  home.age_ms = line.Number("age_ms").value_or(0);
  home.room_wait_ms = line.Number("room_wait_ms").value_or(0);
  home.lost_ms = line.Number("lost_ms").value_or(0);
  home.run_ms = line.Number("run_ms").value_or(0);
  home.expected_ms = line.Number("expected_ms").value_or(0);
  home.upstream = line.Text("upstream");
  home.answers_lost = line.Text("answers_lost") == "1";
  job.home = home;
}

void TakeLeave(job_facts& job, const log_line& line) {
  job.left_ms = line.Number("ms").value_or(0);
  if (!line.Text("queue").empty())
    job.queue = line.Text("queue");
}

void TakeStuck(job_facts& job, const log_line&) {
  ++job.stuck;
}

void TakeRunEnd(job_facts& job, const log_line& line) {
  bool failed = line.Text("how") == "failed";
  ++(failed ? job.failed : job.lapsed);
}

void TakeUnstarted(job_facts& job, const log_line&) {
  ++job.unstarted;
}

struct reader {
  const char* event;
  void (*take)(job_facts& job, const log_line& line);
};

constexpr std::array<reader, 6> kReaders = {{
    {"job_answered", TakeAnswer},
    {"job_late", TakeHomeWord},
    {"caller_left", TakeLeave},
    {"run_stuck", TakeStuck},
    {"run_ended", TakeRunEnd},
    {"start_refused", TakeUnstarted},
}};

}  // namespace

void job_facts::Take(const log_line& line) {
  for (const reader& each : kReaders) {
    if (line.event == each.event)
      each.take(*this, line);
  }
}

bool job_facts::IsLoss() const {
  if (!answered)
    return left_ms.has_value();
  bool served =
      answered->outcome == "succeeded" || answered->outcome == "failed";
  return !served || answered->ms > answered->objective_ms;
}

}  // namespace jasminedyke
