// The configuration document of the table service.

#ifndef SRC_STORE_CONFIGURATION_JSON_H_
#define SRC_STORE_CONFIGURATION_JSON_H_

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "policy/policy.h"

namespace jasminedyke {

// How strictly a document is read.
enum class unknown_fields {
  kIgnore,  // written by a newer release or another program
  kRefuse,  // being written by an operator, whose typing error it may be
};

// Names the first wrong field.
outcome<configuration> ParseConfiguration(const nlohmann::json& document,
                                          unknown_fields unknown);

// One class or team on its own; `where` names it in messages.
outcome<class_settings> ParseClass(const nlohmann::json& document,
                                   const std::string& where,
                                   unknown_fields unknown);
outcome<team_settings> ParseTeam(const nlohmann::json& document,
                                 const std::string& where,
                                 unknown_fields unknown);

nlohmann::json WriteClass(const class_settings& settings);
nlohmann::json WriteTeam(const team_settings& settings);

}  // namespace jasminedyke

#endif  // SRC_STORE_CONFIGURATION_JSON_H_
