#pragma once

#include "gooseberrysail/agent/assignment.hpp"
#include "gooseberrysail/agent/nonce_ring.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <optional>
#include <span>
#include <vector>

namespace gooseberrysail {

/// \brief What the head knows of one member.
struct MemberBeat
{
  VmId vm;
  std::optional<TimePoint> askedAt; ///< When the question was sent that it answered last.
  bool weightsLoaded = false;
  bool leaving = false; ///< Its agent was told to stop.
};

/// \brief The head's table of heartbeats for the current group epoch.
/// \remarks A beat counts from when the head asked. Counted from its arrival, replies that waited
/// in a buffer while this process was paused would make a dead member look alive.
class BeatTable
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(300);

  void Begin(const Assignment& assignment);
  void Clear();

  [[nodiscard]] bool Due(TimePoint now) const noexcept;
  void OnAsked(TimePoint now, std::uint64_t nonce);
  /// \returns False when the nonce is not one of the latest rounds or the member is not ours.
  bool OnReply(const VmId& vm,
               std::uint64_t nonce,
               bool engineAlive,
               bool weightsLoaded,
               bool leaving);
  /// \brief The own target answered a probe sent at `askedAt`.
  void OnOwnTarget(const VmId& vm, TimePoint askedAt, bool weightsLoaded);

  [[nodiscard]] std::span<const MemberBeat> Rows() const noexcept { return m_rows; }

private:
  [[nodiscard]] MemberBeat* Find(const VmId& vm) noexcept;

  std::vector<MemberBeat> m_rows;
  impl::NonceRing m_rounds;
};

} // namespace gooseberrysail
