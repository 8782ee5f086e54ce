#include "store/json_reader.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace jasminedyke {

using nlohmann::json;

json_reader::json_reader(const json& object, std::string where)
    : object_(object), where_(std::move(where)) {
  if (!object_.is_object())
    Complain("", "must be an object");
}

int64_t json_reader::Integer(const char* field,
                             int64_t minimum,
                             int64_t maximum,
                             std::optional<int64_t> otherwise) {
  const json* value = Find(field, !otherwise);
  if (!value)
    return otherwise.value_or(0);
  bool fits = value->is_number_integer() &&
              !(value->is_number_unsigned() &&
                value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX));
  int64_t number = fits ? value->get<int64_t>() : 0;
  if (!fits || number < minimum || number > maximum) {
    Complain(field, "must be a whole number from " + std::to_string(minimum) +
                        " to " + std::to_string(maximum));
    return otherwise.value_or(0);
  }
  return number;
}

bool json_reader::Boolean(const char* field, std::optional<bool> otherwise) {
  const json* value = Find(field, !otherwise);
  if (!value)
    return otherwise.value_or(false);
  if (!value->is_boolean()) {
    Complain(field, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

std::string json_reader::Text(const char* field,
                              const std::optional<std::string>& otherwise) {
  const json* value = Find(field, !otherwise);
  if (!value)
    return otherwise.value_or("");
  if (!value->is_string()) {
    Complain(field, "must be a string");
    return {};
  }
  return value->get<std::string>();
}

const json* json_reader::Object(const char* field) {
  const json* value = Find(field, false);
  if (value && !value->is_object()) {
    Complain(field, "must be an object");
    return nullptr;
  }
  return value;
}

const json* json_reader::Array(const char* field) {
  const json* value = Find(field, false);
  if (value && !value->is_array()) {
    Complain(field, "must be an array");
    return nullptr;
  }
  return value;
}

void json_reader::RefuseUnknown(std::initializer_list<const char*> known) {
  if (!object_.is_object())
    return;
  for (const auto& item : object_.items()) {
    const std::string& key = item.key();
    bool is_known = std::ranges::any_of(
        known, [&](const char* name) { return key == name; });
    if (!is_known)
      Complain(key, "is not a known field");
  }
}

void json_reader::Complain(const std::string& field, const std::string& what) {
  if (problem_)
    return;
  std::string place = where_;
  if (!place.empty() && !field.empty())
    place += '.';
  problem_ = problem{place + field, what};
}

const json* json_reader::Find(const char* field, bool needed) {
  if (problem_)
    return nullptr;
  auto found = object_.find(field);
  if (found != object_.end())
    return &*found;
  if (needed)
    Complain(field, "is missing");
  return nullptr;
}

}  // namespace jasminedyke
