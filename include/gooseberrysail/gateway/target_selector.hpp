#pragma once

#include "gooseberrysail/admission/first_event_forecast.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/gateway/step_time_estimator.hpp"
#include "gooseberrysail/gateway/target_statements.hpp"
#include "gooseberrysail/serving/served_target.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief The requirements of an attempt for its target.
struct TargetQuery
{
  std::string_view service;
  std::string_view model; ///< "" for plain services.
  const std::set<InstanceId>& tried;
  /// \brief First events arrive so soon that the heads must have free slots beyond this entry's
  /// part of them.
  bool headsHaveRoom = false;
  std::uint32_t maxConnections = 0; ///< That a target takes from all entries; 0: no limit.
  std::uint64_t cacheTokens = 0;    ///< That a group holds for all entries; 0: no limit.
  std::uint64_t tokens = 0;         ///< Of the request: its prompt and expected output.
  /// \brief Predicts the request's first event at a head of which this entry has this share; empty
  /// where heads are compared by their requests in flight.
  std::function<EventForecast(const ServedTarget& head, double share, std::uint32_t inFlight)>
    forecast = {};
  Duration firstEventLimit{}; ///< A head with a later predicted first event counts as full.
  Duration pauseLimit{};      ///< Likewise, for a longer pause between events; 0 for none.
};

/// \brief Why no target can take a request.
enum class NoTargetReason
{
  kNone,        ///< No listed target serves it.
  kFull,        ///< All are at capacity.
  kLimited,     ///< All get as many requests a second from this entry as they take, by a limit
                ///< that they stated or because they are cold.
  kBackoff,     ///< All want no requests from this entry for a time.
  kSilent,      ///< A head with requests in flight sends no bytes.
  kUnreachable, ///< Those with capacity are unreachable or were already tried.
};

/// \brief Text for log lines and for the answer to the caller.
[[nodiscard]] const char* ToString(NoTargetReason reason) noexcept;

/// \brief Tracks the state of the targets as seen by this entry, and selects one for each attempt.
class TargetSelector
{
public:
  struct Row
  {
    ServedTarget target;
    std::uint32_t inFlight = 0;   ///< Requests of this entry.
    std::uint64_t tokens = 0;     ///< Of these requests.
    TimePoint openedAt{};         ///< When it became a head; the epoch where unknown.
    TimePoint busySince{};        ///< Since then at least one request was in flight.
    TimePoint answeredAt{};       ///< When the latest byte of any answer arrived.
    TimePoint noAnswerAt{};       ///< When an expected answer last failed to arrive.
    TimePoint avoidUntil{};       ///< Used only when no other target has capacity.
    TimePoint unreachableUntil{}; ///< Gets no requests.
    /// \brief Requests left of this entry's part of what it takes while it is cold, as of coldAt.
    double coldLeft = 0;
    TimePoint coldAt{};
    StepTimeEstimator stepTime;
    std::uint32_t failures = 0; ///< Consecutive.
    bool gone = false;          ///< No longer listed; kept while requests are in flight.
    bool isHead = false;        ///< It is one, or was one and may still have its requests.
  };

  TargetSelector(FailureDomainId ownDomain, std::function<std::uint64_t()> random);

  /// \brief Sets how long a target that says it leaves still gets requests when no other has
  /// capacity.
  void SetDrainTime(Duration drainTime) { m_drainTime = drainTime; }

  /// \brief Replaces the whole list. The state of a target that has restarted is reset.
  /// \returns The targets that have restarted.
  std::vector<InstanceId> Replace(TimePoint now, std::span<const ServedTarget> targets);

  /// \brief Like Replace, with only the changed and the removed targets.
  std::vector<InstanceId> Change(TimePoint now,
                                 std::span<const ServedTarget> changed,
                                 std::span<const InstanceId> gone);

  /// \brief How many targets are listed.
  [[nodiscard]] std::size_t Listed() const;

  /// \brief How many entries share the targets.
  void SetEntries(std::uint32_t entries) { m_entries = entries == 0 ? 1 : entries; }

  /// \brief Sets the fraction of the model's callers that use this entry, 0 to 1.
  /// \remarks Clients choose their entry by a hash, so some entries have twice as many callers as
  /// others. With equal parts of the heads' slots those would refuse requests while other entries
  /// had free slots.
  void SetCallerFraction(const std::string& model, double fraction)
  {
    m_callerFractions[model] = fraction;
  }

  /// \brief Sets the heads that are assigned to this entry, with its fraction of each head's slots.
  /// \remarks The other heads are assigned to other entries. This entry may borrow a limited number
  /// of slots there when its own are taken.
  void SetShares(std::map<InstanceId, double> shares) { m_shares = std::move(shares); }

  /// \brief This entry's fraction of a head's slots.
  [[nodiscard]] double ShareOf(const ServedTarget& head) const;

