#pragma once

#include "gooseberrysail/agent/assignment.hpp"
#include "gooseberrysail/agent/config_client.hpp"
#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/control_link.hpp"
#include "gooseberrysail/agent/engine_orders.hpp"
#include "gooseberrysail/agent/gate.hpp"
#include "gooseberrysail/agent/heartbeats.hpp"
#include "gooseberrysail/agent/lease.hpp"
#include "gooseberrysail/agent/request_system.hpp"
#include "gooseberrysail/agent/target_probe.hpp"

#include <functional>
#include <optional>

namespace gooseberrysail {

/// \brief The agent's group handling: assignment and release, heartbeats, lease and gate.
class GroupSystem
{
public:
  struct Dependencies
  {
    ControlLink& link;
    ConfigClient& config;
    TargetProbe& probe;
    EngineOrders& orders;
  };
  GroupSystem(const AgentSettings& settings,
              Dependencies dependencies,
              std::function<std::uint64_t()> random);

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
  [[nodiscard]] GateState GroupIntact(TimePoint now) const;
  [[nodiscard]] RequestLimits Limits() const;
  [[nodiscard]] const VmMembership& Membership() const noexcept { return m_membership; }
  /// \brief Whether this agent answered a head's heartbeat request within the last seconds.
  [[nodiscard]] bool AnsweredHeadRecently(TimePoint now) const noexcept;
  [[nodiscard]] bool WeightsLoaded() const noexcept;

private:
  [[nodiscard]] GateInputs CollectGateInputs() const;
  [[nodiscard]] Duration MemberTimeout() const;
  [[nodiscard]] Duration MemberTimeoutWithDrift() const;
  [[nodiscard]] std::optional<VmId> DrainingMember() const;
  void SendHeartbeatRequests(impl::AgentContext& context);
  void SendReport(impl::AgentContext& context, const RequestSystem& requests);
  void AdvanceRelease(impl::AgentContext& context, RequestSystem& requests);
  void SendReleased(impl::AgentContext& context, const ProcessId& to, GroupId group, Epoch epoch);
  void EmitGateChange(impl::AgentContext& context);

  const AgentSettings& m_settings;
  Dependencies m_dependencies;
  std::function<std::uint64_t()> m_random;
  VmMembership m_membership;
  HeartbeatTable m_heartbeats;
  GroupLease m_lease;
  bool m_leaving = false;
  /// When this agent last answered a head's heartbeat request, in this or an earlier epoch.
  std::optional<TimePoint> m_lastHeartbeatReply;
  /// Until then the head of an earlier epoch may still count this VM as a live member.
  TimePoint m_noReplyUntil{};
  ProcessId m_releasedBy;
  bool m_reportedReady = false;
  GateReason m_emittedGateReason = GateReason::kNoGroup;
  VmId m_emittedGateMember;
};

} // namespace gooseberrysail
