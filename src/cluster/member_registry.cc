#include "cluster/member_registry.h"

#include <vector>

namespace jasminedyke {

namespace {

// Interval between attempts while the store is unavailable. Connected peers
// keep their links in the meantime.
constexpr duration kRetryInterval = std::chrono::milliseconds(500);

std::optional<entry_member> ParseMember(const std::string& key,
                                        const nlohmann::json& value) {
  auto address = socket_address::Parse(TextField(value, "peers"));
  if (!address)
    return std::nullopt;
  entry_member member;
  member.instance = instance_id(key);
  member.incarnation = incarnation_id(TextField(value, "incarnation"));
  member.domain = failure_domain_id(TextField(value, "failure_domain"));
  member.peers = *address;
  member.weight = NumberField(value, "weight", 1.0);
  return member;
}

}  // namespace

std::map<instance_id, entry_member> ParseMembers(const table_snapshot& table) {
  std::map<instance_id, entry_member> members;
  for (const auto& [key, row] : table.rows) {
    if (auto member = ParseMember(key, row.value()))
      members.emplace(member->instance, *member);
    else
      LogEvent(log_level::kWarning, "member_row_malformed", {{"key", key}});
  }
  return members;
}

member_registry::member_registry(scheduler& clock,
                                 table_service& store,
                                 const entry_member& self)
    : store_(store), self_(self), retry_timer_(clock) {}

nlohmann::json member_registry::OwnRow() const {
  return {{"peers", self_.peers.ToString()},
          {"incarnation", self_.incarnation.str()},
          {"failure_domain", self_.domain.str()},
          {"weight", self_.weight}};
}

void member_registry::Register() {
  store_.Read(kMembersTable, self_.instance.str(), [this](const auto& row) {
    if (row.ok())
      WriteRow(row.value().version);
    else if (row.error() == store_error::kNotFound)
      WriteRow(0);
    else
      RetryLater();
  });
}

void member_registry::WriteRow(uint64_t version) {
  store_.Write({{kMembersTable, self_.instance.str(), version, OwnRow()}},
               [this](const auto& result) {
                 if (!result.ok()) {
                   RetryLater();
                   return;
                 }
                 row_version_ = result.value().front();
                 if (unregistered_)
                   Unregister();
               });
}

void member_registry::RetryLater() {
  if (!unregistered_)
    retry_timer_.StartAfter(kRetryInterval, [this] { Register(); });
}

void member_registry::Unregister() {
  unregistered_ = true;
  retry_timer_.Stop();
  if (row_version_ == 0)
    return;
  table_write removal{kMembersTable, self_.instance.str(), row_version_, {}};
  removal.remove = true;
  store_.Write({removal}, [](const auto&) {});
}

}  // namespace jasminedyke
