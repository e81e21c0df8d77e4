#include "placement/history.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

namespace {

using namespace std::chrono_literals;

/// Prior for outages of a single VM: pauses, restarts, replacements and failures that last
/// hours.
constexpr std::array<OutageKind, 4> kSingleVmPrior{ {
  { 0.40, 20, 0.95 },
  { 0.25, 120, 0.05 },
  { 0.20, 900, 0.02 },
  { 0.15, 21600, 0 },
} };
constexpr double kSingleVmPriorCount = 20;

/// Prior for outages of a part of a fabric domain: a rack or a switch.
constexpr std::array<OutageKind, 3> kPartialDomainPrior{ {
  { 0.25, 45, 0.95 },
  { 0.55, 1200, 0.5 },
  { 0.20, 7200, 0.2 },
} };

/// Prior for outages of a whole fabric domain: a short network outage or a failure domain.
constexpr std::array<OutageKind, 3> kWholeDomainPrior{ {
  { 0.75, 45, 0.95 },
  { 0.15, 1200, 0.5 },
  { 0.10, 7200, 0.2 },
} };
constexpr double kDomainPriorCount = 5;

/// An outage of at least this share of a fabric domain's VMs is one of the whole domain.
constexpr double kWholeShare = 0.8;

/// When at least this many VMs of one fabric domain are lost within the window, they are assumed to
/// have one cause.
constexpr std::size_t kCorrelatedCount = 3;
constexpr Duration kCorrelatedWindow = 6s;

/// 300 outages a day on 7,200 VMs.
constexpr double kPriorOutageRate = 300.0 / 7200 / 86400;
constexpr double kPriorOutages = 2;

constexpr Duration kFlapWindow = 30min;
constexpr std::size_t kFlapCount = 3;
constexpr Duration kFirstQuarantine = 2min;
constexpr Duration kMaxQuarantine = 1h;
constexpr std::size_t kMaxOutagesKept = 16;

std::size_t CountRecent(const VmHistory& history, TimePoint now)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    history.outages, [now](TimePoint outage) { return now - outage < kFlapWindow; }));
}

/// Doubles with each outage beyond kFlapCount: a VM that has become stable is available again soon,
/// and one that has not disturbs groups less and less often.
Duration QuarantineTime(std::size_t outages)
{
  Duration time = kFirstQuarantine;
  for (std::size_t count = kFlapCount; count < outages && time < kMaxQuarantine; ++count) {
    time *= 2;
  }
  return std::min(time, kMaxQuarantine);
}

} // namespace

History::History()
  : m_times{ ReturnTimes(kSingleVmPrior, kSingleVmPriorCount),
             ReturnTimes(kPartialDomainPrior, kDomainPriorCount),
             ReturnTimes(kWholeDomainPrior, kDomainPriorCount) }
  , m_outages(kPriorOutages)
  , m_vmSeconds(kPriorOutages / kPriorOutageRate)
{
}

void History::Observe(TimePoint now, const PlannerInput& input)
{
  AlignRows(input);
  if (m_lastCall) {
    m_vmSeconds += ToSeconds(now - *m_lastCall) * static_cast<double>(input.vms.size());
  }
  m_lastCall = now;
  for (std::vector<Row>& lost : m_recentlyLost) {
    std::erase_if(lost, [&](Row row) { return now - m_vms[row].awaySince > kCorrelatedWindow; });
  }
  for (Row row = 0; row < m_vms.size(); ++row) {
    const VmView& view = input.vms[row];
    VmHistory& history = m_vms[row];
    if (!view.reachable) {
      RecordAway(now, row, view);
      continue;
    }
    if (history.isAway) {
      RecordReturn(now, history, view);
    }
    if (history.weights != view.loadedModel) {
      history.weights = view.loadedModel;
    }
    RecordStraggling(now, history, view);
  }
  for (ReturnTimes& times : m_times) {
    times.Refresh();
  }
}

/// The control leader keeps its tables in a stable order, so usually nothing has to be moved.
void History::AlignRows(const PlannerInput& input)
{
  const auto isSame = [](const VmHistory& history, const VmView& view) {
    return history.vm == view.vm && history.fabricDomain == view.fabricDomain;
  };
  if (std::ranges::equal(m_vms, input.vms, isSame)) {
    return;
  }
  std::vector<VmHistory> old = std::move(m_vms);
  const std::unordered_map<std::string, Row> oldRows = std::move(m_rows);
  m_vms.clear();
  m_rows.clear();
  m_recentlyLost.assign(m_recentlyLost.size(), {});
  for (const VmView& view : input.vms) {
    const auto row = static_cast<Row>(m_vms.size());
    const bool isNew = m_rows.try_emplace(view.vm.Get(), row).second;
    VmHistory& history = m_vms.emplace_back();
    const auto found = oldRows.find(view.vm.Get());
    if (isNew && found != oldRows.end()) {
      history = std::move(old[found->second]);
    }
    history.vm = view.vm;
    history.fabricDomain = view.fabricDomain;
    history.fabric =
      m_fabrics.try_emplace(view.fabricDomain.Get(), static_cast<Row>(m_fabrics.size()))
        .first->second;
  }
  m_recentlyLost.resize(m_fabrics.size());
  m_fabricSizes.assign(m_fabrics.size(), 0);
  for (const VmHistory& history : m_vms) {
    ++m_fabricSizes[history.fabric];
  }
}

