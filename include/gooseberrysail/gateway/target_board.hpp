#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/gateway/pace_meter.hpp"
#include "gooseberrysail/serving/served_target.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief What an attempt needs of a target.
struct TargetWish
{
  std::string_view service;
  std::string_view model; ///< "" for plain services.
  const std::set<InstanceId>& tried;
};

/// \brief Why no target can take a request.
enum class NoTarget
{
  kNone,       ///< None serves it.
  kFull,       ///< All have what they can take.
  kSilent,     ///< Those with room have work and answer nothing.
  kOutOfReach, ///< Those with room could not be reached a moment ago.
};

/// \brief For a log line and a caller's answer.
[[nodiscard]] const char* ToString(NoTarget reason) noexcept;

/// \brief The targets that this entry may use, with what it saw of each.
class TargetBoard
{
public:
  struct Row
  {
    ServedTarget target;
    std::uint32_t inFlight = 0;  ///< Of this entry.
    TimePoint openedAt{};        ///< As a head, where that was seen.
    TimePoint busySince{};       ///< In flight without a break since then.
    TimePoint answeredAt{};      ///< Latest byte of any answer.
    TimePoint silentAt{};        ///< Latest connection or answer that did not come in time.
    TimePoint avoidUntil{};      ///< Left to the others while one of them has room.
    TimePoint outOfReachUntil{}; ///< Gets nothing.
    PaceMeter pace;
    std::uint32_t failures = 0; ///< In a row.
    bool gone = false;          ///< Not listed any more; kept while work is in flight.
  };

  TargetBoard(FailureDomainId own, std::function<std::uint64_t()> random);

  /// \brief Takes over the whole list. What was seen of the former life of a target that started
  /// again is forgotten.
  /// \returns The targets that started again.
  std::vector<InstanceId> Replace(std::span<const ServedTarget> targets);

  /// \brief As Replace, of those that changed and those that are listed no more.
  std::vector<InstanceId> Change(TimePoint now,
                                 std::span<const ServedTarget> changed,
                                 std::span<const InstanceId> gone);

  /// \brief How many targets are listed.
  [[nodiscard]] std::size_t Listed() const;

  /// \brief How many entries share the targets.
  void SetEntries(std::uint32_t entries) { m_entries = entries == 0 ? 1 : entries; }

  /// \brief Which part of all callers of the model come to this entry, 0 to 1. Clients choose their
  /// entry by a hash: some have twice as many as others, and with even parts of the heads' slots
  /// they would refuse while the others had room.
  void SetPart(const std::string& model, double part) { m_parts[model] = part; }

  /// \brief Which part of each head's slots this entry may use, of all that it may use; the others
  /// are divided among other entries, which lend a place where theirs aren't enough here.
  void SetShares(std::map<InstanceId, double> shares) { m_shares = std::move(shares); }

  /// \brief The target for an attempt; null when none can take it now.
  [[nodiscard]] const ServedTarget* Choose(TimePoint now, const TargetWish& wish);

  /// \brief Whether the service has a target for the model at all, busy or avoided ones included.
  [[nodiscard]] bool HasAny(const TargetWish& wish) const;

  /// \brief Why Choose() found none.
  [[nodiscard]] NoTarget WhyNone(TimePoint now, const TargetWish& wish) const;

  // Of a former life of a target these change nothing.

  void OnSent(TimePoint now, const TargetIncarnation& life);
  void OnBytes(TimePoint now, const TargetIncarnation& life);
  void OnEnded(const TargetIncarnation& life);

  /// \brief A plain service's whole answer came `took` after it was asked for.
  void OnAnswerTime(TimePoint now, const TargetIncarnation& life, Duration took);

  /// \brief The target refused or failed: for a moment it gets only what no other has room for,
  /// longer each time in a row.
  void OnTrouble(TimePoint now, const TargetIncarnation& life);

  /// \brief The target did not answer at all: as OnTrouble, and control is told.
  void OnSilence(TimePoint now, const TargetIncarnation& life);

  /// \brief Nobody could be reached there: as OnSilence, and it gets nothing for a moment.
  void OnOutOfReach(TimePoint now, const TargetIncarnation& life);

  /// \brief When a target last gave no answer.
  [[nodiscard]] TimePoint LatestSilence() const noexcept { return m_latestSilence; }

  /// \brief A whole answer came.
  void OnSuccess(const TargetIncarnation& life);

  /// \brief Heads with work in flight of which no byte came for kStall.
  [[nodiscard]] std::vector<TargetIncarnation> StalledHeads(TimePoint now) const;

  [[nodiscard]] const std::map<InstanceId, Row>& Rows() const noexcept { return m_rows; }

  /// \brief A head that works sends some event of some request every 100 ms, and within 250 ms
  /// while it reads long prompts; one that waits for a dead member sends none for seconds. After
  /// kSuspect it gets no more work; after kStall what it has goes elsewhere, where that is allowed.
  static constexpr Duration kSuspect = std::chrono::milliseconds(300);
  static constexpr Duration kStall = std::chrono::milliseconds(600);

private:
  /// \param openedAt When heads that are new began to take work; the epoch of the clock where that
  /// isn't known.
  std::vector<InstanceId> TakeOverAll(TimePoint openedAt, std::span<const ServedTarget> targets);
  /// \returns Whether the target started again.
  bool TakeOver(TimePoint openedAt, const ServedTarget& target);
  /// \brief Which part of its room a head should have by now.
  [[nodiscard]] static double Filled(TimePoint now, const Row& row);
  /// \brief Drops rows that are listed no more and have no work in flight.
  void DropGone();
  /// \brief Null for a target that is not listed, and for a former life of one that is.
  [[nodiscard]] Row* FindRow(const TargetIncarnation& life);
  [[nodiscard]] static bool IsSilent(TimePoint now, const Row& row, Duration limit);
  [[nodiscard]] static bool Fits(const Row& row, const TargetWish& wish);
  /// \brief How the heads of a wish stand to this entry.
  struct Own
  {
    bool isDivided = false; ///< Some head is in this entry's share.
    std::uint32_t lent = 0; ///< Places that may be used at heads in others' shares.
  };
  /// \brief The part of the model's callers that come to this entry, as far as it was told.
  [[nodiscard]] double PartOf(std::string_view model) const;
  [[nodiscard]] Own OwnOf(const TargetWish& wish) const;
  [[nodiscard]] bool IsLent(const ServedTarget& target, const Own& own) const;
  [[nodiscard]] std::uint32_t RoomOf(const ServedTarget& target, const Own& own) const;
  /// \brief How soon a target has room for one more, for comparison: its load by its pace.
  [[nodiscard]] double CostOf(TimePoint now,
                              const Row& row,
                              Duration usualStep,
                              const Own& own) const;
  [[nodiscard]] std::vector<const Row*> ListUsable(TimePoint now,
                                                   const TargetWish& wish,
                                                   const Own& own) const;
  static bool IsAvoided(TimePoint now, const Row& row);

  FailureDomainId m_own;
  std::uint32_t m_entries = 1;
  std::map<std::string, double, std::less<>>
    m_parts;                             ///< By model; an even part for those not told of.
  std::map<InstanceId, double> m_shares; ///< Of the heads in this entry's share.
  std::function<std::uint64_t()> m_random;
  std::map<InstanceId, Row> m_rows;
  TimePoint m_latestSilence{};
};

} // namespace gooseberrysail
