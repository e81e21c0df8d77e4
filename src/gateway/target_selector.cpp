#include "gooseberrysail/gateway/target_selector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// How long a target is avoided after a failure; doubles with each consecutive one up to the
/// maximum.
constexpr Duration kAvoidInitial = 250ms;
constexpr Duration kAvoidMax = 4s;
constexpr std::uint32_t kMaxDoublings = 4;
/// The entries' limits at a head add up to this many times its slots. Arrivals vary between the
/// entries, so that they do not all use their limit at the same time; about an eighth more than the
/// slots keeps a head full. With 0.88, 1.0 or 1.2 the completed requests have less value in total.
constexpr double kHeadFill = 1.12;
constexpr std::uint32_t kMinCapacity = 2;       ///< Per head while none is assigned to this entry.
constexpr std::uint32_t kMinSharedCapacity = 1; ///< Per head that is assigned to this entry.
/// Slots that an entry may borrow at other entries' heads when its own are taken, as a fraction of
/// its own. Callers move between entries faster than the heads are reassigned.
constexpr double kBorrowFraction = 0.25;
/// Duration of the slow start of a head that has just opened, about as long as its requests take.
/// All entries see it empty at the same time. If they filled it at once, it would read dozens of
/// prompts one after the other, and their callers and the next ones would wait.
constexpr Duration kSlowStart = 2s;
/// Fraction of the capacity at the beginning of the slow start.
constexpr double kSlowStartMin = 0.1;
/// A target is slow if its steps take more than this many times as long as those of the fastest
/// usable target. A full head that reads long prompts takes up to 2.5 times as long as one that
/// only writes.
constexpr double kSlowStepRatio = 2.5;
/// Requests a second that all entries together send at least to a target, whatever its limit: only
/// an answer shows that the limit has ended.
constexpr double kMinLimit = 0.05;
/// Requests that an entry may save up of its part of a target's limit. With more, the entries'
/// parts would add up to a burst when the other targets are full.
constexpr double kMaxLimitLeft = 1;
/// Moments at which entries may begin to use a cold target.
constexpr std::uint64_t kColdPhases = 1024;
/// Predictions that differ by less are equal: other reasons decide between the heads.
constexpr std::chrono::duration<double> kEqualForecasts = 5ms;
/// For targets that state no number of slots.
constexpr std::uint32_t kDefaultSlots = 8;

std::uint32_t SlotsOf(const ServedTarget& target)
{
  return target.slots == 0 ? kDefaultSlots : target.slots;
}

/// How many requests an entry may have in flight at a head of whose slots it may use `fraction`.
std::uint32_t SlotLimit(std::uint32_t slots, double fraction, std::uint32_t minimum)
{
  return std::max(minimum, static_cast<std::uint32_t>(std::lround(kHeadFill * slots * fraction)));
}

} // namespace

const char* ToString(NoTargetReason reason) noexcept
{
  switch (reason) {
    case NoTargetReason::kNone:
      return "no target serves it";
    case NoTargetReason::kFull:
      return "all targets are full";
    case NoTargetReason::kLimited:
      return "targets take no more requests a second";
    case NoTargetReason::kBackoff:
      return "targets asked this entry to back off";
    case NoTargetReason::kSilent:
      return "targets with room are silent";
    case NoTargetReason::kUnreachable:
      return "targets with room are out of reach";
  }
  return "unknown";
}

TargetSelector::TargetSelector(FailureDomainId ownDomain, std::function<std::uint64_t()> random)
  : m_ownDomain(std::move(ownDomain))
  , m_random(std::move(random))
{
}

std::vector<InstanceId> TargetSelector::Replace(TimePoint now,
                                                std::span<const ServedTarget> targets)
{
  for (auto& [instance, row] : m_rows) {
    row.gone = true;
  }
  // It is unknown which of them opened recently.
  return ApplyUpdates(now, TimePoint{}, targets);
}

std::vector<InstanceId> TargetSelector::Change(TimePoint now,
                                               std::span<const ServedTarget> changed,
                                               std::span<const InstanceId> gone)
{
  for (const InstanceId& instance : gone) {
    if (const auto found = m_rows.find(instance); found != m_rows.end()) {
      found->second.gone = true;
    }
  }
  return ApplyUpdates(now, now, changed);
}

