#include "entry/token_directory.h"

namespace jasminedyke {

namespace {

std::optional<std::string> TokenDigest(const std::string* authorization) {
  static const std::string kScheme = "Bearer ";
  if (!authorization || !authorization->starts_with(kScheme))
    return std::nullopt;
  return Sha256Hex(authorization->substr(kScheme.size()));
}

}  // namespace

void token_directory::Load(const configuration& config) {
  team_by_digest_.clear();
  for (const auto& [team, settings] : config.teams) {
    for (const std::string& digest : settings.token_digests)
      team_by_digest_[digest] = team;
  }
  administrators_.clear();
  administrators_.insert(config.administrator_digests.begin(),
                         config.administrator_digests.end());
}

std::optional<team_id> token_directory::Team(
    const std::string* authorization) const {
  auto digest = TokenDigest(authorization);
  if (!digest)
    return std::nullopt;
  auto found = team_by_digest_.find(*digest);
  if (found == team_by_digest_.end())
    return std::nullopt;
  return found->second;
}

bool token_directory::IsAdministrator(const std::string* authorization) const {
  auto digest = TokenDigest(authorization);
  return digest && administrators_.contains(*digest);
}

}  // namespace jasminedyke
