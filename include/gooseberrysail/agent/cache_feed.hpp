#pragma once

#include "gooseberrysail/agent/context.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Reads the engine's cache events and passes them on to the entries that send it work.
/// \remarks The engine answers `GET /cache_events?after=N` with
/// `{"events":[{"sequence":7,"block":123,"kind":"added"}],"latest":9}`; a block is the chained hash
/// that entries use for prompt prefixes. Engines without this path are asked seldom.
class CacheFeed
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(500);
  static constexpr Duration kAbsentInterval = std::chrono::seconds(30);
  static constexpr Duration kTimeout = std::chrono::seconds(2);

  /// \brief A new group or other weights: what was known of the cache is void.
  void Reset();
  void Tick(impl::AgentContext& context, bool wanted);
  /// \returns True when the answer was the feed's.
  bool OnAnswer(impl::AgentContext& context,
                const TargetAnswerIn& answer,
                GroupId group,
                const std::vector<ProcessId>& entries);
  bool OnFailed(const TargetFailedIn& failure);

private:
  void Read(impl::AgentContext& context, GroupId group, const std::vector<ProcessId>& entries);

  std::optional<ExchangeId> m_exchange;
  TimePoint m_notBefore{};
  unsigned m_status = 0;
  std::string m_body;
  std::uint64_t m_seen = 0;     ///< The engine's latest sequence number.
  std::uint64_t m_reported = 0; ///< Ours; a number is left out where the engine's show a gap.
  bool m_resetDue = false;
};

} // namespace gooseberrysail
