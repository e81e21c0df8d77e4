#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <string>
#include <unordered_map>

namespace gooseberrysail {

/// \brief A process to which this one is connected.
struct Peer
{
  std::string role;
  Incarnation incarnation;
  std::string address;
};

/// \brief The processes that are connected at present.
class ConnectedPeers
{
public:
  void OnUp(const PeerUp& up) { m_peers[up.peer] = { up.role, up.incarnation, up.address }; }

  /// \returns Whether the peer is disconnected now; false when another incarnation of it is
  /// connected.
  bool OnDown(const PeerDown& down)
  {
    const auto found = m_peers.find(down.peer);
    if (found == m_peers.end()) {
      return true;
    }
    if (found->second.incarnation != down.incarnation) {
      return false;
    }
    m_peers.erase(found);
    return true;
  }

  [[nodiscard]] const Peer* Find(const ProcessId& peer) const
  {
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? nullptr : &found->second;
  }

private:
  std::unordered_map<ProcessId, Peer> m_peers;
};

} // namespace gooseberrysail
