#include "placement/group_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

namespace {

/// Period over which the expected outages of a flapping member are counted.
constexpr double kFlapHorizonSeconds = 1800;
/// Assumed downtime of each further outage of a flapping member.
constexpr double kFlapDownSeconds = 30;
/// After the loss of several VMs at once, groups wait this many times the patience configured for
/// one VM: dissolving all of them would cost a load for each, even if the VMs return a moment
/// later.
constexpr double kDomainPatienceFactor = 6;
/// Assumed probability that a spare with weights is used before it loses them.
constexpr double kWarmUseChance = 0.8;
/// Above this number of VMs the normal approximation replaces the exact binomial sum.
constexpr std::size_t kMaxExactCount = 12;

double SurvivorAccelerators(const Fleet& fleet, const FleetGroup& group)
{
  double sum = 0;
  for (const Row vm : group.members) {
    const VmView& view = *fleet.vms[vm].view;
    sum += view.reachable ? view.accelerators : 0;
  }
  return sum;
}

struct Loss
{
  std::vector<Row> alone; ///< Missing members lost independently, and `together` if there is one.
  Row together = kNoRow;  ///< Represents all members lost by one cause: they return together.
};

Loss SplitLoss(const History& history, const FleetGroup& group)
{
  Loss loss;
  for (const Row vm : group.missing) {
    if (history.At(vm).span == OutageSpan::kAlone) {
      loss.alone.push_back(vm);
    } else if (loss.together == kNoRow ||
               history.At(vm).awaySince < history.At(loss.together).awaySince) {
      loss.together = vm;
    }
  }
  if (loss.together != kNoRow) {
    loss.alone.push_back(loss.together);
  }
  return loss;
}

double DownProbability(const Fleet& fleet,
                       const History& history,
                       const FleetGroup& group,
                       const std::vector<Row>& causes,
                       double wait)
{
  if (group.unknown > 0) {
    return 1;
  }
  if (causes.empty()) {
    // Control reaches all members, but they don't reach each other.
    const double age = ToSeconds(fleet.now - group.brokenSince);
    return history.Times(OutageSpan::kAlone).StillAway(age, wait);
  }
  double whole = 1;
  for (const Row vm : causes) {
    whole *= 1 - history.StillAway(vm, fleet.now, wait);
  }
  return 1 - whole;
}

double ReloadSeconds(const Fleet& fleet,
                     const History& history,
                     const WeightLoads& loads,
                     const FleetGroup& group,
                     const std::vector<Row>& causes)
{
  double keeps = 1;
  for (const Row vm : causes) {
    keeps *= history.KeepsWeights(vm, ToSeconds(fleet.now - history.At(vm).awaySince));
  }
  const double load = loads.LoadSeconds(group.view->entry);
  return keeps * loads.ResumeSeconds() + (1 - keeps) * load;
}

/// Sums backwards over the steps: the value at a step is conditional on the member still being away
/// then.
void AddWarmReturns(const Fleet& fleet, const History& history, Row vm, GroupForecast& forecast)
{
  const double age = ToSeconds(fleet.now - history.At(vm).awaySince);
  const auto still = [&](std::size_t step) {
    return step == 0 ? 1.0 : history.StillAway(vm, fleet.now, StepTimes()[step - 1]);
  };
  double warm = 0;
  for (std::size_t step = kSteps; step-- > 0;) {
    const double before = still(step);
    warm += (before - still(step + 1)) * history.KeepsWeights(vm, age + StepTimes()[step]);
    forecast.warmReturns[step] += before > 0 ? warm / before : 0;
  }
}

double FlapSeconds(const Fleet& fleet, const History& history, const FleetGroup& group)
{
  double rate = 0;
  for (const Row vm : group.missing) {
    rate += history.FlapRate(vm, fleet.now);
  }
  return rate * kFlapHorizonSeconds * kFlapDownSeconds;
}

/// Probability that fewer than `needed` of `count` independent events occur, each with probability
/// `each`.
double ChanceOfFewer(std::size_t count, std::size_t needed, double each)
{
  const auto n = static_cast<double>(count);
  if (each <= 0) {
    return 1;
  }
  if (each >= 1) {
    return needed > count ? 1 : 0;
  }
  if (count > kMaxExactCount) {
    const double deviation = std::sqrt(n * each * (1 - each));
    const double distance = (static_cast<double>(needed) - 0.5 - n * each) / deviation;
    return 0.5 * std::erfc(-distance / std::sqrt(2.0));
  }
  double sum = 0;
  double term = std::pow(1 - each, n);
  for (std::size_t index = 0; index < needed; ++index) {
    sum += term;
    const auto k = static_cast<double>(index);
    term *= (n - k) / (k + 1) * each / (1 - each);
  }
  return std::min(1.0, sum);
}

/// Expected excess of a Poisson number of outages with this mean over `spares`.
double ExpectedExcess(std::size_t spares, double mean)
{
  double excess = mean;
  double chance = std::exp(-mean);
  double atMost = 0;
  for (std::size_t index = 0; index < spares; ++index) {
    atMost += chance;
    excess -= 1 - atMost;
    chance *= mean / static_cast<double>(index + 1);
  }
  return std::max(0.0, excess);
}

/// Probability that the group is still down at `time`, taken from the first step not before it.
double DownProbabilityAt(const GroupForecast& forecast, double time)
{
  const auto& times = StepTimes();
  const auto step = static_cast<std::size_t>(std::ranges::lower_bound(times, time) - times.begin());
  return forecast.down[std::min(step, kSteps - 1)];
}

} // namespace

