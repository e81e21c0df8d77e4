#pragma once

#include "gooseberrysail/placement/planner.hpp"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace gooseberrysail::test {

/// \brief The control leader's tables, filled by a test, and a planner that is called on them.
/// \code
/// PlacementTables tables;
/// tables.AddModel("m", 1);
/// tables.AddVms("fabric-a", "a", 5);
/// tables.Apply(tables.Plan(1s));
/// \endcode
struct PlacementTables
{
  struct Group
  {
    GroupView view;
    std::vector<VmId> members;
  };

  PolicySpec policy;
  std::deque<ModelSpec> specs;
  std::vector<ModelView> models;
  std::vector<VmView> vms;
  std::deque<Group> groups;
  PlacementPlanner planner;
  TimePoint now{ std::chrono::hours(1) };
  std::uint64_t nextGroup = 1;

  ModelSpec& AddModel(const std::string& name,
                      std::uint32_t replicas,
                      std::uint32_t members = 4,
                      PriorityClass priorityClass = PriorityClass::kStandard)
  {
    ModelSpec& spec = specs.emplace_back();
    spec.version = "v1";
    spec.replicas = replicas;
    spec.membersPerReplica = members;
    models.push_back({ EntryName(name), priorityClass, &spec });
    return spec;
  }

  void AddVms(const std::string& fabric, const std::string& prefix, std::size_t count)
  {
    for (std::size_t index = 0; index < count; ++index) {
      VmView vm;
      vm.vm = VmId(prefix + std::to_string(index));
      vm.fabricDomain = FabricDomainId(fabric);
      vm.failureDomain = FailureDomainId("of-" + fabric);
      vm.accelerators = 2;
      vm.lastHeard = now;
      vms.push_back(vm);
    }
  }

  static std::string Weights(std::string model, const std::string& version)
  {
    return model.append("@").append(version);
  }

  VmView& Vm(const std::string& name) { return *std::ranges::find(vms, VmId(name), &VmView::vm); }

  /// \brief Adds a serving group, formed 30 minutes ago.
  GroupId AddGroup(const std::string& model,
                   const std::vector<std::string>& members,
                   const std::string& version = "v1")
  {
    Group& group = groups.emplace_back();
    group.view.group = GroupId(nextGroup++);
    group.view.entry = EntryName(model);
    group.view.modelVersion = version;
    group.view.serving = true;
    group.view.formedAt = now - std::chrono::minutes(30);
    for (const std::string& name : members) {
      group.members.emplace_back(name);
      Vm(name).group = group.view.group;
      Vm(name).loadedModel = Weights(model, version);
    }
    return group.view.group;
  }

  Group* Find(GroupId id)
  {
    const auto found =
      std::ranges::find_if(groups, [id](const Group& g) { return g.view.group == id; });
    return found == groups.end() ? nullptr : &*found;
  }

  void Lose(const std::string& name)
  {
    VmView& vm = Vm(name);
    vm.reachable = false;
    vm.lastHeard = now;
    if (Group* group = Find(vm.group); group != nullptr) {
      group->view.serving = false;
      group->view.brokenSince = group->view.brokenSince.value_or(now);
    }
  }

  /// \param keptWeights False after a restart: the group must load before it serves again.
  void Return(const std::string& name, bool keptWeights = true)
  {
    VmView& vm = Vm(name);
    vm.reachable = true;
    vm.lastHeard = now;
    if (!keptWeights) {
      vm.loadedModel.clear();
    }
    if (Group* group = Find(vm.group); group != nullptr) {
      UpdateServing(*group);
    }
  }

  void UpdateServing(Group& group)
  {
    const auto holds = [&](const VmId& id) {
      const VmView& vm = Vm(id.Get());
      return vm.loadedModel == Weights(group.view.entry.Get(), group.view.modelVersion);
    };
    if (std::ranges::all_of(group.members,
                            [&](const VmId& id) { return Vm(id.Get()).reachable; })) {
      group.view.brokenSince.reset();
      group.view.serving = std::ranges::all_of(group.members, holds);
    }
  }

  /// \brief Gives every member the group's weights, so that the group serves if all are reachable.
  void LoadWeights(GroupId id)
  {
    Group& group = *Find(id);
    for (const VmId& member : group.members) {
      Vm(member.Get()).loadedModel = Weights(group.view.entry.Get(), group.view.modelVersion);
    }
    UpdateServing(group);
  }

  std::vector<PlannerAction> Plan(Duration step = std::chrono::seconds(1))
  {
    now += step;
    std::vector<GroupView> views;
    for (Group& group : groups) {
      group.view.members = group.members;
      views.push_back(group.view);
    }
    for (VmView& vm : vms) {
      vm.lastHeard = vm.reachable ? now : vm.lastHeard;
    }
    return planner.Plan(now, { vms, views, models, &policy });
  }

  void FreeMembers(GroupId id)
  {
    for (VmView& vm : vms) {
      if (vm.group == id) {
        vm.group = GroupId();
      }
    }
    std::erase_if(groups, [id](const Group& g) { return g.view.group == id; });
  }

  /// \brief Applies all actions at once; a drained group is idle immediately.
  void Apply(const std::vector<PlannerAction>& actions)
  {
    for (const PlannerAction& action : actions) {
      if (const auto* form = std::get_if<FormGroupAction>(&action)) {
        Form(*form);
      } else if (const auto* dissolve = std::get_if<DissolveGroupAction>(&action)) {
        FreeMembers(dissolve->group);
      } else if (const auto* drain = std::get_if<DrainGroupAction>(&action)) {
        FreeMembers(drain->group);
      }
    }
  }

  void Form(const FormGroupAction& form)
  {
    Group& group = groups.emplace_back();
    group.view.group = GroupId(nextGroup++);
    group.view.entry = form.entry;
    group.view.modelVersion = form.modelVersion;
    group.view.formedAt = now;
    group.members = form.members;
    for (const VmId& member : form.members) {
      Vm(member.Get()).group = group.view.group;
    }
    UpdateServing(group);
  }

  /// \brief Plans and applies the actions once a second.
  std::vector<PlannerAction> Run(Duration time)
  {
    std::vector<PlannerAction> all;
    for (const TimePoint end = now + time; now < end;) {
      const std::vector<PlannerAction> actions = Plan();
      Apply(actions);
      all.insert(all.end(), actions.begin(), actions.end());
    }
    return all;
  }
};

template<class Action>
std::vector<Action> ActionsOfType(const std::vector<PlannerAction>& actions)
{
  std::vector<Action> found;
  for (const PlannerAction& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

} // namespace gooseberrysail::test
