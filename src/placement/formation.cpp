#include "placement/formation.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace gooseberrysail::impl {

namespace {

/// \brief Ranks a VM by the weights it holds, for a group of `model`: smaller is better.
int Distance(const Fleet& fleet, Row vm, Row model)
{
  if (fleet.HoldsWeights(vm, model)) {
    return 0;
  }
  // A VM that holds another model's weights should be left for that model.
  return fleet.vms[vm].view->loadedModel.empty() ? 1 : 2;
}

struct Proposal
{
  Row fabric = kNoRow;
  std::vector<Row> members;
  bool needsLoad = true;
  std::size_t coldMembers = 0;
  std::uint32_t replicasInFailureDomain = 0;
  std::size_t available = 0;
};

/// Fewest members that must load first: without a load a group serves at once, which is worth more
/// than an even distribution, and each load avoided relieves the weight store. Then the failure
/// domain with the fewest replicas, so that the loss of one takes no more than its share of them.
bool IsBetter(const Proposal& left, const Proposal& right)
{
  return std::tuple(left.coldMembers, left.replicasInFailureDomain, right.available, left.fabric) <
         std::tuple(right.coldMembers, right.replicasInFailureDomain, left.available, right.fabric);
}

using ReplicaCounts = std::map<FailureDomainId, std::uint32_t>;

ReplicaCounts CountByFailureDomain(const Fleet& fleet, const FleetModel& model)
{
  ReplicaCounts counts;
  for (const Row row : model.groups) {
    const FleetGroup& group = fleet.groups[row];
    if (!group.ending && group.fabric != kNoRow) {
      ++counts[fleet.fabrics[group.fabric].failureDomain];
    }
  }
  return counts;
}

std::optional<Proposal> Propose(const Fleet& fleet, Row model, const ReplicaCounts& counts)
{
  std::optional<Proposal> best;
  for (Row row = 0; row < fleet.fabrics.size(); ++row) {
    const FleetFabric& fabric = fleet.fabrics[row];
    const std::uint32_t size = fleet.models[model].Size();
    if (fabric.available.size() < size) {
      continue;
    }
    Proposal proposal;
    proposal.fabric = row;
    proposal.members = ChooseMembers(fleet, model, fabric.available, size);
    proposal.needsLoad =
      !std::ranges::all_of(proposal.members, [&](Row vm) { return fleet.HoldsWeights(vm, model); });
    const auto found = counts.find(fabric.failureDomain);
    proposal.replicasInFailureDomain = found == counts.end() ? 0 : found->second;
    proposal.available = fabric.available.size();
    if (!best || IsBetter(proposal, *best)) {
      best = std::move(proposal);
    }
  }
  return best;
}

void Take(Fleet& fleet, const Proposal& proposal)
{
  for (const Row vm : proposal.members) {
    fleet.vms[vm].available = false;
    std::erase(fleet.fabrics[proposal.fabric].available, vm);
  }
}

FormGroupAction ToAction(const Fleet& fleet, const FleetModel& model, const Proposal& proposal)
{
  FormGroupAction action{ model.view->entry, model.view->spec->version, {} };
  for (const Row vm : proposal.members) {
    action.members.push_back(fleet.vms[vm].view->vm);
  }
  return action;
}

std::uint32_t CountReplicas(const Fleet& fleet, const FleetModel& model)
{
  return static_cast<std::uint32_t>(std::ranges::count_if(model.groups, [&](Row row) {
    // A group dissolved a moment ago still counts: its replacement is to use its survivors.
    return !fleet.groups[row].ending || fleet.groups[row].releasing;
  }));
}

} // namespace

std::vector<Row> ChooseMembers(const Fleet& fleet,
                               Row model,
                               std::vector<Row> candidates,
                               std::size_t count)
{
  const auto rank = [&](Row vm) {
    return std::tuple(fleet.vms[vm].suspect,
                      Distance(fleet, vm, model),
                      std::string_view(fleet.vms[vm].view->vm.Get()));
  };
  const auto kept = std::min(count, candidates.size());
  std::ranges::partial_sort(
    candidates, candidates.begin() + static_cast<std::ptrdiff_t>(kept), std::less{}, rank);
  candidates.resize(kept);
  return candidates;
}

std::vector<FormGroupAction> FormGroups(Fleet& fleet,
                                        const std::vector<std::uint32_t>& extraWanted,
                                        std::uint32_t& loadsLeft)
{
  std::vector<FormGroupAction> actions;
  for (Row row = 0; row < fleet.models.size(); ++row) {
    const FleetModel& model = fleet.models[row];
    const std::uint32_t wanted = model.Wanted() + extraWanted[row];
    ReplicaCounts counts = CountByFailureDomain(fleet, model);
    for (std::uint32_t replicas = CountReplicas(fleet, model); replicas < wanted; ++replicas) {
      const std::optional<Proposal> proposal = Propose(fleet, row, counts);
      if (!proposal || (proposal->needsLoad && loadsLeft == 0)) {
        break;
      }
      loadsLeft -= proposal->needsLoad ? 1 : 0;
      ++counts[fleet.fabrics[proposal->fabric].failureDomain];
      actions.push_back(ToAction(fleet, model, *proposal));
      Take(fleet, *proposal);
    }
  }
  return actions;
}

} // namespace gooseberrysail::impl
