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

/// \brief Sends claim requests and claim outcomes to control, and resends each until it is
/// answered.
/// \remarks Resending is safe: control keeps everything that it acknowledged, so the same request
/// id gets the same reply.
class ClaimsClient
{
public:
  struct Sender
  {
    std::function<void(wire::ClaimRequestT)> request;
    std::function<void(wire::ClaimOutcomeT)> outcome;
  };

  void Ask(wire::ClaimRequestT claim);
  /// \brief Stops resending a claim request: its reply arrived or is no longer needed.
  void StopAsking(std::string_view request);

  /// \brief Reports the outcome of a claimed request; also stops a claim request that is pending.
  void Report(wire::ClaimOutcomeT outcome);
  void OnOutcomeAck(std::string_view request);

  /// \brief Sends new messages, and resends those unanswered for kResendInterval.
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
  TimePoint m_nextDue{}; ///< Earliest time at which a message is due; saves a scan on each tick.
};

} // namespace gooseberrysail
