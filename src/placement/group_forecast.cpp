#include "placement/group_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

namespace {

/// How far ahead a flapping member's next outages are held against its group.
constexpr double kFlapHorizonSeconds = 1800;
/// Downtime of one more outage of a flapping member.
constexpr double kFlapDownSeconds = 30;
/// A fabric domain that went dark is given this many times an operator's patience with one VM:
/// giving up all its groups means a load for each of them, should it come back a moment later.
constexpr double kDarkPatience = 6;
/// Chance that a spare with weights is used before it loses them; chosen on the training seeds.
constexpr double kNextWarmWorth = 0.8;
/// Beyond so many VMs the binomial sum gives way to the normal curve.
constexpr std::size_t kMostExact = 12;

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
  std::vector<Row> alone; ///< Missing members that were lost each by itself.
  Row together = kNoRow;  ///< Stands for all that were lost by one cause: they return as one.
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

double Down(const Fleet& fleet,
            const History& history,
            const FleetGroup& group,
            const std::vector<Row>& causes,
            double wait)
{
  if (group.unknown > 0) {
    return 1;
  }
  if (causes.empty()) {
    // All members are in reach of control, but not of each other.
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

/// Sums backwards over the steps: what a step says holds only if the member isn't back by then.
void AddWarmReturns(const Fleet& fleet, const History& history, Row vm, Outlook& outlook)
{
  const double age = ToSeconds(fleet.now - history.At(vm).awaySince);
  const auto still = [&](std::size_t step) {
    return step == 0 ? 1.0 : history.StillAway(vm, fleet.now, StepTimes()[step - 1]);
  };
  double warm = 0;
  for (std::size_t step = kSteps; step-- > 0;) {
    const double before = still(step);
    warm += (before - still(step + 1)) * history.KeepsWeights(vm, age + StepTimes()[step]);
    outlook.warmReturns[step] += before > 0 ? warm / before : 0;
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

/// Chance that fewer than `needed` of `count` happened, each with chance `each`.
double ChanceOfFewer(std::size_t count, std::size_t needed, double each)
{
  const auto n = static_cast<double>(count);
  if (each <= 0) {
    return 1;
  }
  if (each >= 1) {
    return needed > count ? 1 : 0;
  }
  if (count > kMostExact) {
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

/// Expected outages beyond `spares`, of a Poisson number with this mean.
double ExpectedBeyond(std::size_t spares, double mean)
{
  double beyond = mean;
  double chance = std::exp(-mean);
  double atMost = 0;
  for (std::size_t index = 0; index < spares; ++index) {
    atMost += chance;
    beyond -= 1 - atMost;
    chance *= mean / static_cast<double>(index + 1);
  }
  return std::max(0.0, beyond);
}

/// Chance that it is still down at some time, by the nearest step.
double DownAt(const Outlook& outlook, double time)
{
  const auto& times = StepTimes();
  const auto step = static_cast<std::size_t>(std::ranges::lower_bound(times, time) - times.begin());
  return outlook.down[std::min(step, kSteps - 1)];
}

} // namespace

Outlook ForeseeGroup(const Fleet& fleet, const History& history, const WeightLoads& loads, Row row)
{
  const FleetGroup& group = fleet.groups[row];
  const Loss loss = SplitLoss(history, group);
  Outlook outlook;
  outlook.group = row;
  for (std::size_t step = 0; step < kSteps; ++step) {
    outlook.down[step] = Down(fleet, history, group, loss.alone, StepTimes()[step]);
  }
  for (const Row vm : group.missing) {
    AddWarmReturns(fleet, history, vm, outlook);
  }
  outlook.reloadSeconds = ReloadSeconds(fleet, history, loads, group, loss.alone);
  outlook.flapSeconds = FlapSeconds(fleet, history, group);
  outlook.rate = fleet.policy->downtimeWeight +
                 fleet.policy->strandedWeight * SurvivorAccelerators(fleet, group);
  const double patience =
    ToSeconds(fleet.policy->repairPatience) * (loss.together == kNoRow ? 1 : kDarkPatience);
  outlook.patienceLeft = patience - ToSeconds(fleet.now - group.brokenSince);
  // When all members are in reach, one of them must be the cause all the same.
  outlook.lost = std::max(1U, static_cast<std::uint32_t>(group.missing.size()) + group.unknown);
  outlook.survivors = static_cast<std::uint32_t>(group.view->members.size()) - outlook.lost;
  return outlook;
}

double CostOfWaiting(const Outlook& outlook)
{
  constexpr double kNever = std::numeric_limits<double>::infinity();
  return CostOfWaiting(outlook, kNever, 0, kNever);
}

/// Sums over the future step by step; at each step the other way may be taken.
double CostOfWaiting(const Outlook& outlook, double fallback, double price, double first)
{
  const double afterReturn = outlook.reloadSeconds + outlook.flapSeconds;
  double best = std::numeric_limits<double>::infinity();
  double down = 0;
  double timeBefore = 0;
  double downBefore = 1;
  for (std::size_t step = 0; step < kSteps; ++step) {
    const double time = StepTimes()[step];
    const double still = outlook.down[step];
    down += (time - timeBefore) * (downBefore + still) / 2;
    timeBefore = time;
    downBefore = still;
    if (time >= first && time <= std::max(outlook.patienceLeft, 0.0)) {
      const double own = outlook.rate * (down + (1 - still) * afterReturn);
      const double other = fallback - outlook.warmWorth * outlook.warmReturns[step + 1];
      best = std::min(best, own + still * other + price);
    }
  }
  return std::min(best, outlook.rate * (down + (1 - downBefore) * afterReturn));
}

double WorthOfWarm(std::size_t warm, double loadCost)
{
  return loadCost * kNextWarmWorth * (1 - std::pow(kNextWarmWorth, static_cast<double>(warm))) /
         (1 - kNextWarmWorth);
}

double ExpectedDown(const Outlook& outlook, double limit)
{
  double down = 0;
  double timeBefore = 0;
  double downBefore = 1;
  for (std::size_t step = 0; step < kSteps && timeBefore < limit; ++step) {
    const double time = std::min(StepTimes()[step], limit);
    down += (time - timeBefore) * (downBefore + outlook.down[step]) / 2;
    timeBefore = time;
    downBefore = outlook.down[step];
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

double DownWithoutSpare(const Outlook& outlook, const ReturnTimes& times)
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
      wait += (time - before) * fresh[inner] * DownAt(outlook, start + time);
      before = time;
    }
    sum += (start - startBefore) * wait;
    startBefore = start;
  }
  return sum;
}

double OutagesLeftOut(std::size_t spares, std::size_t used, double mean)
{
  const std::size_t left = spares - std::min(spares, used);
  return ExpectedBeyond(left, mean) - ExpectedBeyond(spares, mean);
}

} // namespace gooseberrysail::impl