std::vector<InstanceId> TargetSelector::ApplyUpdates(TimePoint now,
                                                     TimePoint openedAt,
                                                     std::span<const ServedTarget> targets)
{
  std::vector<InstanceId> restarted;
  for (const ServedTarget& target : targets) {
    if (ApplyUpdate(now, openedAt, target)) {
      restarted.push_back(target.instance);
    }
  }
  DropGone();
  return restarted;
}

// A head that was closed for an evacuation opens to all entries at the same time, like a new one.
bool TargetSelector::ApplyUpdate(TimePoint now, TimePoint openedAt, const ServedTarget& target)
{
  Row& row = m_rows[target.instance];
  if (target.born < row.target.born) {
    row.gone = false; // A former incarnation: the list is older than what is known here.
    return false;
  }
  const bool hasRestarted = target.born > row.target.born && !row.target.instance.IsNone();
  if (hasRestarted) {
    // Its requests in flight, failures and step time belong to the instance before the restart.
    row = Row{};
  }
  if (row.target.servedModel != target.servedModel || (row.target.leaving && !target.leaving)) {
    row.openedAt = openedAt;
  }
  if (target.coldUntil > now && row.target.coldUntil <= now) {
    // The entries begin at different moments, so that their first requests don't arrive together.
    row.coldLeft = -static_cast<double>(m_random() % kColdPhases) / kColdPhases;
    row.coldAt = now;
  }
  row.target = target;
  row.gone = false;
  row.isHead = row.isHead || !target.servedModel.empty();
  return hasRestarted;
}

void TargetSelector::DropGone()
{
  for (auto& [instance, row] : m_rows) {
    if (row.gone) {
      row.target.servedModel.clear(); // Gets no new requests; those in flight run to their end.
    }
  }
  std::erase_if(m_rows,
                [](const auto& row) { return row.second.gone && row.second.inFlight == 0; });
}

std::size_t TargetSelector::Listed() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_rows, [](const auto& row) { return !row.second.gone; }));
}

const TargetSelector::Row* TargetSelector::Find(const TargetIncarnation& life) const
{
  const auto found = m_rows.find(life.instance);
  const bool isPresent = found != m_rows.end() && found->second.target.born == life.born;
  return isPresent ? &found->second : nullptr;
}

TargetSelector::Row* TargetSelector::FindRow(const TargetIncarnation& life)
{
  return const_cast<Row*>(std::as_const(*this).Find(life));
}

// The slots of heads in backoff can't be used. If they counted, this entry could borrow fewer than
// its callers need and would refuse them beside heads with room.
TargetSelector::ShareState TargetSelector::ShareStateOf(TimePoint now,
                                                        const TargetQuery& query) const
{
  ShareState shareState;
  if (query.model.empty()) {
    return shareState; // Plain services have no heads.
  }
  std::uint32_t ownCapacity = 0;
  std::uint32_t borrowedNow = 0;
  std::uint32_t slots = 0;
  for (const auto& [instance, row] : m_rows) {
    if (!Fits(now, row, query)) {
      continue;
    }
    const bool isInBackoff = IsInBackoff(now, row);
    slots += isInBackoff ? 0 : SlotsOf(row.target);
    if (const auto share = m_shares.find(instance); share != m_shares.end()) {
      shareState.isDivided = true;
      ownCapacity +=
        isInBackoff ? 0 : SlotLimit(SlotsOf(row.target), share->second, kMinSharedCapacity);
    } else {
      borrowedNow += row.inFlight;
    }
  }
  // Assigned heads may have been removed since control sent the shares.
  const double missing = kHeadFill * slots * CallerFraction(query.model) - ownCapacity;
  const auto borrowLimit =
    static_cast<std::uint32_t>(std::lround(std::max(kBorrowFraction * ownCapacity, missing)));
  shareState.borrowable = borrowLimit > borrowedNow ? borrowLimit - borrowedNow : 0;
  return shareState;
}

double TargetSelector::CallerFraction(std::string_view model) const
{
  const auto found = m_callerFractions.find(model);
  return found == m_callerFractions.end() ? 1.0 / m_entries : found->second;
}

