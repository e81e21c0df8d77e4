#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Protocol version; increased by changes that older programs can't decode.
inline constexpr std::uint32_t kProtocol = 2;

inline constexpr std::size_t kNonceBytes = 32;

/// \brief Largest frame accepted from a caller that is not authenticated yet.
inline constexpr std::size_t kMaxHandshakeBytes = 4 * 1024;

/// \brief The side of a connection that created a proof.
enum class ProofSide : std::uint8_t
{
  kDialler = 1,
  kAcceptor = 2,
};

using Proof = std::array<std::uint8_t, 32>;

/// \brief Returns a new random nonce.
[[nodiscard]] std::vector<std::uint8_t> MakeNonce();

/// \brief HMAC-SHA256 with the cluster key over the side and both Hello messages.
[[nodiscard]] Proof MakeProof(std::string_view clusterKey,
                              ProofSide side,
                              const wire::HelloT& dialler,
                              const wire::HelloT& acceptor);

/// \brief Whether `received` equals `expected`; compares in constant time.
[[nodiscard]] bool ProofMatches(const Proof& expected,
                                std::span<const std::uint8_t> received) noexcept;

/// \brief Rejects a Hello with another protocol, an invalid name or nonce, or our own of either.
[[nodiscard]] Result<void> CheckHello(const wire::HelloT& own,
                                      const wire::HelloT& peer,
                                      const std::string& address);

} // namespace gooseberrysail::impl
