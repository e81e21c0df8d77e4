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

/// \brief The groups control told of. The router gets those that are open and whose head's agent is
/// connected, so that a choice never waits for a connection.
class RouteClient
{
public:
  using Dial = std::function<void(const ProcessId& peer, const std::string& address)>;

  /// \brief Takes over an update of `from`.
  /// \returns Whether it counts, so that it can be acknowledged.
  /// \remarks Changes count only after a whole list of the same control process: after a change of
  /// leader, the former one's changes would mix with the new one's list.
  [[nodiscard]] bool OnUpdate(const ProcessId& from,
                              const wire::RoutesUpdateT& update,
                              const ConnectedPeers& peers,
                              Router& router);

  void OnPeerUp(const ProcessId& head, Router& router);
  void OnPeerDown(const ProcessId& head, Router& router);

  /// \brief Dials heads without connection.
  void Tick(TimePoint now, const ConnectedPeers& peers, const Dial& dial);

  [[nodiscard]] const RouteCandidate* Find(GroupId group) const;
  /// \brief Open groups of a catalogue entry, connected or not.
  [[nodiscard]] std::size_t OpenCount(const EntryName& entry) const;

  static constexpr Duration kDialInterval = std::chrono::seconds(1);

private:
  struct Row
  {
    RouteCandidate candidate;
    wire::RouteState state = wire::RouteState::Open;
  };

  void Take(const wire::RouteT& route, const ConnectedPeers& peers, Router& router);
  void Drop(GroupId group, Router& router);
  void DropUnlisted(const wire::RoutesUpdateT& update, Router& router);

  ProcessId m_source;
  std::map<GroupId, Row> m_rows;
  TimePoint m_nextDial{};
};

} // namespace gooseberrysail
