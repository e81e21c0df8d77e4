#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"

#include <commands_generated.h>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief A committed target VM with its record and its group.
struct VmRow
{
  wire::VmRecordT record;
  GroupId group; ///< None when free.
};

/// \brief A committed group. Its epoch equals its id: the log index at which it was formed.
struct GroupRow
{
  GroupId group;
  EntryName entry;
  std::string modelVersion;
  VmId head;
  std::vector<VmId> members;
  bool draining = false;
  bool dissolved = false; ///< Grants no more leases; waits until all members are freed.
  std::string reason;     ///< Why it is draining or dissolved.
  std::vector<VmId> freed;

  [[nodiscard]] bool HasMember(const VmId& vm) const;
  [[nodiscard]] bool IsFreed(const VmId& vm) const;
};

/// \brief The replicated VMs and groups.
/// \remarks No VM belongs to two groups: Form refuses a VM that is not free, whatever state the
/// proposer had, and the log puts all proposals into one order.
class GroupTable
{
public:
  /// \brief Why a command had no effect; empty when it had one.
  using Refusal = std::string;

  Refusal Upsert(const wire::VmRecordT& record);
  Refusal Remove(const VmId& vm);
  Refusal Form(LogIndex index, const wire::FormGroupT& command);
  Refusal Drain(GroupId group, const std::string& reason);
  Refusal Dissolve(GroupId group, const std::string& reason);
  /// \brief Frees a member of a dissolved group; freeing the last one removes the group.
  Refusal Free(const VmId& vm, GroupId group);

  [[nodiscard]] const VmRow* FindVm(const VmId& vm) const;
  [[nodiscard]] const GroupRow* FindGroup(GroupId group) const;
  [[nodiscard]] const std::unordered_map<VmId, VmRow>& Vms() const noexcept { return m_vms; }
  [[nodiscard]] const std::map<GroupId, GroupRow>& Groups() const noexcept { return m_groups; }

  /// \brief Increases with each change, so that readers can skip an unchanged table.
  [[nodiscard]] std::uint64_t Revision() const noexcept { return m_revision; }

  void SaveTo(wire::ControlSnapshotT& snapshot) const;
  void LoadFrom(const wire::ControlSnapshotT& snapshot);

  static constexpr std::size_t kMaxVms = 20'000;

private:
  [[nodiscard]] Refusal CheckMembers(const wire::FormGroupT& command) const;

  std::unordered_map<VmId, VmRow> m_vms;
  std::map<GroupId, GroupRow> m_groups;
  std::uint64_t m_revision = 0;
};

} // namespace gooseberrysail
