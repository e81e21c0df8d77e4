#pragma once

#include "gooseberrysail/control/context.hpp"

#include <cstdint>
#include <map>

namespace gooseberrysail {

/// \brief Forwards an entry's query about a request to the entry that accepted the request, and
/// returns the answer. Entries are not connected to each other.
class RequestRelay
{
public:
  void OnQuery(ControlContext& context, const ProcessId& asker, const wire::RequestQueryT& query);

  /// \returns False when the answer does not belong to a relayed query.
  bool OnAnswer(ControlContext& context, const ProcessId& peer, const wire::RequestAnswerT& answer);

  /// \brief Drops queries that were not answered in time; the asking entry has its own timeout.
  void Tick(const ControlContext& context);

  static constexpr Duration kTimeout = std::chrono::seconds(3);
  static constexpr std::size_t kMaxOpenQueries = 1024;

private:
  struct RelayedQuery
  {
    ProcessId asker;
    ProcessId holder;
    std::uint64_t nonce = 0; ///< Of the asking entry's query.
    TimePoint asked{};
  };

  std::uint64_t m_sequence = 0;
  std::map<std::uint64_t, RelayedQuery> m_relayedQueries; ///< By the nonce sent to the holder.
};

} // namespace gooseberrysail
