// A value or the reason why there is none.

#ifndef SRC_BASE_OUTCOME_H_
#define SRC_BASE_OUTCOME_H_

#include <string>
#include <utility>
#include <variant>

namespace jasminedyke {

// An error as text for a person, with the place it concerns (a field or key).
struct problem {
  std::string where;
  std::string what;

  std::string ToString() const {
    return where.empty() ? what : where + ": " + what;
  }
  bool operator==(const problem&) const = default;
};

// Either a `T` or an `E`. Expected failures travel in it; exceptions are kept
// for start-up and for library errors.
template <class T, class E = problem>
class outcome {
 public:
  outcome(T value) : state_(std::in_place_index<0>, std::move(value)) {}
  outcome(E error) : state_(std::in_place_index<1>, std::move(error)) {}

  bool ok() const { return state_.index() == 0; }
  // Only if `ok()`.
  const T& value() const { return std::get<0>(state_); }
  T& value() { return std::get<0>(state_); }
  // Only if not `ok()`.
  const E& error() const { return std::get<1>(state_); }

 private:
  std::variant<T, E> state_;
};

}  // namespace jasminedyke

#endif  // SRC_BASE_OUTCOME_H_
