#include "placement/repair.hpp"

#include "placement/repair_cost.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace gooseberrysail::impl {

namespace {

using namespace std::chrono_literals;

/// While a fabric domain goes on losing VMs, nobody can tell how many it will be.
constexpr Duration kCalmTime = 3s;
/// A member that just came back is given this long to find its group again.
constexpr Duration kReturnGrace = 15s;
/// When all members are in reach of control, their own links get this long to heal.
constexpr Duration kHealTime = 30s;
/// A repair must save more than so many seconds of one group's downtime.
constexpr double kLeastSavingSeconds = 10;
/// A stand-in must save more than so many seconds of one group's downtime.
constexpr double kLeastStandInSeconds = 15;

bool JustReturned(const RepairInput& input, const FleetGroup& group)
{
  return std::ranges::any_of(group.members, [&](Row vm) {
    const VmHistory& history = input.history.At(vm);
    return !history.isAway && history.returnedAt && *history.returnedAt >= group.brokenSince &&
           input.fleet.now - *history.returnedAt < kReturnGrace;
  });
}

bool MayGiveUp(const RepairInput& input, const FleetGroup& group)
{
  if (group.model == kNoRow || group.ending || !group.broken) {
    return false;
  }
  if (group.missing.empty() && group.unknown == 0 &&
      input.fleet.now - group.brokenSince < kHealTime) {
    return false;
  }
  // Lost members aside, one that just came back shows that others may follow.
  return !JustReturned(input, group);
}

/// Two VMs lost within the time it takes to notice a dark domain may be its beginning.
bool GoesOnLosing(const RepairInput& input, const FleetFabric& fabric)
{
  const auto lately = std::ranges::count_if(fabric.away, [&](Row vm) {
    return input.fleet.now - input.history.At(vm).awaySince < kCalmTime;
  });
  return lately > 1;
}

using Outlooks = std::vector<Outlook>;
using Order = std::vector<Outlook*>;

Outlooks ForeseeAll(const RepairInput& input, Row fabric)
{
  Outlooks outlooks;
  if (GoesOnLosing(input, input.fleet.fabrics[fabric])) {
    return outlooks;
  }
  for (const Row row : input.fleet.fabrics[fabric].broken) {
    if (MayGiveUp(input, input.fleet.groups[row])) {
      outlooks.push_back(ForeseeGroup(input.fleet, input.history, input.loads, row));
    }
  }
  return outlooks;
}

/// Those with the worst prospects, and those with the most survivors, are given up first; the
/// urgent model takes the VMs first.
std::vector<Order> MakeOrders(const RepairInput& input, Outlooks& outlooks)
{
  Order byProspect;
  for (Outlook& outlook : outlooks) {
    byProspect.push_back(&outlook);
  }
  std::ranges::sort(
    byProspect, std::greater{}, [](const Outlook* outlook) { return CostOfWaiting(*outlook); });
  Order bySurvivors = byProspect;
  std::ranges::stable_sort(
    bySurvivors, std::greater{}, [](const Outlook* outlook) { return outlook->survivors; });
  std::vector<Order> orders{ byProspect, bySurvivors };
  for (Row model = 0; model < input.fleet.models.size(); ++model) {
    const auto isOfModel = [&](const Outlook* outlook) {
      return input.fleet.groups[outlook->group].model == model;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(byProspect, isOfModel));
    if (count == 0 || count == byProspect.size()) {
      continue;
    }
    Order order;
    std::ranges::copy_if(byProspect, std::back_inserter(order), isOfModel);
    orders.push_back(std::move(order));
  }
  return orders;
}

double LeastGain(const Outlook& outlook, double seconds)
{
  return outlook.rate * seconds;
}

Repair ChooseRepair(const RepairInput& input, Row fabric)
{
  Repair best;
  Outlooks outlooks = ForeseeAll(input, fabric);
  for (const Order& order : MakeOrders(input, outlooks)) {
    for (std::size_t count = 1; count <= order.size(); ++count) {
      Order chosen(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count));
      std::ranges::stable_sort(chosen, std::less{}, [&](const Outlook* outlook) {
        return input.fleet.groups[outlook->group].model;
      });
      Repair repair = WeighRepair(input, fabric, chosen);
      if (repair.formed > 0 && repair.gain > best.gain &&
          repair.saving > LeastGain(*chosen.front(), kLeastSavingSeconds)) {
        best = std::move(repair);
      }
    }
  }
  return best;
}

} // namespace

std::vector<Repair> ChooseRepairs(const RepairInput& input)
{
  std::vector<Repair> repairs;
  for (Row fabric = 0; fabric < input.fleet.fabrics.size(); ++fabric) {
    if (input.fleet.fabrics[fabric].broken.empty() || IsUnsettled(input.fleet, fabric)) {
      continue;
    }
    Repair repair = ChooseRepair(input, fabric);
    if (repair.formed > 0) {
      repairs.push_back(std::move(repair));
    }
  }
  std::ranges::stable_sort(repairs, std::greater{}, &Repair::gain);
  std::uint32_t loadsLeft = input.loadsLeft;
  std::erase_if(repairs, [&](const Repair& repair) {
    if (repair.loads > loadsLeft) {
      return true;
    }
    loadsLeft -= repair.loads;
    return false;
  });
  return repairs;
}

std::vector<std::uint32_t> CountStandIns(const RepairInput& input)
{
  const Fleet& fleet = input.fleet;
  std::vector<std::uint32_t> counts(fleet.models.size(), 0);
  std::vector<Outlook> outlooks;
  for (const FleetFabric& fabric : fleet.fabrics) {
    if (fabric.isReleasing || GoesOnLosing(input, fabric)) {
      continue;
    }
    for (const Row row : fabric.broken) {
      if (MayGiveUp(input, fleet.groups[row])) {
        outlooks.push_back(ForeseeGroup(fleet, input.history, input.loads, row));
      }
    }
  }
  if (outlooks.empty()) {
    return counts;
  }
  std::vector<std::size_t> spares;
  for (Row fabric = 0; fabric < fleet.fabrics.size(); ++fabric) {
    spares.push_back(fleet.fabrics[fabric].isReleasing ? 0
                                                       : fleet.fabrics[fabric].available.size());
  }
  std::ranges::stable_sort(outlooks, [&](const Outlook& left, const Outlook& right) {
    return std::tuple(fleet.groups[left.group].model, CostOfWaiting(right)) <
           std::tuple(fleet.groups[right.group].model, CostOfWaiting(left));
  });
  for (const Outlook& outlook : outlooks) {
    const Row model = fleet.groups[outlook.group].model;
    const std::size_t size = fleet.models[model].Size();
    const auto most = std::ranges::max_element(spares);
    if (most == spares.end() || *most < size) {
      continue;
    }
    const auto fabric = static_cast<Row>(most - spares.begin());
    const double load = input.loads.LoadSeconds(fleet.models[model].view->entry);
    const double limit = StepTimes().back();
    const double saved = ExpectedDown(outlook, limit) - ExpectedDown(outlook, load);
    const double gain = outlook.rate * saved - PriceOfUse(input, fabric, size, outlook);
    if (gain > LeastGain(outlook, kLeastStandInSeconds)) {
      *most -= size;
      ++counts[model];
    }
  }
  return counts;
}

} // namespace gooseberrysail::impl
