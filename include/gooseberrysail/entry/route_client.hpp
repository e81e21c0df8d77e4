#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/entry/connected_peers.hpp"
#include "gooseberrysail/routing/router.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief The groups announced by control. The router gets only those that are open and whose
/// head's agent is connected, so that a chosen group can be used at once.
class RouteClient
{
public:
  using Dial = std::function<void(const ProcessId& peer, const std::string& address)>;

  /// \brief Applies an update of the control process `from`.
  /// \returns Whether it was applied and is to be acknowledged.
  /// \remarks Incremental changes are applied only after a whole list of the same control process:
  /// after a change of leader, changes of the previous leader would mix with the list of the new
  /// one.
  [[nodiscard]] bool OnUpdate(const ProcessId& from,
                              const wire::RoutesUpdateT& update,
                              const ConnectedPeers& peers,
                              Router& router);

  void OnPeerUp(const ProcessId& head, Router& router);
  void OnPeerDown(const ProcessId& head, Router& router);

  /// \brief Dials heads of open groups that are not connected.
  void Tick(TimePoint now, const ConnectedPeers& peers, const Dial& dial);

  [[nodiscard]] const RouteCandidate* Find(GroupId group) const;
  /// \brief Number of open groups of a catalogue entry, connected or not.
  [[nodiscard]] std::size_t CountOpen(const EntryName& entry) const;

  static constexpr Duration kDialInterval = std::chrono::seconds(1);

private:
  struct Row
  {
    RouteCandidate candidate;
    wire::RouteState state = wire::RouteState::Open;
  };

  void ApplyRoute(const wire::RouteT& route, const ConnectedPeers& peers, Router& router);
  void RemoveRoute(GroupId group, Router& router);
  void RemoveUnlisted(const wire::RoutesUpdateT& update, Router& router);

  ProcessId m_source;
  std::map<GroupId, Row> m_rows;
  TimePoint m_nextDial{};
};

} // namespace gooseberrysail
