#include "gooseberrysail/core/token.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace gooseberrysail {

std::string TokenHash(std::string_view token)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 0xfU]);
  }
  return hex;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) noexcept
{
  // The run time of a comparison that stops at the first difference reveals how many leading
  // characters of a guess are right.
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view BearerToken(std::string_view headerValue) noexcept
{
  constexpr std::string_view kScheme = "bearer ";
  if (headerValue.size() <= kScheme.size()) {
    return {};
  }
  const auto sameLetter = [](char expected, char letter) {
    return std::tolower(static_cast<unsigned char>(letter)) == expected;
  };
  if (!std::equal(kScheme.begin(), kScheme.end(), headerValue.begin(), sameLetter)) {
    return {};
  }
  headerValue.remove_prefix(kScheme.size());
  while (!headerValue.empty() && headerValue.front() == ' ') {
    headerValue.remove_prefix(1);
  }
  while (!headerValue.empty() && headerValue.back() == ' ') {
    headerValue.remove_suffix(1);
  }
  return headerValue;
}

} // namespace gooseberrysail
