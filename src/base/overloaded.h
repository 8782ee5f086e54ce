// Several lambdas as one visitor of a variant.

#ifndef SRC_BASE_OVERLOADED_H_
#define SRC_BASE_OVERLOADED_H_

namespace jasminedyke {

template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace jasminedyke

#endif  // SRC_BASE_OVERLOADED_H_
