#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Identifies a request by its content, so that repeats of it under other request ids are
/// recognised. Reveals nothing of the content.
struct RequestFingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const RequestFingerprint&, const RequestFingerprint&) = default;
};

/// \brief The parts of a request that a repeat has in common with it.
struct RequestContent
{
  std::string_view method;
  std::string_view host;
  std::string_view target;    ///< Path and query.
  std::string_view workspace; ///< The caller's; "" for public routes without a key.
  std::string_view body;
};

[[nodiscard]] RequestFingerprint FingerprintOf(const RequestContent& content) noexcept;

/// \brief A part of a prompt, for one model of a service.
struct PromptPart
{
  std::string_view service;
  std::string_view model;
  std::string_view id;
};

[[nodiscard]] RequestFingerprint FingerprintOf(const PromptPart& part) noexcept;

/// \brief 32 hexadecimal digits, for log lines.
[[nodiscard]] std::string ToString(const RequestFingerprint& fingerprint);

} // namespace gooseberrysail

template<>
struct std::hash<gooseberrysail::RequestFingerprint>
{
  std::size_t operator()(const gooseberrysail::RequestFingerprint& fingerprint) const noexcept
  {
    return static_cast<std::size_t>(fingerprint.high ^ fingerprint.low);
  }
};