bool TargetSelector::IsBorrowed(const ServedTarget& target, const ShareState& shareState) const
{
  return shareState.isDivided && !m_shares.contains(target.instance);
}

// A head queues requests beyond its slots. Their callers wait for seconds, most of them without
// getting an answer in time, so each entry uses only its part of a head's slots. Until control has
// assigned the heads, that part follows the fraction of callers that use this entry.
std::uint32_t TargetSelector::CapacityOf(const ServedTarget& target,
                                         const ShareState& shareState) const
{
  const std::uint32_t slots = SlotsOf(target);
  if (target.servedModel.empty()) {
    return slots;
  }
  if (IsBorrowed(target, shareState)) {
    return shareState.borrowable > 0 ? 1 : 0;
  }
  const auto share = m_shares.find(target.instance);
  if (share != m_shares.end()) {
    return SlotLimit(slots, share->second, kMinSharedCapacity);
  }
  return SlotLimit(slots, CallerFraction(target.servedModel), kMinCapacity);
}

TargetSelector::SlotUse TargetSelector::SlotUseOf(const Row& row,
                                                  const ShareState& shareState) const
{
  if (row.inFlight >= CapacityOf(row.target, shareState)) {
    return SlotUse::kBeyondPart;
  }
  return IsBorrowed(row.target, shareState) ? SlotUse::kBorrowed : SlotUse::kOwnPart;
}

bool TargetSelector::HasCapacity(const Row& row,
                                 const TargetQuery& query,
                                 const ShareState& shareState) const
{
  const bool isHead = !row.target.servedModel.empty();
  const std::uint32_t capacity =
    query.headsHaveRoom && isHead ? SlotsOf(row.target) : CapacityOf(row.target, shareState);
  if (row.inFlight >= capacity || !FitsLimits(row, query, shareState)) {
    return false;
  }
  // A head without a request of this entry is tried, whatever is predicted: nothing else shows that
  // it has recovered, and a prompt that takes longer than the objective is served nowhere sooner.
  const std::optional<EventForecast> forecast =
    row.inFlight > 0 ? ForecastOf(row, query) : std::nullopt;
  return !forecast ||
         (forecast->upperBound <= query.firstEventLimit &&
          (query.pauseLimit == Duration::zero() || forecast->pause <= query.pauseLimit));
}

// An entry may always have one connection and one request: its part of a limit may be less than
// that.
bool TargetSelector::FitsLimits(const Row& row,
                                const TargetQuery& query,
                                const ShareState& shareState) const
{
  if (row.inFlight == 0) {
    return true;
  }
  const bool isOwnHead = !row.target.servedModel.empty() && !IsBorrowed(row.target, shareState);
  const double part = isOwnHead ? ShareOf(row.target) : 1.0 / m_entries;
  const bool hasConnection =
    query.maxConnections == 0 || row.inFlight + 1 <= query.maxConnections * part;
  const bool hasMemory = query.cacheTokens == 0 || static_cast<double>(row.tokens + query.tokens) <=
                                                     static_cast<double>(query.cacheTokens) * part;
  return hasConnection && hasMemory;
}

double TargetSelector::ShareOf(const ServedTarget& head) const
{
  const auto share = m_shares.find(head.instance);
  return share != m_shares.end() ? share->second : CallerFraction(head.servedModel);
}

std::optional<EventForecast> TargetSelector::ForecastOf(const Row& row,
                                                        const TargetQuery& query) const
{
  if (!query.forecast || row.target.servedModel.empty()) {
    return std::nullopt;
  }
  return query.forecast(row.target, ShareOf(row.target), row.inFlight);
}

// The parts follow the division of the heads' slots, so that they add up to the limit and no entry
// sends more than it would without one.
double TargetSelector::OwnLimit(const Row& row, double limit, const ShareState& shareState) const
{
  double part = 1.0 / m_entries;
  if (IsBorrowed(row.target, shareState)) {
    part = 0;
  } else if (const auto share = m_shares.find(row.target.instance); share != m_shares.end()) {
    part = share->second;
  } else if (!row.target.servedModel.empty()) {
    part = CallerFraction(row.target.servedModel);
  }
  return std::max(limit * part, kMinLimit / m_entries);
}