GroupForecast ForecastGroup(const Fleet& fleet,
                            const History& history,
                            const WeightLoads& loads,
                            Row row)
{
  const FleetGroup& group = fleet.groups[row];
  const Loss loss = SplitLoss(history, group);
  GroupForecast forecast;
  forecast.group = row;
  for (std::size_t step = 0; step < kSteps; ++step) {
    forecast.down[step] = DownProbability(fleet, history, group, loss.alone, StepTimes()[step]);
  }
  for (const Row vm : group.missing) {
    AddWarmReturns(fleet, history, vm, forecast);
  }
  forecast.reloadSeconds = ReloadSeconds(fleet, history, loads, group, loss.alone);
  forecast.flapSeconds = FlapSeconds(fleet, history, group);
  forecast.costPerSecond = fleet.policy->downtimeWeight +
                           fleet.policy->strandedWeight * SurvivorAccelerators(fleet, group);
  const double patience =
    ToSeconds(fleet.policy->repairPatience) * (loss.together == kNoRow ? 1 : kDomainPatienceFactor);
  forecast.patienceLeft = patience - ToSeconds(fleet.now - group.brokenSince);
  // Even when all members are reachable, one of them must be the cause.
  forecast.lost = std::max(1U, static_cast<std::uint32_t>(group.missing.size()) + group.unknown);
  forecast.survivors = static_cast<std::uint32_t>(group.view->members.size()) - forecast.lost;
  return forecast;
}

double CostOfWaiting(const GroupForecast& forecast)
{
  constexpr double kNever = std::numeric_limits<double>::infinity();
  return CostOfWaiting(forecast, kNever, 0, kNever);
}

/// Integrates the expected cost over the steps; at each step the fallback may be taken instead.
double CostOfWaiting(const GroupForecast& forecast, double fallback, double price, double first)
{
  const double afterReturn = forecast.reloadSeconds + forecast.flapSeconds;
  double best = std::numeric_limits<double>::infinity();
  double down = 0;
  double timeBefore = 0;
  double downBefore = 1;
  for (std::size_t step = 0; step < kSteps; ++step) {
    const double time = StepTimes()[step];
    const double still = forecast.down[step];
    down += (time - timeBefore) * (downBefore + still) / 2;
    timeBefore = time;
    downBefore = still;
    if (time >= first && time <= std::max(forecast.patienceLeft, 0.0)) {
      const double own = forecast.costPerSecond * (down + (1 - still) * afterReturn);
      const double other = fallback - forecast.warmSpareValue * forecast.warmReturns[step + 1];
      best = std::min(best, own + still * other + price);
    }
  }
  return std::min(best, forecast.costPerSecond * (down + (1 - downBefore) * afterReturn));
}

double WarmSpareValue(std::size_t warm, double loadCost)
{
  return loadCost * kWarmUseChance * (1 - std::pow(kWarmUseChance, static_cast<double>(warm))) /
         (1 - kWarmUseChance);
}

double ExpectedDown(const GroupForecast& forecast, double limit)
{
  double down = 0;
  double timeBefore = 0;
  double downBefore = 1;
  for (std::size_t step = 0; step < kSteps && timeBefore < limit; ++step) {
    const double time = std::min(StepTimes()[step], limit);
    down += (time - timeBefore) * (downBefore + forecast.down[step]) / 2;
    timeBefore = time;
    downBefore = forecast.down[step];
  }
  return down;
}

double ExpectedReturns(const Fleet& fleet,
                       const History& history,
                       const std::vector<Row>& away,
                       std::size_t needed)
{
  if (needed == 0) {
    return 0;
  }
  const auto together = static_cast<std::size_t>(
    std::ranges::count_if(away, [&](Row vm) { return history.At(vm).span != OutageSpan::kAlone; }));
  const bool isOneCause = together * 2 > away.size();
  double sum = 0;
  double timeBefore = 0;
  double chanceBefore = 1;
  for (const double time : StepTimes()) {
    double back = 0;
    for (const Row vm : away) {
      back += (1 - history.StillAway(vm, fleet.now, time)) / static_cast<double>(away.size());
    }
    double chance = 1;
    if (needed <= away.size()) {
      chance = isOneCause ? 1 - back : ChanceOfFewer(away.size(), needed, back);
    }
    sum += (time - timeBefore) * (chanceBefore + chance) / 2;
    timeBefore = time;
    chanceBefore = chance;
  }
  return sum;
}

double DownWithoutSpare(const GroupForecast& forecast, const ReturnTimes& times)
{
  std::array<double, kSteps> fresh{};
  for (std::size_t step = 0; step < kSteps; ++step) {
    fresh[step] = times.StillAway(0, StepTimes()[step]);
  }
  double sum = 0;
  double startBefore = 0;
  for (std::size_t outer = 0; outer < kSteps; ++outer) {
    const double start = StepTimes()[outer];
    double wait = 0;
    double before = 0;
    for (std::size_t inner = 0; inner < kSteps; ++inner) {
      const double time = StepTimes()[inner];
      wait += (time - before) * fresh[inner] * DownProbabilityAt(forecast, start + time);
      before = time;
    }
    sum += (start - startBefore) * wait;
    startBefore = start;
  }
  return sum;
}

double AddedUncoveredOutages(std::size_t spares, std::size_t used, double mean)
{
  const std::size_t left = spares - std::min(spares, used);
  return ExpectedExcess(left, mean) - ExpectedExcess(spares, mean);
}

} // namespace gooseberrysail::impl