  /// \brief Selects the target for an attempt; null when none can take it now.
  [[nodiscard]] const ServedTarget* Choose(TimePoint now, const TargetQuery& query);

  /// \brief Whether a listed target serves the query, including full and avoided ones.
  [[nodiscard]] bool HasAny(TimePoint now, const TargetQuery& query) const;

  /// \brief How long it takes until the targets that serve the query take one more request from any
  /// entry, by their limits.
  [[nodiscard]] Duration LimitInterval(TimePoint now, const TargetQuery& query) const;

  /// \brief How long it takes until the first backoff of a target ends; none if
  /// none of those that serve the query is in backoff.
  [[nodiscard]] std::optional<Duration> BackoffLeft(TimePoint now, const TargetQuery& query) const;

  /// \brief The reason why Choose() returned null.
  [[nodiscard]] NoTargetReason ReasonForNoTarget(TimePoint now, const TargetQuery& query) const;

  // The functions below ignore events of a target's instance from before its latest restart.

  /// \param tokens Of the request: its prompt and expected output.
  void OnSent(TimePoint now, const TargetIncarnation& life, std::uint64_t tokens = 0);
  void OnBytes(TimePoint now, const TargetIncarnation& life);
  void OnEnded(const TargetIncarnation& life, std::uint64_t tokens = 0);

  /// \brief The head of an answer to a request that was sent at `sentAt`.
  /// \returns How it changes the target's limit.
  LimitChange OnLimit(TimePoint now,
                      const TargetIncarnation& life,
                      TimePoint sentAt,
                      const LimitStatement& statement)
  {
    return m_statements.OnLimit(now, life, sentAt, statement);
  }

  /// \returns How an answer changes the backoff that the target asks for.
  BackoffChange OnBackoff(TimePoint now,
                          const TargetIncarnation& life,
                          const BackoffStatement& statement)
  {
    return m_statements.OnBackoff(now, life, statement);
  }

  /// \brief The target says that it leaves.
  /// \returns Whether that is new.
  bool OnLeaving(TimePoint now, const TargetIncarnation& life)
  {
    return m_statements.OnLeaving(now, life);
  }

  /// \brief A plain service's whole answer arrived `took` after its request was sent.
  void OnAnswerTime(TimePoint now, const TargetIncarnation& life, Duration took);

  /// \brief The target refused or failed. For a short time it is used only when no other target has
  /// capacity; the time doubles with each consecutive failure, up to a limit.
  void OnFailure(TimePoint now, const TargetIncarnation& life);

  /// \brief An expected answer failed to arrive: like OnFailure, and reported to control.
  void OnNoAnswer(TimePoint now, const TargetIncarnation& life);

  /// \brief A head with requests in flight is silent: like OnNoAnswer, once for each silence. The
  /// reports to control are renewed for as long as it lasts.
  void OnStalled(TimePoint now, const TargetIncarnation& life);

  /// \brief The connection failed: like OnNoAnswer, and the target gets no requests meanwhile.
  void OnUnreachable(TimePoint now, const TargetIncarnation& life);

  /// \brief The time of the latest OnNoAnswer() of any target.
  [[nodiscard]] TimePoint LatestNoAnswer() const noexcept { return m_latestNoAnswer; }

  /// \brief A whole answer arrived.
  void OnSuccess(const TargetIncarnation& life);

  /// \brief Heads with requests in flight that sent no bytes for longer than kStalledAfter.
  [[nodiscard]] std::vector<TargetIncarnation> ListStalledHeads(TimePoint now) const;

  /// \brief Whether the target is used only when no other has capacity: it has failed recently or
  /// says that it leaves.
  [[nodiscard]] bool IsAvoided(TimePoint now, const InstanceId& instance) const;

  [[nodiscard]] const TargetStatements& Statements() const noexcept { return m_statements; }

  [[nodiscard]] const std::map<InstanceId, Row>& Rows() const noexcept { return m_rows; }

  /// \brief Null for a target without a row, and for an instance from before its restart.
  [[nodiscard]] const Row* Find(const TargetIncarnation& life) const;

  /// \brief For how long a target with requests in flight has sent no bytes.
  [[nodiscard]] static Duration SilentFor(TimePoint now, const Row& row);

