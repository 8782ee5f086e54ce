// What all logs together say of one job.

#ifndef SRC_LEDGER_JOB_FACTS_H_
#define SRC_LEDGER_JOB_FACTS_H_

#include <optional>
#include <string>

#include "ledger/log_line.h"

namespace jasminedyke {

// Times are in milliseconds.
struct job_facts {
  // From the job's owner, with its answer.
  struct answer {
    double ms = 0;
    double objective_ms = 0;
    std::string outcome;
    std::string reason;
    // The failure domains of the callers and of the home.
    std::string asked_in;
    std::string served_in;
    double moved = 0;
    // Of a job that was not served: a home told of places for all of it.
    bool room_left = false;
  };
  // From its home, if the job was late there. Of each step, the task that ended
  // last; summed up over the steps.
  struct home_word {
    // Of the job, when the home got it and when its last task ended.
    double came_ms = 0;
    double age_ms = 0;
    double room_wait_ms = 0;
    // From a task's first order to its last one.
    double lost_ms = 0;
    double run_ms = 0;
    double expected_ms = 0;
    // Of the task that ended last.
    std::string upstream;
    // Calls to that upstream stayed unanswered during the run.
    bool answers_lost = false;
  };

  std::string queue;
  std::optional<answer> answered;
  std::optional<home_word> home;
  // The age at which the caller left.
  std::optional<double> left_ms;
  int stuck = 0;
  int lapsed = 0;
  int failed = 0;
  int unstarted = 0;

  // Takes a line about this job.
  void Take(const log_line& line);
  // Answered late, or not served at all.
  bool IsLoss() const;
};

}  // namespace jasminedyke

#endif  // SRC_LEDGER_JOB_FACTS_H_