Row History::Find(const VmId& vm) const
{
  const auto found = m_rows.find(vm.Get());
  return found == m_rows.end() ? kNoRow : found->second;
}

void History::RecordAway(TimePoint now, Row row, const VmView& view)
{
  VmHistory& history = m_vms[row];
  if (history.isAway) {
    AccountTimeAway(history, now);
    return;
  }
  history.isAway = true;
  history.span = OutageSpan::kAlone;
  history.weight = 1;
  // A new leader may have had no contact with the VM yet: then the outage starts now.
  history.awaySince = view.lastHeard == TimePoint{} ? now : std::min(now, view.lastHeard);
  history.countedUntil = history.awaySince;
  history.outages.push_back(history.awaySince);
  if (history.outages.size() > kMaxOutagesKept) {
    history.outages.erase(history.outages.begin());
  }
  m_outages += 1;
  // A VM lost several times within the window counts once.
  std::vector<Row>& lost = m_recentlyLost[history.fabric];
  if (std::ranges::find(lost, row) == lost.end()) {
    lost.push_back(row);
  }
  RecordCorrelatedLoss(history);
  AccountTimeAway(history, now);
}

void History::RecordCorrelatedLoss(const VmHistory& history)
{
  const std::vector<Row>& lost = m_recentlyLost[history.fabric];
  if (lost.size() < kCorrelatedCount) {
    return;
  }
  const double share = kWholeShare * static_cast<double>(m_fabricSizes[history.fabric]);
  const OutageSpan span =
    static_cast<double>(lost.size()) >= share ? OutageSpan::kWhole : OutageSpan::kPart;
  for (const Row row : lost) {
    VmHistory& other = m_vms[row];
    if (other.span == OutageSpan::kAlone) {
      // An outage shared with other VMs of the fabric domain is no sign of flapping.
      other.outages.pop_back();
      m_outages -= 1;
    }
    other.span = span;
    other.weight = 1.0 / static_cast<double>(lost.size());
  }
}

void History::AccountTimeAway(VmHistory& history, TimePoint until)
{
  TimesOf(history).AddAway(ToSeconds(history.countedUntil - history.awaySince),
                           ToSeconds(until - history.awaySince),
                           history.weight);
  history.countedUntil = until;
}

void History::RecordReturn(TimePoint now, VmHistory& history, const VmView& view)
{
  AccountTimeAway(history, now);
  const bool keptWeights = !view.loadedModel.empty() && view.loadedModel == history.weights;
  TimesOf(history).AddReturn(ToSeconds(now - history.awaySince), keptWeights, history.weight);
  history.isAway = false;
  history.returnedAt = now;
}

void History::RecordStraggling(TimePoint now, VmHistory& history, const VmView& view) const
{
  if (!view.straggler) {
    history.stragglesSince.reset();
  } else if (!history.stragglesSince) {
    history.stragglesSince = now;
  }
}

bool History::IsQuarantined(Row vm, TimePoint now) const
{
  const VmHistory& history = m_vms[vm];
  if (history.outages.size() < kFlapCount || !history.returnedAt) {
    return false;
  }
  // Counted at the latest return, so that the end of the quarantine doesn't move while it lasts.
  const std::size_t outages = CountRecent(history, *history.returnedAt);
  return outages >= kFlapCount && now - *history.returnedAt < QuarantineTime(outages);
}

double History::FlapRate(Row vm, TimePoint now) const
{
  const VmHistory& history = m_vms[vm];
  const std::size_t recent = history.outages.size() < 2 ? 0 : CountRecent(history, now);
  return recent < 2 ? 0 : static_cast<double>(recent - 1) / ToSeconds(kFlapWindow);
}

double History::StillAway(Row vm, TimePoint now, double wait) const
{
  const VmHistory& history = m_vms[vm];
  return Times(history.span).StillAway(ToSeconds(now - history.awaySince), wait);
}

double History::KeepsWeights(Row vm, double age) const
{
  const VmHistory& history = m_vms[vm];
  return Times(history.span).KeepsWeights(age);
}

} // namespace gooseberrysail::impl
