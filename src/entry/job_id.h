// The names of jobs: each says which instance, in which incarnation, owns it.

#ifndef SRC_ENTRY_JOB_ID_H_
#define SRC_ENTRY_JOB_ID_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/base.h"

namespace jasminedyke {

// "INSTANCE.INCARNATION.SEQUENCE.CODE". The code authenticates the rest and
// the team, so an id can't be guessed, and needs no memory until it is used.
struct job_id {
  instance_id owner;
  incarnation_id incarnation;
  uint64_t sequence = 0;
  std::string code;

  // Nothing if the text has not the form of an id.
  static std::optional<job_id> Parse(const std::string& text);
  std::string ToString() const;

  // Handed out before any submission, so a submission may be repeated under
  // it. Other ids are made with their job and become known with its result.
  bool minted_ahead() const { return sequence & 1; }

  bool operator==(const job_id&) const = default;
};

// Makes and checks the ids of one incarnation.
class job_id_mint {
 public:
  job_id_mint(scheduler& clock,
              instance_id instance,
              incarnation_id incarnation);

  job_id MintAhead(const team_id& team) { return Mint(team, true); }
  job_id MintForJob(const team_id& team) { return Mint(team, false); }

  // Whether this incarnation minted the id, for this team.
  bool IsOurs(const job_id& id, const team_id& team) const;
  bool OwnedHere(const job_id& id) const;

  // Since the id was minted; only for one of ours.
  duration Age(const job_id& id) const;

 private:
  job_id Mint(const team_id& team, bool ahead);
  std::string Code(const job_id& id, const team_id& team) const;

  scheduler& clock_;
  instance_id instance_;
  incarnation_id incarnation_;
  std::string secret_;
  time_point start_;
  uint64_t count_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_ENTRY_JOB_ID_H_
