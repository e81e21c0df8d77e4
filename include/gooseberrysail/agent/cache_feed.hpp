#pragma once

#include "gooseberrysail/agent/context.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Polls the engine's cache events and forwards them to the entries that send it requests.
/// \remarks The engine answers `GET /cache_events?after=N` with
/// `{"events":[{"sequence":7,"block":123,"kind":"added"}],"latest":9}`; a block is the chained hash
/// that entries use for prompt prefixes. Engines without this path are polled every
/// kUnsupportedInterval.
class CacheFeed
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(500);
  static constexpr Duration kUnsupportedInterval = std::chrono::seconds(30);
  static constexpr Duration kTimeout = std::chrono::seconds(2);

  /// \brief Marks the cache contents reported so far as invalid, after a change of the group.
  void Reset();
  void Tick(impl::AgentContext& context, bool enabled);
  /// \returns True when the answer belongs to a call of this feed.
  bool OnAnswer(impl::AgentContext& context,
                const TargetAnswerIn& answer,
                GroupId group,
                const std::vector<ProcessId>& entries);
  bool OnFailed(const TargetFailedIn& failure);

private:
  void ParseEvents(impl::AgentContext& context,
                   GroupId group,
                   const std::vector<ProcessId>& entries);

  std::optional<ExchangeId> m_exchange;
  TimePoint m_nextPollAt{};
  unsigned m_status = 0;
  std::string m_body;
  std::uint64_t m_latestSequence = 0; ///< Latest sequence number received from the engine.
  std::uint64_t m_reportSequence = 0; ///< Latest sequence number sent; skips a number after a gap.
  bool m_resetDue = false;
};

} // namespace gooseberrysail
