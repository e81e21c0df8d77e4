#include "gooseberrysail/serving/request_fingerprint.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <xxhash.h>

namespace gooseberrysail {

namespace {

// Each field is hashed by itself, so that no two things differ only in where one field ends and the
// next begins.
template<std::size_t kCount>
RequestFingerprint HashFields(const std::array<std::string_view, kCount>& fields) noexcept
{
  std::array<XXH128_hash_t, kCount> hashes;
  std::ranges::transform(fields, hashes.begin(), [](std::string_view field) {
    return XXH3_128bits(field.data(), field.size());
  });
  const XXH128_hash_t whole = XXH3_128bits(hashes.data(), sizeof hashes);
  return { whole.high64, whole.low64 };
}

} // namespace

RequestFingerprint FingerprintOf(const RequestContent& content) noexcept
{
  return HashFields<5>(
    { content.method, content.host, content.target, content.workspace, content.body });
}

RequestFingerprint FingerprintOf(const PromptPart& part) noexcept
{
  return HashFields<3>({ part.service, part.model, part.id });
}

std::string ToString(const RequestFingerprint& fingerprint)
{
  constexpr std::size_t kDigits = 32;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(fingerprint.high),
                static_cast<unsigned long long>(fingerprint.low));
  return { text.data(), kDigits };
}

} // namespace gooseberrysail
