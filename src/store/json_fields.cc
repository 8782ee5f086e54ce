#include "store/json_fields.h"

#include <cmath>

namespace jasminedyke {

namespace {

using nlohmann::json;

const json* Find(const json& object, const char* field) {
  if (!object.is_object())
    return nullptr;
  auto found = object.find(field);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace

std::string TextField(const json& object, const char* field) {
  const json* value = Find(object, field);
  return value && value->is_string() ? value->get<std::string>()
                                     : std::string();
}

int64_t IntegerField(const json& object, const char* field, int64_t otherwise) {
  const json* value = Find(object, field);
  if (!value || !value->is_number())
    return otherwise;
  // Beyond these, converting a fraction to an integer is undefined.
  constexpr double kLimit = 9e18;
  bool convertible =
      !value->is_number_float() || std::abs(value->get<double>()) < kLimit;
  return convertible ? value->get<int64_t>() : otherwise;
}

double NumberField(const json& object, const char* field, double otherwise) {
  const json* value = Find(object, field);
  return value && value->is_number() ? value->get<double>() : otherwise;
}

bool BooleanField(const json& object, const char* field, bool otherwise) {
  const json* value = Find(object, field);
  return value && value->is_boolean() ? value->get<bool>() : otherwise;
}

const json& ArrayField(const json& object, const char* field) {
  static const json kEmpty = json::array();
  const json* value = Find(object, field);
  return value && value->is_array() ? *value : kEmpty;
}

}  // namespace jasminedyke
