#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace gooseberrysail::impl {

/// \brief When each of the latest questions was sent, by its nonce.
/// \remarks Whatever an answer proves was true after the question left, so that moment counts.
class NonceRing
{
public:
  void OnSent(TimePoint now, std::uint64_t nonce)
  {
    m_questions[m_next] = Question{ nonce, now, true };
    m_next = (m_next + 1) % kQuestions;
    m_lastSent = now;
  }

  /// \returns None when the nonce is not one of the latest.
  [[nodiscard]] std::optional<TimePoint> SentAt(std::uint64_t nonce) const noexcept
  {
    const auto found =
      std::find_if(m_questions.begin(), m_questions.end(), [nonce](const Question& question) {
        return question.used && question.nonce == nonce;
      });
    return found == m_questions.end() ? std::nullopt : std::optional(found->sentAt);
  }

  [[nodiscard]] bool Due(TimePoint now, Duration interval) const noexcept
  {
    return !m_lastSent || now - *m_lastSent >= interval;
  }

private:
  struct Question
  {
    std::uint64_t nonce = 0;
    TimePoint sentAt{};
    bool used = false;
  };
  static constexpr std::size_t kQuestions = 16;

  std::array<Question, kQuestions> m_questions{};
  std::size_t m_next = 0;
  std::optional<TimePoint> m_lastSent;
};

} // namespace gooseberrysail::impl
