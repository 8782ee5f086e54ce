// Who a bearer token belongs to.

#ifndef SRC_ENTRY_TOKEN_DIRECTORY_H_
#define SRC_ENTRY_TOKEN_DIRECTORY_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "policy/policy.h"

namespace jasminedyke {

// Looks tokens up by their digests. A look-up by digest takes a time that
// tells nothing about the token.
class token_directory {
 public:
  void Load(const configuration& config);

  // `authorization` is the value of that header, or null.
  std::optional<team_id> Team(const std::string* authorization) const;
  bool IsAdministrator(const std::string* authorization) const;

 private:
  std::unordered_map<std::string, team_id> team_by_digest_;
  std::set<std::string> administrators_;
};

}  // namespace jasminedyke

#endif  // SRC_ENTRY_TOKEN_DIRECTORY_H_
