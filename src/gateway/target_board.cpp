#include "gooseberrysail/gateway/target_board.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// The first trouble in a row; doubled by each further one up to the longest.
constexpr Duration kAvoidFirst = 250ms;
constexpr Duration kAvoidLongest = 4s;
constexpr std::uint32_t kMaxDoublings = 4;
/// Arrivals scatter over the entries, so that not all use their part at a time; an eighth more than
/// the slots keeps a head full. Means of 60 played days with 0.88, 1.0, 1.12 and 1.2 on two sites:
/// 0.542, 0.560, 0.576, 0.565 of the worth owed.
constexpr double kHeadFill = 1.12;
constexpr std::uint32_t kLeastRoom = 2;  ///< Where the heads aren't divided.
constexpr std::uint32_t kLeastShare = 1; ///< At a head in this entry's share.
/// When its own places are taken an entry uses so many of other entries', in parts of its own:
/// callers move between entries faster than the heads are divided anew.
constexpr double kLentPart = 0.25;
/// A head that just opened is filled over this long, about the time that its requests take. All
/// entries see it empty at one moment: filled at once, it reads dozens of prompts one after the
/// other, and their callers and the next wait for it.
constexpr Duration kSlowStart = 2s;
/// Of its room, at first.
constexpr double kSlowStartLeast = 0.1;
/// A target whose steps take this many times as long as the shortest ones of its kind is slow. A
/// full head that reads long prompts takes up to 2.5 times as long as one that only writes.
constexpr double kSoundPace = 2.5;
/// Services that state no number of slots.
constexpr std::uint32_t kDefaultSlots = 8;

std::uint32_t SlotsOf(const ServedTarget& target)
{
  return target.slots == 0 ? kDefaultSlots : target.slots;
}

/// What an entry may have in flight at a head of which it may use the part.
std::uint32_t PlacesOf(std::uint32_t slots, double part, std::uint32_t least)
{
  return std::max(least, static_cast<std::uint32_t>(std::lround(kHeadFill * slots * part)));
}

} // namespace

const char* ToString(NoTarget reason) noexcept
{
  switch (reason) {
    case NoTarget::kNone:
      return "no target serves it";
    case NoTarget::kFull:
      return "all targets are full";
    case NoTarget::kSilent:
      return "targets with room are silent";
    case NoTarget::kOutOfReach:
      return "targets with room are out of reach";
  }
  return "unknown";
}

TargetBoard::TargetBoard(FailureDomainId own, std::function<std::uint64_t()> random)
  : m_own(std::move(own))
  , m_random(std::move(random))
{
}

std::vector<InstanceId> TargetBoard::Replace(std::span<const ServedTarget> targets)
{
  for (auto& [instance, row] : m_rows) {
    row.gone = true;
  }
  // Which of them opened lately isn't known.
  return TakeOverAll(TimePoint{}, targets);
}

std::vector<InstanceId> TargetBoard::Change(TimePoint now,
                                            std::span<const ServedTarget> changed,
                                            std::span<const InstanceId> gone)
{
  for (const InstanceId& instance : gone) {
    if (const auto found = m_rows.find(instance); found != m_rows.end()) {
      found->second.gone = true;
    }
  }
  return TakeOverAll(now, changed);
}

std::vector<InstanceId> TargetBoard::TakeOverAll(TimePoint openedAt,
                                                 std::span<const ServedTarget> targets)
{
  std::vector<InstanceId> restarted;
  for (const ServedTarget& target : targets) {
    if (TakeOver(openedAt, target)) {
      restarted.push_back(target.instance);
    }
  }
  DropGone();
  return restarted;
}

bool TargetBoard::TakeOver(TimePoint openedAt, const ServedTarget& target)
{
  Row& row = m_rows[target.instance];
  const bool isReborn = target.born > row.target.born && !row.target.instance.IsNone();
  if (isReborn) {
    // Its work in flight, troubles and pace were the former life's.
    row = Row{};
  }
  if (row.target.servedModel != target.servedModel) {
    row.openedAt = openedAt;
  }
  row.target = target;
  row.gone = false;
  return isReborn;
}

void TargetBoard::DropGone()
{
  for (auto& [instance, row] : m_rows) {
    if (row.gone) {
      row.target.servedModel.clear(); // What it has in flight ends there, at its own time.
    }
  }
  std::erase_if(m_rows,
                [](const auto& row) { return row.second.gone && row.second.inFlight == 0; });
}

std::size_t TargetBoard::Listed() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_rows, [](const auto& row) { return !row.second.gone; }));
}

TargetBoard::Row* TargetBoard::FindRow(const TargetIncarnation& life)
{
  const auto found = m_rows.find(life.instance);
  const bool isPresent = found != m_rows.end() && found->second.target.born == life.born;
  return isPresent ? &found->second : nullptr;
}

