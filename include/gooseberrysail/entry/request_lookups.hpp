#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/entry/entry_context.hpp"

#include <cstdint>
#include <map>
#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Tells what became of a request: from the own records, or asked of the entry that the id
/// names, over the control process where no connection with that entry stands.
class RequestLookups
{
public:
  /// \brief Answers `GET /requests/{id}` for a caller of `workspace`.
  void Answer(EntryContext& context,
              ExchangeId exchange,
              const RequestId& own,
              const RequestId& wanted,
              const WorkspaceId& workspace);

  /// \brief Another process asks. An empty workspace is an operator's.
  static void OnQuery(EntryContext& context,
                      const ProcessId& from,
                      const wire::RequestQueryT& query);
  void OnAnswer(EntryContext& context, const wire::RequestAnswerT& answer);
  void OnCallerGone(ExchangeId exchange);

  /// \brief Ends the questions that nobody answered.
  void Tick(EntryContext& context);
  [[nodiscard]] bool Empty() const noexcept { return m_waiting.empty(); }

private:
  struct Waiting
  {
    ExchangeId exchange;
    RequestId own;
    RequestId wanted;
    TimePoint until{};
  };
  std::uint64_t m_lastNonce = 0;
  std::map<std::uint64_t, Waiting> m_waiting;
};

} // namespace gooseberrysail::impl
