// Random identifiers, digests and message authentication, by OpenSSL.

#ifndef SRC_BASE_CRYPTO_H_
#define SRC_BASE_CRYPTO_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminedyke {

// `bytes` random bytes from the system's generator, as hex. Throws
// `std::runtime_error` if the generator fails.
std::string RandomHex(size_t bytes);

std::string Sha256Hex(std::string_view data);

// HMAC-SHA-256, 32 raw bytes.
std::string HmacSha256(std::string_view key, std::string_view data);

// Compares in a time that does not depend on where the texts differ.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// A hash that is the same in every build and process; used wherever
// instances must agree on it.
uint64_t StableHash(std::string_view data);

std::string ToHex(std::string_view bytes);
// Empty if `hex` is not an even number of hex digits.
std::string FromHex(std::string_view hex);

std::string ToBase64(std::string_view bytes);
// False if `text` is not base64.
bool FromBase64(std::string_view text, std::string* bytes);

}  // namespace jasminedyke

#endif  // SRC_BASE_CRYPTO_H_