TargetBoard::Own TargetBoard::OwnOf(const TargetWish& wish) const
{
  Own own;
  if (wish.model.empty()) {
    return own; // Plain services have no heads.
  }
  std::uint32_t places = 0;
  std::uint32_t lentNow = 0;
  std::uint32_t slots = 0;
  for (const auto& [instance, row] : m_rows) {
    if (!Fits(row, wish)) {
      continue;
    }
    slots += SlotsOf(row.target);
    if (const auto share = m_shares.find(instance); share != m_shares.end()) {
      own.isDivided = true;
      places += PlacesOf(SlotsOf(row.target), share->second, kLeastShare);
    } else {
      lentNow += row.inFlight;
    }
  }
  // Heads of its share may be gone since control told it.
  const double missing = kHeadFill * slots * PartOf(wish.model) - places;
  const auto most = static_cast<std::uint32_t>(std::lround(std::max(kLentPart * places, missing)));
  own.lent = most > lentNow ? most - lentNow : 0;
  return own;
}

double TargetBoard::PartOf(std::string_view model) const
{
  const auto told = m_parts.find(model);
  return told == m_parts.end() ? 1.0 / m_entries : told->second;
}

bool TargetBoard::IsLent(const ServedTarget& target, const Own& own) const
{
  return own.isDivided && !m_shares.contains(target.instance);
}

// Beyond its slots a head only queues: the callers of a full head then wait for seconds, and most
// of them in vain. Each entry sends a head no more than its part of the slots. Where control didn't
// divide the heads yet, that is an even part of each.
std::uint32_t TargetBoard::RoomOf(const ServedTarget& target, const Own& own) const
{
  const std::uint32_t slots = SlotsOf(target);
  if (target.servedModel.empty()) {
    return slots;
  }
  if (IsLent(target, own)) {
    return own.lent > 0 ? 1 : 0;
  }
  const auto share = m_shares.find(target.instance);
  if (share != m_shares.end()) {
    return PlacesOf(slots, share->second, kLeastShare);
  }
  return PlacesOf(slots, PartOf(target.servedModel), kLeastRoom);
}

bool TargetBoard::IsSilent(TimePoint now, const Row& row, Duration limit)
{
  const bool isHead = !row.target.servedModel.empty();
  return isHead && row.inFlight > 0 && now - std::max(row.busySince, row.answeredAt) > limit;
}

bool TargetBoard::Fits(const Row& row, const TargetWish& wish)
{
  return !row.gone && !row.target.leaving && row.target.service == wish.service &&
         row.target.servedModel == wish.model;
}

double TargetBoard::Filled(TimePoint now, const Row& row)
{
  if (row.openedAt == TimePoint{}) {
    return 1;
  }
  const double age = std::chrono::duration<double>(now - row.openedAt) / kSlowStart;
  return std::clamp(age, kSlowStartLeast, 1.0);
}

// Two targets of one load differ by how long they take for a step. Below kSoundPace that is the
// scatter of prompts; above, one of them is slow, and each request there is late for certain.
double TargetBoard::CostOf(TimePoint now, const Row& row, Duration usualStep, const Own& own) const
{
  const double room = RoomOf(row.target, own) * Filled(now, row);
  const double load = static_cast<double>(row.inFlight + 1) / room;
  const Duration step = row.pace.Step(now);
  const double ratio = usualStep > Duration::zero() ? static_cast<double>(step.count()) /
                                                        static_cast<double>(usualStep.count())
                                                    : 1;
  return load * std::max(1.0, ratio / kSoundPace);
}

std::vector<const TargetBoard::Row*> TargetBoard::ListUsable(TimePoint now,
                                                             const TargetWish& wish,
                                                             const Own& own) const
{
  std::vector<const Row*> usable;
  for (const auto& [instance, row] : m_rows) {
    if (Fits(row, wish) && now >= row.outOfReachUntil && row.inFlight < RoomOf(row.target, own) &&
        !wish.tried.contains(instance) && !IsSilent(now, row, kSuspect)) {
      usable.push_back(&row);
    }
  }
  const bool someAreSound =
    std::ranges::any_of(usable, [&](const Row* row) { return !IsAvoided(now, *row); });
  if (someAreSound) {
    std::erase_if(usable, [&](const Row* row) { return IsAvoided(now, *row); });
  }
  const bool someAreOwn =
    std::ranges::any_of(usable, [&](const Row* row) { return !IsLent(row->target, own); });
  if (someAreOwn) {
    std::erase_if(usable, [&](const Row* row) { return IsLent(row->target, own); });
  }
  return usable;
}

