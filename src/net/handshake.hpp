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

/// \brief Rises when older programs could not understand the frames any more.
inline constexpr std::uint32_t kProtocol = 1;

inline constexpr std::size_t kNonceBytes = 32;

/// \brief Largest frame taken from a caller who has not proved that it has the cluster key.
inline constexpr std::size_t kMaxHandshakeBytes = 4 * 1024;

/// \brief Which side of a connection made a proof.
enum class ProofSide : std::uint8_t
{
  kDialler = 1,
  kAcceptor = 2,
};

using Proof = std::array<std::uint8_t, 32>;

/// \brief A fresh unpredictable nonce.
[[nodiscard]] std::vector<std::uint8_t> MakeNonce();

/// \brief HMAC-SHA256 with the cluster key over the side and all that both said of themselves.
[[nodiscard]] Proof MakeProof(std::string_view clusterKey,
                              ProofSide side,
                              const wire::HelloT& dialler,
                              const wire::HelloT& acceptor);

/// \brief Whether `received` is the proof, compared in constant time.
[[nodiscard]] bool IsProof(const Proof& expected, std::span<const std::uint8_t> received) noexcept;

/// \brief Refuses a Hello of another protocol, without a name, or with our own name or nonce.
[[nodiscard]] Result<void> CheckHello(const wire::HelloT& own,
                                      const wire::HelloT& peer,
                                      const std::string& address);

} // namespace gooseberrysail::impl
