#include "gooseberrysail/control/group_table.hpp"

#include <algorithm>
#include <set>

namespace gooseberrysail {

namespace {

std::vector<VmId> ToIds(const std::vector<std::string>& names)
{
  std::vector<VmId> ids;
  ids.reserve(names.size());
  for (const std::string& name : names) {
    ids.emplace_back(name);
  }
  return ids;
}

std::vector<std::string> ToNames(const std::vector<VmId>& ids)
{
  std::vector<std::string> names;
  names.reserve(ids.size());
  for (const VmId& vm : ids) {
    names.push_back(vm.Get());
  }
  return names;
}

bool Contains(const std::vector<VmId>& ids, const VmId& vm)
{
  return std::find(ids.begin(), ids.end(), vm) != ids.end();
}

} // namespace

bool GroupRow::HasMember(const VmId& vm) const
{
  return Contains(members, vm);
}

bool GroupRow::IsFreed(const VmId& vm) const
{
  return Contains(freed, vm);
}

GroupTable::Refusal GroupTable::Upsert(const wire::VmRecordT& record)
{
  const VmId vm(record.vm);
  const auto found = m_vms.find(vm);
  if (found == m_vms.end()) {
    if (m_vms.size() >= kMaxVms) {
      return "there are already " + std::to_string(kMaxVms) + " VMs";
    }
    m_vms.emplace(vm, VmRow{ record, GroupId() });
    ++m_revision;
    return {};
  }
  found->second.record = record;
  ++m_revision;
  return {};
}

GroupTable::Refusal GroupTable::Remove(const VmId& vm)
{
  const auto found = m_vms.find(vm);
  if (found == m_vms.end()) {
    return "no such VM";
  }
  if (!found->second.group.IsNone()) {
    return "the VM belongs to a group";
  }
  m_vms.erase(found);
  ++m_revision;
  return {};
}

GroupTable::Refusal GroupTable::CheckMembers(const wire::FormGroupT& command) const
{
  std::set<std::string> distinct;
  std::set<std::string> fabricDomains;
  for (const std::string& name : command.members) {
    const VmRow* row = FindVm(VmId(name));
    if (row == nullptr) {
      return "unknown VM " + name;
    }
    // The proposer may be a leader that was deposed while its proposal was in progress, or its
    // state may be older than the log. Without this check the VM could be in two groups, and both
    // heads would use it as their member.
    if (!row->group.IsNone()) {
      return "VM " + name + " belongs to group " + std::to_string(row->group.Get());
    }
    if (!distinct.insert(name).second) {
      return "VM " + name + " is named twice";
    }
    fabricDomains.insert(row->record.fabricDomain);
  }
  if (distinct.empty() || !distinct.contains(command.head)) {
    return "the head is no member";
  }
  if (fabricDomains.size() > 1) {
    return "the members are in different fabric domains";
  }
  return {};
}

GroupTable::Refusal GroupTable::Form(LogIndex index, const wire::FormGroupT& command)
{
  Refusal refusal = CheckMembers(command);
  if (!refusal.empty()) {
    return refusal;
  }
  GroupRow row;
  row.group = GroupId(index.Get());
  row.entry = EntryName(command.entry);
  row.modelVersion = command.modelVersion;
  row.head = VmId(command.head);
  row.members = ToIds(command.members);
  for (const VmId& vm : row.members) {
    m_vms.at(vm).group = row.group;
  }
  m_groups.emplace(row.group, std::move(row));
  ++m_revision;
  return {};
}

GroupTable::Refusal GroupTable::Drain(GroupId group, const std::string& reason)
{
  const auto found = m_groups.find(group);
  if (found == m_groups.end()) {
    return "no such group";
  }
  if (found->second.draining || found->second.dissolved) {
    return "the group is already leaving";
  }
  found->second.draining = true;
  found->second.reason = reason;
  ++m_revision;
  return {};
}

GroupTable::Refusal GroupTable::Dissolve(GroupId group, const std::string& reason)
{
  const auto found = m_groups.find(group);
  if (found == m_groups.end()) {
    return "no such group";
  }
  if (found->second.dissolved) {
    return "the group is already dissolved";
  }
  found->second.dissolved = true;
  found->second.reason = reason;
  ++m_revision;
  return {};
}

GroupTable::Refusal GroupTable::Free(const VmId& vm, GroupId group)
{
  const auto found = m_groups.find(group);
  if (found == m_groups.end()) {
    return "no such group";
  }
  GroupRow& row = found->second;
  if (!row.dissolved) {
    return "the group is not dissolved";
  }
  if (!row.HasMember(vm) || row.IsFreed(vm)) {
    return "the VM is no member";
  }
  row.freed.push_back(vm);
  m_vms.at(vm).group = GroupId();
  if (row.freed.size() == row.members.size()) {
    m_groups.erase(found);
  }
  ++m_revision;
  return {};
}

const VmRow* GroupTable::FindVm(const VmId& vm) const
{
  const auto found = m_vms.find(vm);
  return found == m_vms.end() ? nullptr : &found->second;
}

const GroupRow* GroupTable::FindGroup(GroupId group) const
{
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? nullptr : &found->second;
}

void GroupTable::SaveTo(wire::ControlSnapshotT& snapshot) const
{
  std::vector<const VmRow*> rows;
  rows.reserve(m_vms.size());
  for (const auto& [vm, row] : m_vms) {
    rows.push_back(&row);
  }
  // Sorted, so that equal states give identical snapshots on every voter.
  std::sort(rows.begin(), rows.end(), [](const VmRow* left, const VmRow* right) {
    return left->record.vm < right->record.vm;
  });
  for (const VmRow* row : rows) {
    snapshot.vms.push_back(std::make_unique<wire::VmRecordT>(row->record));
  }
  for (const auto& [group, row] : m_groups) {
    auto record = std::make_unique<wire::GroupRecordT>();
    record->group = group.Get();
    record->epoch = group.Get();
    record->entry = row.entry.Get();
    record->modelVersion = row.modelVersion;
    record->head = row.head.Get();
    record->members = ToNames(row.members);
    record->draining = row.draining;
    record->dissolved = row.dissolved;
    record->reason = row.reason;
    record->freed = ToNames(row.freed);
    snapshot.groups.push_back(std::move(record));
  }
}

void GroupTable::LoadFrom(const wire::ControlSnapshotT& snapshot)
{
  m_vms.clear();
  m_groups.clear();
  ++m_revision;
  for (const auto& record : snapshot.vms) {
    m_vms.emplace(VmId(record->vm), VmRow{ *record, GroupId() });
  }
  for (const auto& record : snapshot.groups) {
    GroupRow row;
    row.group = GroupId(record->group);
    row.entry = EntryName(record->entry);
    row.modelVersion = record->modelVersion;
    row.head = VmId(record->head);
    row.members = ToIds(record->members);
    row.draining = record->draining;
    row.dissolved = record->dissolved;
    row.reason = record->reason;
    row.freed = ToIds(record->freed);
    for (const VmId& vm : row.members) {
      if (!row.IsFreed(vm)) {
        m_vms.at(vm).group = row.group;
      }
    }
    m_groups.emplace(row.group, std::move(row));
  }
}

} // namespace gooseberrysail
