#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

namespace gooseberrysail::impl {

/// \brief Tells control which catalogue version is in force here and how much each workspace used.
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
