#include "placement/repair.hpp"

#include "placement/repair_cost.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace gooseberrysail::impl {

namespace {

using namespace std::chrono_literals;

/// While a fabric domain is still losing VMs, the size of the outage isn't known. VMs lost within
/// this time count as such a loss.
constexpr Duration kLossSettleTime = 3s;
/// Time for a returned member to rejoin its group.
constexpr Duration kReturnGrace = 15s;
/// Time for the links between members to recover when control reaches all of them.
constexpr Duration kLinkRecoveryTime = 30s;
/// A repair must save more than this many seconds of one group's downtime.
constexpr double kMinSavingSeconds = 10;
/// A substitute replica must save more than this many seconds of one group's downtime.
constexpr double kMinSubstituteSavingSeconds = 15;

bool JustReturned(const RepairInput& input, const FleetGroup& group)
{
  return std::ranges::any_of(group.members, [&](Row vm) {
    const VmHistory& history = input.history.At(vm);
    return !history.isAway && history.returnedAt && *history.returnedAt >= group.brokenSince &&
           input.fleet.now - *history.returnedAt < kReturnGrace;
  });
}

bool MayDissolve(const RepairInput& input, const FleetGroup& group)
{
  if (group.model == kNoRow || group.ending || !group.broken) {
    return false;
  }
  if (group.missing.empty() && group.unknown == 0 &&
      input.fleet.now - group.brokenSince < kLinkRecoveryTime) {
    return false;
  }
  // When a member has just returned, others may follow.
  return !JustReturned(input, group);
}

/// Two VMs lost within kLossSettleTime may be the start of the loss of the whole domain.
bool HasOngoingLosses(const RepairInput& input, const FleetFabric& fabric)
{
  const auto lately = std::ranges::count_if(fabric.away, [&](Row vm) {
    return input.fleet.now - input.history.At(vm).awaySince < kLossSettleTime;
  });
  return lately > 1;
}

using GroupForecasts = std::vector<GroupForecast>;
using Order = std::vector<GroupForecast*>;

GroupForecasts ForecastAll(const RepairInput& input, Row fabric)
{
  GroupForecasts forecasts;
  if (HasOngoingLosses(input, input.fleet.fabrics[fabric])) {
    return forecasts;
  }
  for (const Row row : input.fleet.fabrics[fabric].broken) {
    if (MayDissolve(input, input.fleet.groups[row])) {
      forecasts.push_back(ForecastGroup(input.fleet, input.history, input.loads, row));
    }
  }
  return forecasts;
}

/// Orders in which groups may be dissolved: by expected cost of waiting, by number of survivors,
/// and by cost for each model alone.
std::vector<Order> MakeOrders(const RepairInput& input, GroupForecasts& forecasts)
{
  Order byCost;
  for (GroupForecast& forecast : forecasts) {
    byCost.push_back(&forecast);
  }
  std::ranges::sort(
    byCost, std::greater{}, [](const GroupForecast* forecast) { return CostOfWaiting(*forecast); });
  Order bySurvivors = byCost;
  std::ranges::stable_sort(
    bySurvivors, std::greater{}, [](const GroupForecast* forecast) { return forecast->survivors; });
  std::vector<Order> orders{ byCost, bySurvivors };
  for (Row model = 0; model < input.fleet.models.size(); ++model) {
    const auto isOfModel = [&](const GroupForecast* forecast) {
      return input.fleet.groups[forecast->group].model == model;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(byCost, isOfModel));
    if (count == 0 || count == byCost.size()) {
      continue;
    }
    Order order;
    std::ranges::copy_if(byCost, std::back_inserter(order), isOfModel);
    orders.push_back(std::move(order));
  }
  return orders;
}

double MinGain(const GroupForecast& forecast, double seconds)
{
  return forecast.costPerSecond * seconds;
}

Repair ChooseRepair(const RepairInput& input, Row fabric)
{
  Repair best;
  GroupForecasts forecasts = ForecastAll(input, fabric);
  for (const Order& order : MakeOrders(input, forecasts)) {
    for (std::size_t count = 1; count <= order.size(); ++count) {
      Order chosen(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count));
      // Models are sorted by urgency: groups of the most urgent model get the VMs first.
      std::ranges::stable_sort(chosen, std::less{}, [&](const GroupForecast* forecast) {
        return input.fleet.groups[forecast->group].model;
      });
      Repair repair = EvaluateRepair(input, fabric, chosen);
      if (repair.formed > 0 && repair.gain > best.gain &&
          repair.saving > MinGain(*chosen.front(), kMinSavingSeconds)) {
        best = std::move(repair);
      }
    }
  }
  return best;
}

