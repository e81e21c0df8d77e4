#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <utility>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief Largest frame a process accepts, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 16 * 1024 * 1024;

/// \brief Wraps a message of any kind in an envelope.
/// \code
/// auto envelope = MakeEnvelope(wire::PingT{});
/// \endcode
template<class MessageT>
[[nodiscard]] std::shared_ptr<wire::EnvelopeT> MakeEnvelope(MessageT message)
{
  auto envelope = std::make_shared<wire::EnvelopeT>();
  envelope->body.Set(std::move(message));
  return envelope;
}

/// \brief Serialises the envelope, without the length prefix of the frame.
[[nodiscard]] std::vector<std::uint8_t> EncodeEnvelope(const wire::EnvelopeT& envelope);

/// \brief Verifies and unpacks bytes received from `peer`.
[[nodiscard]] Result<std::shared_ptr<const wire::EnvelopeT>> DecodeEnvelope(
  std::span<const std::uint8_t> bytes,
  std::string_view peer);

/// \brief Whether a message is sent before queued messages of other kinds. True for messages of the
/// replicated log, because followers detect a failed leader by their absence.
[[nodiscard]] bool IsHighPriority(const wire::EnvelopeT& envelope) noexcept;

/// \brief The name of the message kind, for logs and golden sessions.
[[nodiscard]] const char* BodyName(const wire::EnvelopeT& envelope) noexcept;

} // namespace gooseberrysail
