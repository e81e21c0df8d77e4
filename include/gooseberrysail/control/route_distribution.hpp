#pragma once

#include "gooseberrysail/control/config_service.hpp"
#include "gooseberrysail/control/membership.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief A candidate group with its rendezvous weight for one entry process.
struct RouteWeight
{
  GroupId group;
  bool sameDomain = false; ///< In the entry process's failure domain.
  std::uint64_t weight = 0;
};

/// \brief Chooses the candidates of one entry process by rendezvous hashing: up to half of them
/// from its own failure domain, the others from all domains.
/// \remarks Adding or removing a group changes only the candidates that refer to it.
[[nodiscard]] std::vector<GroupId> ChooseRoutes(std::vector<RouteWeight> weights,
                                                std::size_t wanted);

/// \brief Sends each entry process the groups that it may route work to.
class RouteDistribution
{
public:
  void OnLeaderStart(const ControlContext& context);
  void OnPeerUp(const ProcessId& peer, Incarnation incarnation);
  void OnPeerDown(const ProcessId& peer);
  void OnAck(const ProcessId& peer, const wire::RoutesAckT& ack);

  void Tick(ControlContext& context,
            const TargetMembership& membership,
            const ConfigService& config);

  /// \brief The number of entry processes that were sent the group's route as open.
  [[nodiscard]] std::size_t HolderCount(GroupId group) const;

private:
  struct Client
  {
    bool needsFullUpdate = true;
    std::uint64_t sequence = 0;
    std::uint64_t acked = 0;
    TimePoint sentAt{};
    std::string failureDomain;
    std::map<GroupId, wire::RouteState> sent;
  };
  struct Row
  {
    wire::RouteT route;
  };
  struct OpenGroup
  {
    GroupId group;
    std::string failureDomain;
  };

  [[nodiscard]] bool RowsAreCurrent(const ControlContext& context,
                                    const TargetMembership& membership) const;
  void RefreshRows(ControlContext& context, const TargetMembership& membership);
  void RefreshClients(const ControlContext& context, const ConfigService& config);
  [[nodiscard]] std::map<GroupId, wire::RouteState> DesiredRoutes(const ControlContext& context,
                                                                  const ProcessId& process,
                                                                  const Client& client) const;
  void SendUpdate(ControlContext& context,
                  const ProcessId& process,
                  Client& client,
                  const std::map<GroupId, wire::RouteState>& desired);
  void SendClosed(ControlContext& context, const ProcessId& process, Client& client);

  std::unordered_map<ProcessId, Client> m_clients;
  std::map<GroupId, Row> m_rows;                           ///< Open and draining groups.
  std::map<std::string, std::vector<OpenGroup>> m_byEntry; ///< Open groups of each catalogue entry.
  std::set<GroupId> m_closed;                              ///< Closed since the last tick.
  bool m_opened = false; ///< A group was opened since the routes were last chosen.
  TimePoint m_nextChoice{};
  TimePoint m_nextRefresh{};
  /// Revisions of the inputs at the last refresh.
  std::pair<std::uint64_t, std::uint64_t> m_refreshedRevisions;
};

} // namespace gooseberrysail
