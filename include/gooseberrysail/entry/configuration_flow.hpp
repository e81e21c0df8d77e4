#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Keeps the catalogue, and what is derived from it, current.
class ConfigurationFlow
{
public:
  static void OnState(EntryContext& context,
                      const ProcessId& from,
                      const wire::ConfigStateT& state);
  static void OnRoutes(EntryContext& context,
                       const ProcessId& from,
                       const wire::RoutesUpdateT& update);
  static void OnShares(EntryContext& context, const wire::ShareUpdateT& update);

  /// \brief Asks for confirmation and notes when it lapses.
  void Tick(EntryContext& context);

private:
  bool m_wasConfirmed = false;
  bool m_everConfirmed = false;
};

/// \brief Tells admission how much the open groups can take.
void UpdateCapacity(EntryContext& context);

/// \brief Tells admission how many requests of all senders are in flight, as the groups report.
void UpdateOccupancy(EntryContext& context);

} // namespace gooseberrysail::impl
