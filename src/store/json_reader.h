// Reads fields of a JSON object and says which one is wrong.

#ifndef SRC_STORE_JSON_READER_H_
#define SRC_STORE_JSON_READER_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "base/base.h"

namespace jasminedyke {

// Collects the first problem; after one, further reads return their default.
class json_reader {
 public:
  // `where` names the object in messages, as in "classes.stock-check".
  json_reader(const nlohmann::json& object, std::string where);

  int64_t Integer(const char* field,
                  int64_t minimum,
                  int64_t maximum,
                  std::optional<int64_t> otherwise);
  bool Boolean(const char* field, std::optional<bool> otherwise);
  std::string Text(const char* field,
                   const std::optional<std::string>& otherwise);
  // An object or array; null if it is absent.
  const nlohmann::json* Object(const char* field);
  const nlohmann::json* Array(const char* field);

  // Any field besides `known` is a problem.
  void RefuseUnknown(std::initializer_list<const char*> known);

  void Complain(const std::string& field, const std::string& what);

  bool ok() const { return !problem_; }
  const std::optional<problem>& error() const { return problem_; }

 private:
  // Null if absent; complains if it is needed.
  const nlohmann::json* Find(const char* field, bool needed);

  const nlohmann::json& object_;
  std::string where_;
  std::optional<problem> problem_;
};

}  // namespace jasminedyke

#endif  // SRC_STORE_JSON_READER_H_
