// Fields of JSON objects from outside, read without exceptions: a field that
// is missing or of another type gives the default.

#ifndef SRC_STORE_JSON_FIELDS_H_
#define SRC_STORE_JSON_FIELDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace jasminedyke {

std::string TextField(const nlohmann::json& object, const char* field);
int64_t IntegerField(const nlohmann::json& object,
                     const char* field,
                     int64_t otherwise = 0);
double NumberField(const nlohmann::json& object,
                   const char* field,
                   double otherwise = 0);
bool BooleanField(const nlohmann::json& object,
                  const char* field,
                  bool otherwise = false);
// An empty one if it is missing.
const nlohmann::json& ArrayField(const nlohmann::json& object,
                                 const char* field);

}  // namespace jasminedyke

#endif  // SRC_STORE_JSON_FIELDS_H_
