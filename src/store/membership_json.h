// The instance list as the platform writes it.

#ifndef SRC_STORE_MEMBERSHIP_JSON_H_
#define SRC_STORE_MEMBERSHIP_JSON_H_

#include <string>

#include "base/base.h"
#include "policy/policy.h"

namespace jasminedyke {

// Rows that make no sense are left out, so that one bad row does not blind us
// to the others. A problem only if the whole is no list.
outcome<membership_list> ParseMembership(const std::string& text);

std::string WriteMembership(const membership_list& list);

}  // namespace jasminedyke

#endif  // SRC_STORE_MEMBERSHIP_JSON_H_
