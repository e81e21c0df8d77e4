#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/entry/entry_context.hpp"

#include <cstdint>
#include <map>
#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Looks up the record of a request: in this entry's records, or at the entry that the id
/// names. The query goes through the control process when that entry isn't connected.
class RequestLookups
{
public:
  /// \brief Answers `GET /requests/{id}` for a caller of `workspace`.
  void Answer(EntryContext& context,
              ExchangeId exchange,
              const RequestId& own,
              const RequestId& wanted,
              const WorkspaceId& workspace);

  /// \brief Answers a query of another process. An empty workspace means an operator's query.
  static void OnQuery(EntryContext& context,
                      const ProcessId& from,
                      const wire::RequestQueryT& query);
  void OnAnswer(EntryContext& context, const wire::RequestAnswerT& answer);
  void OnCallerGone(ExchangeId exchange);

  /// \brief Answers lookups that timed out with an error.
  void Tick(EntryContext& context);
  /// \brief Answers all pending lookups with the same error.
  void EndAll(EntryContext& context);
  [[nodiscard]] bool Empty() const noexcept { return m_pending.empty(); }

private:
  struct PendingLookup
  {
    ExchangeId exchange;
    RequestId own;
    RequestId wanted;
    TimePoint expiresAt{};
  };
  void EndFirst(EntryContext& context);

  std::uint64_t m_lastNonce = 0;
  std::map<std::uint64_t, PendingLookup> m_pending;
};

} // namespace gooseberrysail::impl