double TargetSelector::LimitLeft(TimePoint now,
                                 const Row& row,
                                 const TargetStatements::Row& stated,
                                 const ShareState& shareState) const
{
  const double seconds = std::chrono::duration<double>(now - stated.limitLeftAt).count();
  const double gained = seconds * OwnLimit(row, stated.limit.value_or(0), shareState);
  return std::min(kMaxLimitLeft, stated.limitLeft + gained);
}

double TargetSelector::ColdLeft(TimePoint now, const Row& row, const ShareState& shareState) const
{
  const double seconds = std::chrono::duration<double>(now - row.coldAt).count();
  const double gained = seconds * OwnLimit(row, row.target.coldPerSecond, shareState);
  return std::min(kMaxLimitLeft, row.coldLeft + gained);
}

bool TargetSelector::IsLimited(TimePoint now, const Row& row, const ShareState& shareState) const
{
  if (now < row.target.coldUntil && ColdLeft(now, row, shareState) < 1) {
    return true;
  }
  const TargetStatements::Row* stated = StatementsOf(row);
  return stated != nullptr && stated->limit && LimitLeft(now, row, *stated, shareState) < 1;
}

void TargetSelector::TakeLimit(TimePoint now, Row& row)
{
  const TargetStatements::Row* stated = StatementsOf(row);
  const bool isLimited = stated != nullptr && stated->limit;
  const bool isCold = now < row.target.coldUntil;
  if (!isLimited && !isCold) {
    return;
  }
  const std::set<InstanceId> none;
  const ShareState shareState =
    ShareStateOf(now, { row.target.service, row.target.servedModel, none });
  if (isCold) {
    row.coldLeft = ColdLeft(now, row, shareState) - 1;
    row.coldAt = now;
  }
  if (isLimited) {
    m_statements.SetLimitLeft(
      now, { row.target.instance, row.target.born }, LimitLeft(now, row, *stated, shareState) - 1);
  }
}

bool TargetSelector::IsInBackoff(TimePoint now, const Row& row) const
{
  const TargetStatements::Row* stated = StatementsOf(row);
  return stated != nullptr && now < stated->backoffUntil;
}

bool TargetSelector::IsSilent(TimePoint now, const Row& row, Duration limit)
{
  return row.isHead && row.inFlight > 0 && SilentFor(now, row) > limit;
}

Duration TargetSelector::SilentFor(TimePoint now, const Row& row)
{
  return now - std::max(row.busySince, row.answeredAt);
}

bool TargetSelector::Fits(TimePoint now, const Row& row, const TargetQuery& query) const
{
  return !row.gone && !row.target.leaving && row.target.service == query.service &&
         row.target.servedModel == query.model && !HasLeft(now, row);
}

bool TargetSelector::HasLeft(TimePoint now, const Row& row) const
{
  const TargetStatements::Row* stated = StatementsOf(row);
  return stated != nullptr && stated->leavingSince && now >= *stated->leavingSince + m_drainTime;
}

double TargetSelector::WarmUpFraction(TimePoint now, const Row& row)
{
  if (row.openedAt == TimePoint{}) {
    return 1;
  }
  const double age = std::chrono::duration<double>(now - row.openedAt) / kSlowStart;
  return std::clamp(age, kSlowStartMin, 1.0);
}

// Step times that differ by less than kSlowStepRatio only reflect the variation of prompts. A
// target above it is slow, and every request sent there is late.
double TargetSelector::CostOf(TimePoint now,
                              const Row& row,
                              const TargetQuery& query,
                              Duration fastestStep,
                              const ShareState& shareState) const
{
  if (const std::optional<EventForecast> forecast = ForecastOf(row, query)) {
    const double ticks =
      std::floor(std::chrono::duration<double>(forecast->firstEvent) / kEqualForecasts);
    return ticks / WarmUpFraction(now, row);
  }
  const double slots = std::max(CapacityOf(row.target, shareState), 1U);
  const double capacity = slots * WarmUpFraction(now, row);
  const double load = static_cast<double>(row.inFlight + 1) / capacity;
  const Duration step = row.stepTime.Estimate(now);
  const double ratio = fastestStep > Duration::zero() ? static_cast<double>(step.count()) /
                                                          static_cast<double>(fastestStep.count())
                                                      : 1;
  return load * std::max(1.0, ratio / kSlowStepRatio);
}