/// Replicas beyond those wanted: substitutes formed by earlier calls.
std::vector<std::uint32_t> CountSurplus(const Fleet& fleet)
{
  std::vector<std::uint32_t> surplus;
  for (const FleetModel& model : fleet.models) {
    const auto replicas = static_cast<std::uint32_t>(
      std::ranges::count_if(model.groups, [&](Row row) { return !fleet.groups[row].ending; }));
    surplus.push_back(replicas - std::min(replicas, model.Wanted()));
  }
  return surplus;
}

} // namespace

std::vector<Repair> ChooseRepairs(const RepairInput& input)
{
  std::vector<Repair> repairs;
  for (Row fabric = 0; fabric < input.fleet.fabrics.size(); ++fabric) {
    if (input.fleet.fabrics[fabric].broken.empty() || HasPendingRelease(input.fleet, fabric)) {
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

std::vector<std::uint32_t> CountSubstitutes(const RepairInput& input)
{
  const Fleet& fleet = input.fleet;
  std::vector<std::uint32_t> counts(fleet.models.size(), 0);
  std::vector<GroupForecast> forecasts;
  for (const FleetFabric& fabric : fleet.fabrics) {
    if (fabric.isReleasing || HasOngoingLosses(input, fabric)) {
      continue;
    }
    for (const Row row : fabric.broken) {
      if (MayDissolve(input, fleet.groups[row])) {
        forecasts.push_back(ForecastGroup(fleet, input.history, input.loads, row));
      }
    }
  }
  if (forecasts.empty()) {
    return counts;
  }
  std::vector<std::size_t> spares;
  for (Row fabric = 0; fabric < fleet.fabrics.size(); ++fabric) {
    spares.push_back(fleet.fabrics[fabric].isReleasing ? 0
                                                       : fleet.fabrics[fabric].available.size());
  }
  std::ranges::stable_sort(forecasts, [&](const GroupForecast& left, const GroupForecast& right) {
    return std::tuple(fleet.groups[left.group].model, CostOfWaiting(right)) <
           std::tuple(fleet.groups[right.group].model, CostOfWaiting(left));
  });
  std::vector<std::uint32_t> covered = CountSurplus(fleet);
  counts = covered;
  for (const GroupForecast& forecast : forecasts) {
    const Row model = fleet.groups[forecast.group].model;
    if (covered[model] > 0) {
      --covered[model];
      continue;
    }
    const std::size_t size = fleet.models[model].Size();
    const auto most = std::ranges::max_element(spares);
    if (most == spares.end() || *most < size) {
      continue;
    }
    const auto fabric = static_cast<Row>(most - spares.begin());
    const double load = input.loads.LoadSeconds(fleet.models[model].view->entry);
    const double limit = StepTimes().back();
    const double saved = ExpectedDown(forecast, limit) - ExpectedDown(forecast, load);
    const double gain =
      forecast.costPerSecond * saved - SpareUseCost(input, fabric, size, forecast);
    if (gain > MinGain(forecast, kMinSubstituteSavingSeconds)) {
      *most -= size;
      ++counts[model];
    }
  }
  return counts;
}

} // namespace gooseberrysail::impl
