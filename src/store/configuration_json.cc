#include "store/configuration_json.h"

#include <algorithm>

#include "store/json_reader.h"

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr int64_t kLongestTargetMs = 3'600'000;
constexpr int64_t kMaxQuota = 1'000'000;
constexpr size_t kDigestDigits = 64;
constexpr size_t kMaxNameLength = 100;

// Names go into URL paths, header lines and log lines.
bool IsName(const std::string& name) {
  auto allowed = [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::ranges::all_of(name, allowed);
}

bool IsDigest(const std::string& text) {
  auto is_digit = [](unsigned char c) {
    return std::isdigit(c) || (c >= 'a' && c <= 'f');
  };
  return text.size() == kDigestDigits && std::ranges::all_of(text, is_digit);
}

std::vector<std::string> ReadDigests(json_reader& reader) {
  std::vector<std::string> digests;
  const json* array = reader.Array("token_sha256");
  if (!array)
    return digests;
  for (const json& entry : *array) {
    if (!entry.is_string() || !IsDigest(entry.get<std::string>())) {
      reader.Complain("token_sha256",
                      "must hold SHA-256 digests as 64 lower-case hex digits");
      return digests;
    }
    digests.push_back(entry.get<std::string>());
  }
  return digests;
}

}  // namespace

outcome<class_settings> ParseClass(const json& document,
                                   const std::string& where,
                                   unknown_fields unknown) {
  json_reader reader(document, where);
  if (unknown == unknown_fields::kRefuse)
    reader.RefuseUnknown({"target_ms", "idempotent"});
  class_settings settings;
  int64_t default_ms = kDefaultTarget / std::chrono::milliseconds(1);
  settings.target = std::chrono::milliseconds(
      reader.Integer("target_ms", 1, kLongestTargetMs, default_ms));
  settings.idempotent = reader.Boolean("idempotent", false);
  if (!reader.ok())
    return *reader.error();
  return settings;
}

outcome<team_settings> ParseTeam(const json& document,
                                 const std::string& where,
                                 unknown_fields unknown) {
  json_reader reader(document, where);
  if (unknown == unknown_fields::kRefuse)
    reader.RefuseUnknown({"token_sha256", "quota_slots"});
  team_settings settings;
  settings.token_digests = ReadDigests(reader);
  settings.quota_slots =
      static_cast<int>(reader.Integer("quota_slots", 0, kMaxQuota, 0));
  if (!reader.ok())
    return *reader.error();
  return settings;
}

outcome<configuration> ParseConfiguration(const json& document,
                                          unknown_fields unknown) {
  json_reader reader(document, "");
  if (unknown == unknown_fields::kRefuse)
    reader.RefuseUnknown({"classes", "teams", "administrators", "changes"});
  const json* classes = reader.Object("classes");
  const json* teams = reader.Object("teams");
  const json* administrators = reader.Object("administrators");
  // Most likely another program's document. In force, it would lock all callers
  // and operators out.
  if (!classes && !teams && !administrators)
    reader.Complain("", "has none of classes, teams and administrators");
  if (!reader.ok())
    return *reader.error();
  configuration config;
  static const json kNone = json::object();
  for (const auto& [name, value] : (classes ? *classes : kNone).items()) {
    std::string where = "classes." + name;
    if (!IsName(name))
      return problem{where, "is not a valid name"};
    auto settings = ParseClass(value, where, unknown);
    if (!settings.ok())
      return settings.error();
    config.classes[class_id(name)] = settings.value();
  }
  for (const auto& [name, value] : (teams ? *teams : kNone).items()) {
    std::string where = "teams." + name;
    if (!IsName(name))
      return problem{where, "is not a valid name"};
    auto settings = ParseTeam(value, where, unknown);
    if (!settings.ok())
      return settings.error();
    config.teams[team_id(name)] = settings.value();
  }
  if (administrators) {
    json_reader fields(*administrators, "administrators");
    if (unknown == unknown_fields::kRefuse)
      fields.RefuseUnknown({"token_sha256"});
    config.administrator_digests = ReadDigests(fields);
    if (!fields.ok())
      return *fields.error();
  }
  return config;
}

json WriteClass(const class_settings& settings) {
  return {{"target_ms", settings.target / std::chrono::milliseconds(1)},
          {"idempotent", settings.idempotent}};
}

json WriteTeam(const team_settings& settings) {
  return {{"token_sha256", settings.token_digests},
          {"quota_slots", settings.quota_slots}};
}

}  // namespace jasminedyke