std::vector<const TargetSelector::Row*> TargetSelector::ListUsable(
  TimePoint now,
  const TargetQuery& query,
  const ShareState& shareState) const
{
  std::vector<const Row*> usable;
  for (const auto& [instance, row] : m_rows) {
    if (Fits(now, row, query) && now >= row.unreachableUntil &&
        HasCapacity(row, query, shareState) && !query.tried.contains(instance) &&
        !IsSilent(now, row, kSuspectAfter) && !IsLimited(now, row, shareState) &&
        !IsInBackoff(now, row)) {
      usable.push_back(&row);
    }
  }
  const bool anyNotAvoided =
    std::ranges::any_of(usable, [&](const Row* row) { return !IsAvoided(now, *row); });
  if (anyNotAvoided) {
    std::erase_if(usable, [&](const Row* row) { return IsAvoided(now, *row); });
  }
  SlotUse best = SlotUse::kBeyondPart;
  for (const Row* row : usable) {
    best = std::min(best, SlotUseOf(*row, shareState));
  }
  std::erase_if(usable, [&](const Row* row) { return SlotUseOf(*row, shareState) != best; });
  return usable;
}

// A single lost answer is weak evidence against a head that continues with dozens of others. If
// avoided heads got no requests at all, 3% to 6% of all callers would be refused while answers are
// lost, although the few heads of their model have capacity. So an avoided head is used when no
// other has capacity.
bool TargetSelector::IsAvoided(TimePoint now, const Row& row) const
{
  const TargetStatements::Row* stated = StatementsOf(row);
  const bool isLeaving = stated != nullptr && stated->leavingSince;
  return now < row.avoidUntil || isLeaving;
}

bool TargetSelector::IsAvoided(TimePoint now, const InstanceId& instance) const
{
  const auto found = m_rows.find(instance);
  return found != m_rows.end() && IsAvoided(now, found->second);
}

const ServedTarget* TargetSelector::Choose(TimePoint now, const TargetQuery& query)
{
  const ShareState shareState = ShareStateOf(now, query);
  const std::vector<const Row*> usable = ListUsable(now, query, shareState);
  Duration fastestStep{};
  for (const Row* row : usable) {
    const Duration step = row->stepTime.Estimate(now);
    const bool isShorter = fastestStep == Duration::zero() || step < fastestStep;
    fastestStep = step > Duration::zero() && isShorter ? step : fastestStep;
  }
  const Row* best = nullptr;
  std::pair<double, bool> bestRank;
  std::uint64_t ties = 0;
  for (const Row* row : usable) {
    const std::pair rank(CostOf(now, *row, query, fastestStep, shareState),
                         row->target.failureDomain != m_ownDomain);
    if (best == nullptr || rank < bestRank) {
      best = row;
      bestRank = rank;
      ties = 1;
    } else if (rank == bestRank && m_random() % ++ties == 0) {
      // If every entry took the first of several equal targets, all would send to the same one.
      best = row;
    }
  }
  return best == nullptr ? nullptr : &best->target;
}

// kFull is returned only if no target has capacity: a target that has capacity but cannot be used
// is the more useful reason.
NoTargetReason TargetSelector::ReasonForNoTarget(TimePoint now, const TargetQuery& query) const
{
  if (!HasAny(now, query)) {
    return NoTargetReason::kNone;
  }
  const ShareState shareState = ShareStateOf(now, query);
  bool anyHasCapacity = false;
  bool anyIsFull = false;
  bool anyIsLimited = false;
  for (const auto& [instance, row] : m_rows) {
    if (!Fits(now, row, query) || IsInBackoff(now, row)) {
      continue;
    }
    if (!HasCapacity(row, query, shareState)) {
      anyIsFull = true;
    } else if (IsLimited(now, row, shareState)) {
      anyIsLimited = true;
    } else {
      anyHasCapacity = true;
    }
  }
  if (!anyHasCapacity) {
    const NoTargetReason ofOthers =
      anyIsLimited ? NoTargetReason::kLimited : NoTargetReason::kBackoff;
    return anyIsFull ? NoTargetReason::kFull : ofOthers;
  }
  const bool anyIsSilent = std::ranges::any_of(m_rows, [&](const auto& each) {
    return Fits(now, each.second, query) && IsSilent(now, each.second, kSuspectAfter);
  });
  return anyIsSilent ? NoTargetReason::kSilent : NoTargetReason::kUnreachable;
}

