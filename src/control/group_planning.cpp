#include "gooseberrysail/control/group_planning.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// Interval when the planner's inputs have changed.
constexpr Duration kMinPlanInterval = std::chrono::milliseconds(200);

/// \brief Whether a VM may join a group now.
bool IsUsable(const ControlContext& context, const TargetMembership& membership, const VmId& vm)
{
  const VmRow* row = context.state.GetGroups().FindVm(vm);
  return row != nullptr && row->group.IsNone() && membership.IsReachable(context, *row) &&
         !membership.IsLeaving(context, vm);
}

void ProposeDrain(ControlContext& context, GroupId group, const std::string& reason)
{
  wire::DrainGroupT command;
  command.group = group.Get();
  command.reason = reason;
  context.proposer.ProposeOnce(context.now, "drain " + std::to_string(group.Get()), command);
}

} // namespace

/// \brief Storage that the spans of the planner's input refer to.
struct GroupPlanning::Views
{
  std::vector<VmView> vms;
  std::vector<GroupView> groups;
  std::vector<ModelView> models;
};

void GroupPlanning::Tick(ControlContext& context, const TargetMembership& membership)
{
  if (!context.HasFreshQuorum()) {
    return;
  }
  const std::tuple revisions(
    context.state.GetGroups().Revision(), membership.Observations(), context.catalogue.Version());
  const Duration interval = revisions == m_plannedRevisions ? kPlanInterval : kMinPlanInterval;
  if (context.now - m_lastPlan < interval) {
    return;
  }
  m_lastPlan = context.now;
  m_plannedRevisions = revisions;
  DrainOrphans(context);
  FormServiceGroups(context, membership);
  RunPlanner(context, membership);
}

void GroupPlanning::DrainOrphans(ControlContext& context)
{
  for (const auto& [group, row] : context.state.GetGroups().Groups()) {
    const bool served = context.catalogue.FindModel(row.entry) != nullptr ||
                        context.catalogue.FindService(row.entry) != nullptr;
    if (!served && !row.draining && !row.dissolved) {
      ProposeDrain(context, group, "entry " + row.entry.Get() + " was removed");
    }
  }
}

void GroupPlanning::FormServiceGroups(ControlContext& context, const TargetMembership& membership)
{
  if (context.catalogue.All(wire::EntryKind::Service).empty()) {
    return;
  }
  for (const auto& [vm, row] : context.state.GetGroups().Vms()) {
    const bool wanted = row.record.kind == wire::TargetKind::Service && row.group.IsNone() &&
                        context.catalogue.FindService(EntryName(row.record.service)) != nullptr;
    if (wanted && IsUsable(context, membership, vm)) {
      Propose(context, membership, FormGroupAction{ EntryName(row.record.service), "", { vm } });
    }
  }
}

void GroupPlanning::SortEngines(const GroupTable& table)
{
  if (m_sortedRevision == table.Revision()) {
    return;
  }
  m_sortedRevision = table.Revision();
  m_engines.clear();
  for (const auto& [vm, row] : table.Vms()) {
    if (row.record.kind == wire::TargetKind::Engine) {
      m_engines.push_back(vm);
    }
  }
  // Sorted, so that the plan does not depend on the iteration order of the hash table.
  std::sort(m_engines.begin(), m_engines.end());
}

void GroupPlanning::RunPlanner(ControlContext& context, const TargetMembership& membership)
{
  Views views;
  const GroupTable& table = context.state.GetGroups();
  for (const auto& [name, entry] : context.catalogue.All(wire::EntryKind::Model)) {
    views.models.push_back(
      ModelView{ entry.name, entry.priorityClass, &std::get<ModelSpec>(entry.spec) });
  }
  SortEngines(table);
  views.vms.reserve(m_engines.size());
  for (const VmId& vm : m_engines) {
    const VmRow* row = table.FindVm(vm);
    VmView& view = views.vms.emplace_back();
    view.vm = vm;
    view.failureDomain = FailureDomainId(row->record.failureDomain);
    view.fabricDomain = FabricDomainId(row->record.fabricDomain);
    view.accelerators = row->record.accelerators;
    view.group = row->group;
    view.reachable = membership.IsReachable(context, *row);
    view.draining = membership.IsLeaving(context, view.vm);
    if (const VmRuntimeState* live = membership.FindVm(view.vm)) {
      view.lastHeard = live->lastHeard;
      view.loadedModel = live->loadedModel;
    }
  }
  for (const auto& [group, row] : table.Groups()) {
    if (row.dissolved || context.catalogue.FindModel(row.entry) == nullptr) {
      continue;
    }
    GroupView view;
    view.group = group;
    view.entry = row.entry;
    view.modelVersion = row.modelVersion;
    view.members = row.members;
    view.draining = row.draining;
    view.serving = membership.IsServing(context, row);
    if (const GroupRuntimeState* live = membership.FindGroup(group)) {
      view.formedAt = live->firstSeen;
      view.brokenSince = live->brokenSince;
    }
    views.groups.push_back(std::move(view));
  }
  PlannerInput input;
  input.vms = views.vms;
  input.groups = views.groups;
  input.models = views.models;
  input.policy = &context.catalogue.Policy();
  for (const PlannerAction& action : m_plan(context.now, input)) {
    Propose(context, membership, action);
  }
}

void GroupPlanning::Propose(ControlContext& context,
                            const TargetMembership& membership,
                            const PlannerAction& action)
{
  if (const auto* form = std::get_if<FormGroupAction>(&action)) {
    const bool usable =
      !form->members.empty() &&
      std::all_of(form->members.begin(), form->members.end(), [&](const VmId& vm) {
        return IsUsable(context, membership, vm);
      });
    if (!usable) {
      return;
    }
    wire::FormGroupT command;
    command.entry = form->entry.Get();
    command.modelVersion = form->modelVersion;
    command.head = form->members.front().Get();
    for (const VmId& vm : form->members) {
      command.members.push_back(vm.Get());
    }
    context.proposer.ProposeOnce(context.now, "form " + command.head, command);
  } else if (const auto* drain = std::get_if<DrainGroupAction>(&action)) {
    ProposeDrain(context, drain->group, drain->reason);
  } else if (const auto* dissolve = std::get_if<DissolveGroupAction>(&action)) {
    wire::DissolveGroupT command;
    command.group = dissolve->group.Get();
    command.reason = dissolve->reason;
    context.proposer.ProposeOnce(context.now, "dissolve " + std::to_string(command.group), command);
  }
}

} // namespace gooseberrysail
