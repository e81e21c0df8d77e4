#pragma once

#include "gooseberrysail/agent/assignment.hpp"
#include "gooseberrysail/agent/nonce_ring.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <optional>
#include <span>
#include <vector>

namespace gooseberrysail {

/// \brief State of one member as recorded by the head.
struct MemberHeartbeat
{
  VmId vm;
  std::optional<TimePoint> aliveAsOf; ///< When the latest request that it answered was sent.
  bool weightsLoaded = false;
  bool leaving = false; ///< Its agent is stopping.
};

/// \brief The head's table of heartbeats for the current group epoch.
/// \remarks A reply counts from the time at which its request was sent. If it counted from its
/// arrival, replies that were buffered while this process was paused would make a dead member look
/// alive.
class HeartbeatTable
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(300);

  void Begin(const Assignment& assignment);
  void Clear();

  [[nodiscard]] bool Due(TimePoint now) const noexcept;
  void OnRequestSent(TimePoint now, std::uint64_t nonce);
  /// \returns False when the nonce belongs to none of the latest requests or the VM is no member.
  bool OnReply(const VmId& vm,
               std::uint64_t nonce,
               bool engineAlive,
               bool weightsLoaded,
               bool leaving);
  /// \brief Records that this VM's own target answered a probe sent at `aliveAsOf`.
  void OnOwnTarget(const VmId& vm, TimePoint aliveAsOf, bool weightsLoaded);

  [[nodiscard]] std::span<const MemberHeartbeat> Rows() const noexcept { return m_rows; }

private:
  [[nodiscard]] MemberHeartbeat* Find(const VmId& vm) noexcept;

  std::vector<MemberHeartbeat> m_rows;
  impl::NonceRing m_requests;
};

} // namespace gooseberrysail
