#pragma once

#include "gooseberrysail/routing/router.hpp"
#include "routing/own_history.hpp"
#include "routing/prefix_index.hpp"
#include "routing/sojourn.hpp"

#include <deque>
#include <unordered_map>

namespace gooseberrysail::impl {

using DomainIndex = std::uint16_t;

/// \brief The data of a group that a decision reads; kept small because a decision reads many.
struct GroupScore
{
  GroupId group;
  std::uint32_t own = 0;               ///< Own requests in flight.
  float others = 0;                    ///< Estimated requests of other senders.
  float awaitingFirst = 0;             ///< Cost of own requests in prefill.
  float slowness = 1;                  ///< Answer time relative to the peers'.
  float penalty = 0;                   ///< Ejected, silent or in an unreachable domain.
  std::uint32_t ownLimit = UINT32_MAX; ///< Limit on own requests during slow start.
  TimePoint backoffUntil{};            ///< After a refusal.
  DomainIndex domain = 0;
  bool open = true;
  bool listed = true; ///< Is a candidate; false while only retained.
};

/// \brief The data of a group that the feedback updates and the refresh evaluates.
struct GroupHealth
{
  // Load reports.
  double reportedOthers = 0;
  TimePoint reportObservedAt{}; ///< The moment that the report describes.
  TimePoint reportArrived{};
  Duration reportInterval{}; ///< Smoothed; zero before the second report.

  // Answers.
  Sojourn whole;
  Sojourn first;
  double awaitingFirst = 0; ///< Fractional: an aborted attempt counts in proportion.
  TimePoint lastSignalAt{}; ///< Last report, first byte or end.
  TimePoint failedAt{};
  std::uint32_t failures = 0; ///< Consecutive.
  std::uint32_t refusals = 0; ///< Consecutive.

  // Ejection and return.
  TimePoint ejectedUntil{};
  std::uint32_t ejections = 0;
  TimePoint rampFrom{};
  bool ramping = false;
};

/// \brief The data of all groups, in parallel arrays indexed by slot.
struct GroupTable
{
  std::vector<GroupScore> scores;
  std::vector<GroupHealth> health;
  std::vector<OwnHistory> histories;
  std::vector<CacheFeed> feeds;
  std::vector<RouteCandidate> candidates;
  std::vector<Slot> free;
  std::unordered_map<GroupId, Slot> slots;

  [[nodiscard]] Slot Find(GroupId group) const
  {
    const auto found = slots.find(group);
    return found == slots.end() ? kNoSlot : found->second;
  }

  Slot Insert(const RouteCandidate& candidate);
  void Erase(Slot slot);
  /// \brief Marks a group as not listed and retains its data for a limited time.
  /// \remarks Groups disappear and return with each lost connection. Without the retained data, a
  /// returning group would appear to have no requests running and an unknown cache.
  void Unlist(TimePoint now, Slot slot);

private:
  static constexpr std::size_t kMaxUnlisted = 64;
  static constexpr Duration kUnlistedRetention = std::chrono::seconds(60);
  struct Unlisted
  {
    GroupId group;
    TimePoint since{};
  };
  void EraseExpired(TimePoint now);

  std::deque<Unlisted> m_unlisted;
};

/// \brief The candidates of one catalogue entry.
struct EntryTable
{
  std::vector<Slot> slots;
  TimePoint refreshedAt{};
  TimePoint firstUsed{};
  bool used = false;
  double meanOthers = 0; ///< Per candidate.
  double meanOwn = 0;
  double medianWhole = 0; ///< Seconds.
  double medianFirst = 0;
};

/// \brief Updates the loads, slowness, ejections and silence penalties of one entry's groups.
class HealthRefresh
{
public:
  HealthRefresh(const RouterPolicy& policy, GroupTable& groups, std::size_t domains);
  void Run(TimePoint now, EntryTable& entry);

private:
  void AgeLoads(TimePoint now, EntryTable& entry);
  void CompareTimes(TimePoint now, EntryTable& entry);
  void EjectSlowest(TimePoint now, const EntryTable& entry);
  void MarkSilent(TimePoint now, const EntryTable& entry);
  void MarkDownDomains(TimePoint now, const EntryTable& entry);
  void Ramp(TimePoint now, const EntryTable& entry);
  [[nodiscard]] bool IsSilent(TimePoint now, TimePoint latestSignal, Slot slot) const;

  const RouterPolicy& m_policy;
  GroupTable& m_groups;
  std::vector<std::uint16_t> m_domainCount;
  std::vector<std::uint16_t> m_domainDown;
};

/// \brief Ejects a group for a time that doubles with each recent ejection, up to a limit.
void Eject(TimePoint now, const RouterPolicy& policy, GroupHealth& health);

/// Penalties in units of one request in flight. A penalised group is used only when no better one
/// is available, since a late answer is better than none.
inline constexpr float kSlowStartPenalty = 1e3F;
inline constexpr float kBackoffPenalty = 1e4F;
inline constexpr float kSilentPenalty = 1e5F;
inline constexpr float kEjectedPenalty = 1e6F;

} // namespace gooseberrysail::impl
