#pragma once

#include "gooseberrysail/control/engine_groups.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief The input and outputs of one tick of EngineGroups.
struct EngineGroups::Pass
{
  const GroupsInput& input;
  std::vector<GroupOrder>& orders;
  std::vector<EventOut>& events;
  std::vector<GroupKey> dropped;     ///< Groups whose members are free.
  std::vector<GroupKey> unreachable; ///< Groups to drop until a member reports them again.

  [[nodiscard]] const TargetRow* Row(const InstanceId& instance) const
  {
    return input.targets.Find(instance);
  }

  [[nodiscard]] bool IsEvacuated(const TargetRow& row) const
  {
    return input.evacuated.contains(row.latest.failureDomain);
  }

  /// \brief Whether the group gets no requests because its head is in an evacuated domain.
  [[nodiscard]] bool IsEvacuated(const Group& group) const
  {
    const TargetRow* head = Row(group.members.front());
    return head != nullptr && IsEvacuated(*head);
  }

  /// \brief Null when the document has no such service or the service has no engine.
  [[nodiscard]] const EngineSpec* EngineOf(const std::string& service) const
  {
    return FindEngine(input.document, service);
  }
};

namespace impl {

/// Name prefix of the groups of one standby target that holds weights; they are never opened.
inline const std::string kStandbyPrefix = "standby-";

/// The epochs of groups are even, and the one after each is its fence: an epoch of single targets,
/// which is never opened.
constexpr std::uint64_t kEpochStep = 2;

[[nodiscard]] inline bool IsFence(const GroupMembership& membership) noexcept
{
  return membership.epoch.Get() % kEpochStep != 0 && membership.rank == 0 &&
         (membership.state == wire::MemberState::Joining ||
          membership.state == wire::MemberState::Ready);
}

[[nodiscard]] inline bool Reports(const TargetRow* row, const std::string& group, Epoch epoch)
{
  return row != nullptr && row->latest.membership.group == group &&
         row->latest.membership.epoch == epoch;
}

[[nodiscard]] inline bool IsOpenState(wire::MemberState state) noexcept
{
  return state == wire::MemberState::Open || state == wire::MemberState::Closing;
}

[[nodiscard]] inline bool IsLeaving(const TargetRow* row)
{
  return row == nullptr || row->latest.left || row->latest.draining;
}

/// An order for the current incarnation of a target.
[[nodiscard]] inline GroupOrder MakeOrder(const TargetRow& row, GroupOrderKind kind)
{
  GroupOrder order;
  order.target = row.latest.instance;
  order.address = row.latest.address;
  order.kind = kind;
  order.born = row.latest.born;
  return order;
}

[[nodiscard]] inline const GroupModel* FindModel(const EngineSpec& engine, const std::string& name)
{
  const auto found = std::ranges::find(engine.models, name, &GroupModel::name);
  return found == engine.models.end() ? nullptr : &*found;
}

} // namespace impl

} // namespace gooseberrysail