Duration TargetSelector::LimitInterval(TimePoint now, const TargetQuery& query) const
{
  double perSecond = kMinLimit;
  for (const auto& [instance, row] : m_rows) {
    const TargetStatements::Row* stated = Fits(now, row, query) ? StatementsOf(row) : nullptr;
    perSecond += stated == nullptr ? 0 : stated->limit.value_or(0);
    const bool isCold = Fits(now, row, query) && now < row.target.coldUntil;
    perSecond += isCold ? row.target.coldPerSecond : 0;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
}

std::optional<Duration> TargetSelector::BackoffLeft(TimePoint now, const TargetQuery& query) const
{
  std::optional<Duration> left;
  for (const auto& [instance, row] : m_rows) {
    if (Fits(now, row, query) && IsInBackoff(now, row)) {
      const Duration own = StatementsOf(row)->backoffUntil - now;
      left = std::min(left.value_or(own), own);
    }
  }
  return left;
}

bool TargetSelector::HasAny(TimePoint now, const TargetQuery& query) const
{
  return std::ranges::any_of(m_rows, [&](const auto& row) { return Fits(now, row.second, query); });
}

void TargetSelector::OnSent(TimePoint now, const TargetIncarnation& life, std::uint64_t tokens)
{
  Row* row = FindRow(life);
  if (row == nullptr) {
    return;
  }
  TakeLimit(now, *row);
  row->tokens += tokens;
  if (row->inFlight++ == 0) {
    row->busySince = now;
    row->stepTime.OnBusy(now);
  }
}

void TargetSelector::OnBytes(TimePoint now, const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    row->answeredAt = now;
    if (!row->target.servedModel.empty()) {
      row->stepTime.OnBytes(now);
    }
  }
}

void TargetSelector::OnAnswerTime(TimePoint now, const TargetIncarnation& life, Duration took)
{
  if (Row* row = FindRow(life)) {
    row->stepTime.OnAnswer(now, took);
  }
}

void TargetSelector::OnEnded(const TargetIncarnation& life, std::uint64_t tokens)
{
  Row* row = FindRow(life);
  if (row == nullptr || row->inFlight == 0) {
    return;
  }
  row->tokens -= std::min(row->tokens, tokens);
  if (--row->inFlight == 0 && row->gone) {
    m_rows.erase(life.instance);
  }
}

void TargetSelector::OnFailure(TimePoint now, const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    if (now < row->avoidUntil) {
      return; // Simultaneous failures count once.
    }
    const Duration pause = kAvoidInitial * (1U << std::min(row->failures, kMaxDoublings));
    ++row->failures;
    row->avoidUntil = now + std::min(pause, Duration(kAvoidMax));
  }
}

void TargetSelector::OnUnreachable(TimePoint now, const TargetIncarnation& life)
{
  OnNoAnswer(now, life);
  if (Row* row = FindRow(life)) {
    row->unreachableUntil = row->avoidUntil;
  }
}

void TargetSelector::OnNoAnswer(TimePoint now, const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    row->noAnswerAt = now;
    m_latestNoAnswer = now;
  }
  OnFailure(now, life);
}

void TargetSelector::OnStalled(TimePoint now, const TargetIncarnation& life)
{
  Row* row = FindRow(life);
  if (row != nullptr && row->noAnswerAt <= std::max(row->busySince, row->answeredAt)) {
    OnNoAnswer(now, life);
  } else if (row != nullptr) {
    row->noAnswerAt = now;
  }
}

void TargetSelector::OnSuccess(const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    row->failures = 0;
  }
}

std::vector<TargetIncarnation> TargetSelector::ListStalledHeads(TimePoint now) const
{
  std::vector<TargetIncarnation> stalled;
  for (const auto& [instance, row] : m_rows) {
    if (IsSilent(now, row, kStalledAfter)) {
      stalled.push_back({ instance, row.target.born });
    }
  }
  return stalled;
}

} // namespace gooseberrysail
