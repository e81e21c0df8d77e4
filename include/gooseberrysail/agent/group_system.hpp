#pragma once

#include "gooseberrysail/agent/assignment.hpp"
#include "gooseberrysail/agent/heartbeats.hpp"
#include "gooseberrysail/agent/config_client.hpp"
#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/control_link.hpp"
#include "gooseberrysail/agent/engine_orders.hpp"
#include "gooseberrysail/agent/gate.hpp"
#include "gooseberrysail/agent/lease.hpp"
#include "gooseberrysail/agent/request_system.hpp"
#include "gooseberrysail/agent/target_probe.hpp"

#include <functional>
#include <optional>

namespace gooseberrysail {

/// \brief The agent's part in its group: assignment and release, heartbeats, lease, the gate.
class GroupSystem
{
public:
  struct Parts
  {
    ControlLink& link;
    ConfigClient& config;
    TargetProbe& probe;
    EngineOrders& orders;
  };
  GroupSystem(const AgentSettings& settings, Parts parts, std::function<std::uint64_t()> random);

  void OnAssign(impl::AgentContext& context,
                RequestSystem& requests,
                const FrameIn& frame,
                const wire::AssignT& assign);
  void OnRelease(impl::AgentContext& context, const FrameIn& frame, const wire::ReleaseT& release);
  void OnGrant(impl::AgentContext& context, const FrameIn& frame, const wire::LeaseGrantT& grant);
  void OnBeatRequest(impl::AgentContext& context,
                     const FrameIn& frame,
                     const wire::BeatRequestT& request);
  void OnBeatReply(const wire::BeatReplyT& reply);
  void SetLeaving() noexcept { m_leaving = true; }

  void Tick(impl::AgentContext& context, RequestSystem& requests);

  [[nodiscard]] GateState Gate(TimePoint now) const;
  [[nodiscard]] GateState Whole(TimePoint now) const;
  [[nodiscard]] RequestLimits Limits() const;
  [[nodiscard]] const GroupMembership& Members() const noexcept { return m_membership; }
  /// \brief Whether a head's beat request was answered lately.
  [[nodiscard]] bool HearsHead(TimePoint now) const noexcept;
  [[nodiscard]] bool WeightsLoaded() const noexcept;

private:
  [[nodiscard]] GateFacts Facts() const;
  [[nodiscard]] Duration MemberTimeout() const;
  [[nodiscard]] Duration QuietTime() const;
  [[nodiscard]] std::optional<VmId> DrainingMember() const;
  void AskBeats(impl::AgentContext& context);
  void Report(impl::AgentContext& context, const RequestSystem& requests);
  void AdvanceRelease(impl::AgentContext& context, RequestSystem& requests);
  void SendReleased(impl::AgentContext& context, const ProcessId& to, GroupId group, Epoch epoch);
  void NoteGate(impl::AgentContext& context);

  const AgentSettings& m_settings;
  Parts m_parts;
  std::function<std::uint64_t()> m_random;
  GroupMembership m_membership;
  BeatTable m_beats;
  GroupLease m_lease;
  bool m_leaving = false;
  /// When this VM last vouched for its engine to a head, in this or an earlier epoch.
  std::optional<TimePoint> m_lastVouched;
  /// Until then the head of an earlier epoch may still count on this VM.
  TimePoint m_quietUntil{};
  ProcessId m_releasedBy;
  bool m_reportedReady = false;
  GateReason m_notedGate = GateReason::kNoGroup;
  VmId m_notedMember;
};

} // namespace gooseberrysail
