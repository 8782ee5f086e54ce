// The release.

#ifndef SRC_VERSION_H_
#define SRC_VERSION_H_

namespace jasminedyke {

inline constexpr char kVersion[] = "0.1.0";

}  // namespace jasminedyke

#endif  // SRC_VERSION_H_