// One answer that was lost says little of a head that goes on with dozens of others. Left out for
// it, the few heads of a model refused 3 to 6 in 100 of all callers on days with lost answers while
// they had room; so a head that was avoided is used where no other has room.
bool TargetBoard::IsAvoided(TimePoint now, const Row& row)
{
  return now < row.avoidUntil;
}

const ServedTarget* TargetBoard::Choose(TimePoint now, const TargetWish& wish)
{
  const Own own = OwnOf(wish);
  const std::vector<const Row*> usable = ListUsable(now, wish, own);
  Duration usualStep{};
  for (const Row* row : usable) {
    const Duration step = row->pace.Step(now);
    const bool isShorter = usualStep == Duration::zero() || step < usualStep;
    usualStep = step > Duration::zero() && isShorter ? step : usualStep;
  }
  const Row* best = nullptr;
  std::pair<double, bool> bestRank;
  std::uint64_t equals = 0;
  for (const Row* row : usable) {
    const std::pair rank(CostOf(now, *row, usualStep, own), row->target.failureDomain != m_own);
    if (best == nullptr || rank < bestRank) {
      best = row;
      bestRank = rank;
      equals = 1;
    } else if (rank == bestRank && m_random() % ++equals == 0) {
      // Entries that all took the first of equals would send their work to one target.
      best = row;
    }
  }
  return best == nullptr ? nullptr : &best->target;
}

// The first reason that holds for all: one head with room that nobody reaches tells more than the
// others being full.
NoTarget TargetBoard::WhyNone(TimePoint now, const TargetWish& wish) const
{
  if (!HasAny(wish)) {
    return NoTarget::kNone;
  }
  const Own own = OwnOf(wish);
  const bool someHaveRoom = std::ranges::any_of(m_rows, [&](const auto& each) {
    return Fits(each.second, wish) && each.second.inFlight < RoomOf(each.second.target, own);
  });
  if (!someHaveRoom) {
    return NoTarget::kFull;
  }
  const bool someStandStill = std::ranges::any_of(m_rows, [&](const auto& each) {
    return Fits(each.second, wish) && IsSilent(now, each.second, kSuspect);
  });
  return someStandStill ? NoTarget::kSilent : NoTarget::kOutOfReach;
}

bool TargetBoard::HasAny(const TargetWish& wish) const
{
  return std::ranges::any_of(m_rows, [&](const auto& row) { return Fits(row.second, wish); });
}

void TargetBoard::OnSent(TimePoint now, const TargetIncarnation& life)
{
  Row* row = FindRow(life);
  if (row != nullptr && row->inFlight++ == 0) {
    row->busySince = now;
    row->pace.OnBusy(now);
  }
}

void TargetBoard::OnBytes(TimePoint now, const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    row->answeredAt = now;
    if (!row->target.servedModel.empty()) {
      row->pace.OnBytes(now);
    }
  }
}

void TargetBoard::OnAnswerTime(TimePoint now, const TargetIncarnation& life, Duration took)
{
  if (Row* row = FindRow(life)) {
    row->pace.OnAnswer(now, took);
  }
}

void TargetBoard::OnEnded(const TargetIncarnation& life)
{
  Row* row = FindRow(life);
  if (row == nullptr || row->inFlight == 0) {
    return;
  }
  if (--row->inFlight == 0 && row->gone) {
    m_rows.erase(life.instance);
  }
}

void TargetBoard::OnTrouble(TimePoint now, const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    if (IsAvoided(now, *row)) {
      return; // What failed together counts once.
    }
    const Duration pause = kAvoidFirst * (1U << std::min(row->failures, kMaxDoublings));
    ++row->failures;
    row->avoidUntil = now + std::min(pause, Duration(kAvoidLongest));
  }
}

void TargetBoard::OnOutOfReach(TimePoint now, const TargetIncarnation& life)
{
  OnSilence(now, life);
  if (Row* row = FindRow(life)) {
    row->outOfReachUntil = row->avoidUntil;
  }
}

void TargetBoard::OnSilence(TimePoint now, const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    row->silentAt = now;
    m_latestSilence = now;
  }
  OnTrouble(now, life);
}

void TargetBoard::OnSuccess(const TargetIncarnation& life)
{
  if (Row* row = FindRow(life)) {
    row->failures = 0;
  }
}

std::vector<TargetIncarnation> TargetBoard::StalledHeads(TimePoint now) const
{
  std::vector<TargetIncarnation> stalled;
  for (const auto& [instance, row] : m_rows) {
    if (IsSilent(now, row, kStall)) {
      stalled.push_back({ instance, row.target.born });
    }
  }
  return stalled;
}

} // namespace gooseberrysail