  /// \brief A working head sends an event of some request every 100 ms, and within 250 ms while it
  /// reads long prompts. A head that waits for a failed member sends none for seconds. After
  /// kSuspectAfter it gets no new requests; after kStalledAfter its requests are also
  /// sent elsewhere where permitted.
  static constexpr Duration kSuspectAfter = std::chrono::milliseconds(300);
  static constexpr Duration kStalledAfter = std::chrono::milliseconds(600);

private:
  /// \param openedAt When new heads began to accept work; the epoch of the clock where unknown.
  std::vector<InstanceId> ApplyUpdates(TimePoint now,
                                       TimePoint openedAt,
                                       std::span<const ServedTarget> targets);
  /// \returns Whether the target has restarted.
  bool ApplyUpdate(TimePoint now, TimePoint openedAt, const ServedTarget& target);
  /// \brief The fraction of its capacity that a head should have during slow start; 1 afterwards.
  [[nodiscard]] static double WarmUpFraction(TimePoint now, const Row& row);
  /// \brief Erases rows that are no longer listed and have no requests in flight.
  void DropGone();
  /// \brief Null for a target without a row, and for an instance from before its restart.
  [[nodiscard]] Row* FindRow(const TargetIncarnation& life);
  [[nodiscard]] static bool IsSilent(TimePoint now, const Row& row, Duration limit);
  [[nodiscard]] bool Fits(TimePoint now, const Row& row, const TargetQuery& query) const;
  /// \brief Whether the target has said that it leaves, and its drain time is over.
  [[nodiscard]] bool HasLeft(TimePoint now, const Row& row) const;
  /// \brief How the heads that fit a query are divided between the entries.
  struct ShareState
  {
    bool isDivided = false;       ///< At least one head is assigned to this entry.
    std::uint32_t borrowable = 0; ///< Slots left to use at other entries' heads.
  };
  /// \brief The fraction of the model's callers that use this entry; equal for all if not set.
  [[nodiscard]] double CallerFraction(std::string_view model) const;
  [[nodiscard]] ShareState ShareStateOf(TimePoint now, const TargetQuery& query) const;
  [[nodiscard]] bool IsInBackoff(TimePoint now, const Row& row) const;
  /// \brief How many requests a second this entry may send to a target with a limit.
  [[nodiscard]] double OwnLimit(const Row& row, double limit, const ShareState& shareState) const;
  /// \brief How many requests this entry may send now to a target with a limit.
  /// \param stated What the target has said of its limit.
  [[nodiscard]] double LimitLeft(TimePoint now,
                                 const Row& row,
                                 const TargetStatements::Row& stated,
                                 const ShareState& shareState) const;
  /// \brief How many requests this entry may send now to a target that is cold.
  [[nodiscard]] double ColdLeft(TimePoint now, const Row& row, const ShareState& shareState) const;
  [[nodiscard]] bool IsLimited(TimePoint now, const Row& row, const ShareState& shareState) const;
  /// \brief Counts a request to a target with a limit.
  void TakeLimit(TimePoint now, Row& row);
  /// \brief What the target's incarnation has said of itself; null for nothing.
  [[nodiscard]] const TargetStatements::Row* StatementsOf(const Row& row) const
  {
    return m_statements.Find(row.target.instance, row.target.born);
  }
  [[nodiscard]] bool IsBorrowed(const ServedTarget& target, const ShareState& shareState) const;
  [[nodiscard]] std::uint32_t CapacityOf(const ServedTarget& target,
                                         const ShareState& shareState) const;
  /// \brief Whose slots at a head a request uses, the preferred ones first.
  enum class SlotUse
  {
    kOwnPart,
    kBorrowed,   ///< Assigned to other entries, within what may be borrowed.
    kBeyondPart, ///< Unused ones of any entry, as the heads have room.
  };
  /// \brief Of one more request to a usable target.
  [[nodiscard]] SlotUse SlotUseOf(const Row& row, const ShareState& shareState) const;
  /// \brief Whether one more request fits into this entry's part of the target's connections and
  /// memory.
  [[nodiscard]] bool FitsLimits(const Row& row,
                                const TargetQuery& query,
                                const ShareState& shareState) const;
  /// \brief Whether this entry may send the target one more request.
  [[nodiscard]] bool HasCapacity(const Row& row,
                                 const TargetQuery& query,
                                 const ShareState& shareState) const;
  /// \brief The predicted first event at a head; none where nothing is predicted.
  [[nodiscard]] std::optional<EventForecast> ForecastOf(const Row& row,
                                                        const TargetQuery& query) const;
  /// \brief Cost of one more request, for comparison: the load, times the slowness of a slow
  /// target.
  [[nodiscard]] double CostOf(TimePoint now,
                              const Row& row,
                              const TargetQuery& query,
                              Duration fastestStep,
                              const ShareState& shareState) const;
  [[nodiscard]] std::vector<const Row*> ListUsable(TimePoint now,
                                                   const TargetQuery& query,
                                                   const ShareState& shareState) const;
  [[nodiscard]] bool IsAvoided(TimePoint now, const Row& row) const;

  FailureDomainId m_ownDomain;
  std::uint32_t m_entries = 1;
  std::map<std::string, double, std::less<>> m_callerFractions; ///< By model.
  std::map<InstanceId, double> m_shares;                        ///< Fraction of slots, by head.
  std::function<std::uint64_t()> m_random;
  std::map<InstanceId, Row> m_rows;
  TargetStatements m_statements;
  Duration m_drainTime{};
  TimePoint m_latestNoAnswer{};
};

} // namespace gooseberrysail
