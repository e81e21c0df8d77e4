#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

namespace gooseberrysail::impl {

/// \brief Reports to control the catalogue version in force here and the usage of each workspace.
class ControlReports
{
public:
  void Tick(EntryContext& context);

private:
  void SendInForce(EntryContext& context);
  void SendUsage(EntryContext& context);

  LogIndex m_reported;
  TimePoint m_nextInForce{};
  TimePoint m_nextUsage{};
};

} // namespace gooseberrysail::impl
