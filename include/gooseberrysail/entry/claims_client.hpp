#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief Asks control for claims and reports their outcomes, again and again until answered.
/// \remarks Control forgets nothing that it acknowledged, so resending is harmless: the same
/// request id gets the same reply.
class ClaimsClient
{
public:
  struct Sender
  {
    std::function<void(wire::ClaimRequestT)> request;
    std::function<void(wire::ClaimOutcomeT)> outcome;
  };

  void Ask(wire::ClaimRequestT claim);
  /// \brief A reply arrived or nobody waits for it any more.
  void StopAsking(std::string_view request);

  /// \brief Reports how the claimed run ended.
  void Report(wire::ClaimOutcomeT outcome);
  void OnOutcomeAck(std::string_view request);

  /// \brief Sends what is new and what has waited for its answer too long.
  void Tick(TimePoint now, const Sender& sender);

  /// \brief Outcomes that control hasn't acknowledged.
  [[nodiscard]] std::size_t Unreported() const noexcept { return m_outcomes.size(); }

  static constexpr Duration kResendInterval = std::chrono::milliseconds(500);

private:
  template<class MessageT>
  struct Pending
  {
    MessageT message;
    TimePoint sendAt{};
  };
  std::map<std::string, Pending<wire::ClaimRequestT>, std::less<>> m_claims;
  std::map<std::string, Pending<wire::ClaimOutcomeT>, std::less<>> m_outcomes;
  TimePoint m_nextDue{}; ///< Nothing is due before; spares a walk over the tables on each tick.
};

} // namespace gooseberrysail
