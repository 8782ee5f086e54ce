// Strong types for identifiers. Two ids of different kinds never compare, so
// a team can't be passed where an instance is expected.

#ifndef SRC_BASE_IDS_H_
#define SRC_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace jasminedyke {

// An identifier kept as text; `Tag` names its kind.
template <class Tag>
class text_id {
 public:
  text_id() = default;
  explicit text_id(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  auto operator<=>(const text_id&) const = default;

 private:
  std::string text_;
};

// An identifier kept as a number; `Tag` names its kind.
template <class Tag>
class number_id {
 public:
  constexpr number_id() = default;
  constexpr explicit number_id(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }

  auto operator<=>(const number_id&) const = default;

 private:
  uint64_t value_ = 0;
};

using instance_id = text_id<struct instance_tag>;
using upstream_id = text_id<struct upstream_tag>;
using failure_domain_id = text_id<struct failure_domain_tag>;
using team_id = text_id<struct team_tag>;
using class_id = text_id<struct class_tag>;
// A class of work on the operators' platform.
using queue_id = text_id<struct queue_tag>;
// Chosen by the caller; the same key again means the same job.
using job_key = text_id<struct job_key_tag>;
using change_id = text_id<struct change_tag>;

// Random at each start of a daemon; two runs of one instance differ in it.
using incarnation_id = text_id<struct incarnation_tag>;

using config_version = number_id<struct config_version_tag>;
using membership_version = number_id<struct membership_version_tag>;
using task_index = number_id<struct task_index_tag>;

}  // namespace jasminedyke

template <class Tag>
struct std::hash<jasminedyke::text_id<Tag>> {
  size_t operator()(const jasminedyke::text_id<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // SRC_BASE_IDS_H_
