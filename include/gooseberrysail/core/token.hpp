#pragma once

#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Hexadecimal SHA-256 hash, the form in which bearer tokens are stored.
/// \code
/// TokenHash("abc"); // "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
/// \endcode
[[nodiscard]] std::string TokenHash(std::string_view token);

/// \brief Compares in a time that depends only on the lengths.
[[nodiscard]] bool EqualInConstantTime(std::string_view left, std::string_view right) noexcept;

/// \brief The token in the value of an `Authorization: Bearer` header; "" for any other form.
[[nodiscard]] std::string_view BearerToken(std::string_view headerValue) noexcept;

} // namespace gooseberrysail
