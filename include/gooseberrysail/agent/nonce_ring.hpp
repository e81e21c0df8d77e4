#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace gooseberrysail::impl {

/// \brief Send times of the latest queries, by nonce.
/// \remarks An answer describes the state at some moment after its query was sent, so that the send
/// time is a safe lower bound.
class NonceRing
{
public:
  void OnSent(TimePoint now, std::uint64_t nonce)
  {
    m_queries[m_next] = Query{ nonce, now, true };
    m_next = (m_next + 1) % kCapacity;
    m_lastSent = now;
  }

  /// \returns None when the nonce belongs to none of the latest queries.
  [[nodiscard]] std::optional<TimePoint> SentAt(std::uint64_t nonce) const noexcept
  {
    const auto found =
      std::find_if(m_queries.begin(), m_queries.end(), [nonce](const Query& query) {
        return query.used && query.nonce == nonce;
      });
    return found == m_queries.end() ? std::nullopt : std::optional(found->sentAt);
  }

  [[nodiscard]] bool Due(TimePoint now, Duration interval) const noexcept
  {
    return !m_lastSent || now - *m_lastSent >= interval;
  }

private:
  struct Query
  {
    std::uint64_t nonce = 0;
    TimePoint sentAt{};
    bool used = false;
  };
  static constexpr std::size_t kCapacity = 16;

  std::array<Query, kCapacity> m_queries{};
  std::size_t m_next = 0;
  std::optional<TimePoint> m_lastSent;
};

} // namespace gooseberrysail::impl
