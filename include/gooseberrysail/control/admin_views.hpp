#pragma once

#include "gooseberrysail/control/config_service.hpp"
#include "gooseberrysail/control/membership.hpp"
#include "gooseberrysail/control/route_distribution.hpp"

#include <boost/json/object.hpp>
#include <cstddef>

/// \file JSON views of the control state for the admin API.

namespace gooseberrysail {

/// \brief The components whose state the views show.
struct AdminSources
{
  const TargetMembership& membership;
  const ConfigService& config;
  const RouteDistribution& routes;
};

[[nodiscard]] boost::json::object CatalogueView(const ControlContext& context);
[[nodiscard]] boost::json::object ChangeView(const wire::ChangeRecordT& change);
/// \brief The latest changes, newest first.
[[nodiscard]] boost::json::object HistoryView(const ControlContext& context, std::size_t limit);
[[nodiscard]] boost::json::object StatusView(const ControlContext& context,
                                             const AdminSources& sources);
[[nodiscard]] boost::json::object GroupsView(const ControlContext& context,
                                             const AdminSources& sources);
[[nodiscard]] boost::json::object TargetsView(const ControlContext& context,
                                              const AdminSources& sources);
[[nodiscard]] boost::json::object RequestView(const wire::RequestRecordT& record);

} // namespace gooseberrysail
