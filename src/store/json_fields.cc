#include "store/json_fields.h"

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
  return value && value->is_number() ? value->get<int64_t>() : otherwise;
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
