#pragma once

#include "gooseberrysail/routing/router.hpp"
#include "routing/own_history.hpp"
#include "routing/prefix_index.hpp"
#include "routing/sojourn.hpp"

#include <deque>
#include <unordered_map>

namespace gooseberrysail::impl {

using DomainIndex = std::uint16_t;

/// \brief What a decision reads of a group; kept small because a decision reads many.
struct GroupScore
{
  GroupId group;
  std::uint32_t own = 0;              ///< Own requests in flight.
  float others = 0;                   ///< Requests of other senders, aged.
  float awaitingFirst = 0;            ///< Cost of own requests in prefill.
  float slowness = 1;                 ///< Time of an answer against the peers'.
  float penalty = 0;                  ///< Refreshed: ejected, silent, in a dark domain.
  std::uint32_t ownMost = UINT32_MAX; ///< Own requests allowed during slow start.
  TimePoint backoffUntil{};           ///< It refused lately.
  DomainIndex domain = 0;
  bool open = true;
  bool listed = true; ///< A candidate now; false while only remembered.
};

/// \brief What the refresh and the feedback need of a group.
struct GroupHealth
{
  // Load reports.
  double reportedOthers = 0;
  TimePoint reportedFor{}; ///< The moment the report tells of.
  TimePoint reportArrived{};
  Duration reportInterval{}; ///< Smoothed; zero before the second report.

  // Answers.
  Sojourn whole;
  Sojourn first;
  double awaitingFirst = 0; ///< A mean where an end does not tell whether a byte had come.
  TimePoint heardAt{};      ///< Last report, first byte or end.
  TimePoint failedAt{};
  std::uint32_t failures = 0; ///< In a row.
  std::uint32_t refusals = 0; ///< In a row.

  // Ejection and return.
  TimePoint ejectedUntil{};
  std::uint32_t ejections = 0;
  TimePoint rampFrom{};
  bool ramping = false;
};

/// \brief A group as a decision, its feedback and its callers need it.
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
  /// \brief Takes a group off the list but remembers it for a while.
  /// \remarks Groups go and come with each lost connection. Forgotten, a group would come back
  /// without the requests that are still running there and with an unknown cache.
  void Park(TimePoint now, Slot slot);

private:
  static constexpr std::size_t kMostParked = 64;
  static constexpr Duration kParkedFor = std::chrono::seconds(60);
  struct Parked
  {
    GroupId group;
    TimePoint since{};
  };
  void ErasePastParked(TimePoint now);

  std::deque<Parked> m_parked;
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

/// \brief Brings aged loads, slowness, ejections and suspicions of one entry's groups up to date.
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
  void MarkDarkDomains(TimePoint now, const EntryTable& entry);
  void Ramp(TimePoint now, const EntryTable& entry);
  [[nodiscard]] bool IsSilent(TimePoint now, TimePoint latestHeard, Slot slot) const;

  const RouterPolicy& m_policy;
  GroupTable& m_groups;
  std::vector<std::uint16_t> m_domainCount;
  std::vector<std::uint16_t> m_domainDown;
};

/// \brief Leaves a group out for a time that doubles with each ejection.
void Eject(TimePoint now, const RouterPolicy& policy, GroupHealth& health);

/// Soft penalties, in units of one request in flight: such a group is used only when no better one
/// is left, since a late answer is worth more than none.
inline constexpr float kOverRampPenalty = 1e3F;
inline constexpr float kBackoffPenalty = 1e4F;
inline constexpr float kSilentPenalty = 1e5F;
inline constexpr float kEjectedPenalty = 1e6F;

} // namespace gooseberrysail::impl
