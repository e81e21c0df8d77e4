#pragma once

#include "gooseberrysail/control/context.hpp"

#include <set>
#include <vector>

namespace gooseberrysail {

/// \brief A state that contains only the control processes and their addresses.
[[nodiscard]] wire::ServingStateT MakeControlList(const ControlContext& context);

/// \brief Tells entries which control processes there are; used by the processes that don't lead.
class ControlListFeed
{
public:
  /// \brief Answers a query: with the list where the entry lacks it, else only that this process
  /// doesn't lead.
  void OnQuery(ControlContext& context, const ProcessId& entry);
  void OnPeerDown(const ProcessId& entry) { m_told.erase(entry); }

private:
  std::vector<EntrySettings::Control> m_list;
  std::set<ProcessId> m_told; ///< Entries that were sent m_list on their current connection.
};

} // namespace gooseberrysail
