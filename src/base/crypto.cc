#include "base/crypto.h"

#include <cstring>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace jasminedyke {

namespace {

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string RandomHex(size_t bytes) {
  std::string raw(bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(raw.data()),
                 static_cast<int>(bytes)) != 1) {
    throw std::runtime_error("the random generator failed");
  }
  return ToHex(raw);
}

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(Bytes(data), data.size(), digest);
  return ToHex({reinterpret_cast<char*>(digest), sizeof(digest)});
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data),
            data.size(), mac, &length)) {
    throw std::runtime_error("HMAC failed");
  }
  return {reinterpret_cast<char*>(mac), length};
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t StableHash(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(Bytes(data), data.size(), digest);
  uint64_t value = 0;
  for (int i = 0; i < 8; ++i)
    value = value << 8 | digest[i];
  return value;
}

std::string ToHex(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (unsigned char c : bytes) {
    hex.push_back(kDigits[c >> 4]);
    hex.push_back(kDigits[c & 15]);
  }
  return hex;
}

std::string FromHex(std::string_view hex) {
  std::string bytes;
  if (hex.size() % 2 != 0)
    return bytes;
  bytes.reserve(hex.size() / 2);
  for (size_t i = 0; i < hex.size(); i += 2) {
    int high = HexDigit(hex[i]);
    int low = HexDigit(hex[i + 1]);
    if (high < 0 || low < 0)
      return {};
    bytes.push_back(static_cast<char>(high << 4 | low));
  }
  return bytes;
}

std::string ToBase64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                               Bytes(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

bool FromBase64(std::string_view text, std::string* bytes) {
  if (text.size() % 4 != 0)
    return false;
  bytes->assign(text.size() / 4 * 3, '\0');
  int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes->data()),
                               Bytes(text), static_cast<int>(text.size()));
  if (length < 0)
    return false;
  size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes->resize(static_cast<size_t>(length) - padding);
  return true;
}

}  // namespace jasminedyke
