#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Keeps the catalogue and the routes, limits and capacities derived from control's messages
/// up to date.
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

  /// \brief Queries control for confirmation, and emits an event when it lapses or is restored.
  void Tick(EntryContext& context);

private:
  bool m_wasConfirmed = false;
  bool m_everConfirmed = false;
};

/// \brief Passes the capacity of the open groups to admission.
void UpdateCapacity(EntryContext& context);

/// \brief Passes the requests in flight from all entries, as the groups report them, to admission.
void UpdateOccupancy(EntryContext& context);

} // namespace gooseberrysail::impl
