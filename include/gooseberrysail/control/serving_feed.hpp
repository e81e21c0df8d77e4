#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/control/head_shares.hpp"
#include "gooseberrysail/control/target_changes.hpp"
#include "gooseberrysail/placement/model_work.hpp"
#include "gooseberrysail/serving/served_target.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Sends entries the serving document and the targets; used on the leader only.
class ServingFeed
{
public:
  void OnLeaderStart();
  /// \brief Records an entry's state and observations; the next tick sends what it lacks.
  void OnQuery(ControlContext& context, const ProcessId& entry, const wire::ServingQueryT& query);
  void OnPeerDown(const ProcessId& entry);

  /// \brief Replaces the targets that entries receive; a difference starts a new sequence number.
  void SetTargets(std::span<const ServedTarget> targets);

  /// \brief Sets whether the list of targets is complete. An incomplete list goes only to entries
  /// without targets: others would drop targets that still serve.
  void SetTargetsComplete(bool isWhole) { m_isWhole = isWhole; }

  /// \brief Sends each entry what it lacks: urgent changes at once, others batched.
  void Tick(ControlContext& context);

  /// \brief Heads that answered some entry within kAnsweredLately.
  [[nodiscard]] std::set<InstanceId> AnsweringHeads(TimePoint now) const;

  /// \brief Heads that some entry reported as failing and that had answered no entry for
  /// kStandsStill before the report.
  [[nodiscard]] std::set<InstanceId> FailingHeads(TimePoint now) const;

  /// \brief Step time of each head: the shortest that any entry measured. Longer times at other
  /// entries include their network latency to the head.
  [[nodiscard]] std::map<InstanceId, Duration> HeadSteps(TimePoint now) const;

  /// \brief Demand for each model, summed over all entries.
  [[nodiscard]] std::map<std::string, ModelDemand> Demand() const;

  /// \brief Whether any entry has reported requests.
  [[nodiscard]] bool HasTraffic() const noexcept { return m_hasTraffic; }

  /// \brief A working head with requests in flight answers at least once within this time.
  static constexpr Duration kAnsweredLately = std::chrono::milliseconds(1500);

  /// \brief An entry reports a head as failing after 600 ms without an answer. Other entries, which
  /// report every 500 ms, may have had a later answer. A false positive costs one probe of each
  /// member and ends no group.
  static constexpr Duration kStandsStill = std::chrono::milliseconds(500);

  /// \brief Interval at which changes that are not urgent are sent together.
  static constexpr Duration kJoinTime = std::chrono::milliseconds(50);

  /// \brief Interval at which the entries' shares of the heads are recomputed, since callers move
  /// between entries. They are also recomputed at once when heads are added or removed.
  static constexpr Duration kDivideInterval = std::chrono::milliseconds(500);

  /// \brief Time within which all entries query a new leader. Heads divided earlier, among the
  /// first entries alone, would give each of these several times its share.
  static constexpr Duration kMeetEntries = std::chrono::seconds(1);

  /// \brief State that an entry's queries don't confirm within this time is sent again. It exceeds
  /// the time that a document takes over a saturated link, and the time after which a silent
  /// connection is closed.
  static constexpr Duration kSendAgain = std::chrono::seconds(4);

private:
  /// \brief One entry's requests for one model, as an exponentially weighted moving average.
  struct ModelRate
  {
    ModelDemand counted; ///< Totals since the entry started, at `at`.
    ModelDemand perSecond;
    double seenSeconds = 0; ///< Observed time that `perSecond` averages.
    TimePoint at{};
  };

  /// \brief The state that an entry has, or was sent on its current connection.
  struct Supplied
  {
    std::uint64_t document = 0;
    std::uint64_t targets = 0; ///< Sequence number in this leader's term.
    TimePoint at{};            ///< Time of the latest frame.
  };

  struct Entry
  {
    Supplied supplied;
    bool knowsTargets = false; ///< From any leader.
    bool knowsControls = false;
    FailureDomainId failureDomain;
    TimePoint heardAt{};
    bool isConnected = true;
    std::map<InstanceId, TimePoint> answeredAt;
    std::map<InstanceId, TimePoint> failedAt;
    std::map<InstanceId, Duration> steps;    ///< As last reported.
    std::map<std::string, ModelRate> rates;  ///< By model.
    std::map<std::string, double> toldParts; ///< Its part of each model's requests, as last sent.
    HeadShares shares;                       ///< Of the heads of all models.
    HeadShares toldShares;                   ///< As last sent.
  };

  using Parts = std::map<std::string, double>; ///< By model.

  /// \brief Time of the head's latest answer to any entry; the clock's epoch when there was none.
  [[nodiscard]] TimePoint LastAnswer(const InstanceId& head) const;
  /// \brief The entry's part of the total `demand` for each model.
  [[nodiscard]] Parts PartsOf(const Entry& entry,
                              const std::map<std::string, ModelDemand>& demand) const;
  /// \brief The entry's part of one model's requests.
  [[nodiscard]] double PartOf(const Entry& entry,
                              const std::string& model,
                              const std::map<std::string, ModelDemand>& demand) const;
  void NoteHave(const ControlContext& context,
                Entry& entry,
                const wire::ServingQueryT& query) const;
  static void NoteDemand(TimePoint now, Entry& entry, const wire::ModelDemandT& demand);
  /// \brief After a change of the control processes, adds their addresses to each entry's next
  /// frame.
  void FollowControls(const ControlContext& context);
  /// \brief State that an entry lacks; entries that lack the same receive the same message.
  struct Lack
  {
    bool controls = false;
    bool document = false;
    std::optional<std::uint64_t> targetsSince; ///< None when its targets are up to date.

    friend auto operator<=>(const Lack&, const Lack&) = default;
  };
  using Messages = std::map<Lack, std::shared_ptr<wire::EnvelopeT>>;

  /// \brief Recomputes the entries' shares of the heads when that is due.
  void FollowHeads(TimePoint now, const std::map<std::string, ModelDemand>& demand);
  void Divide(const std::map<std::string, ModelDemand>& demand);
  [[nodiscard]] bool IsDueTargets(const ControlContext& context, const Entry& entry) const;
  void Supply(ControlContext& context,
              const ProcessId& process,
              Entry& entry,
              const std::map<std::string, ModelDemand>& demand,
              Messages& messages);
  /// \brief Adds the entry's parts of the requests and its shares of the heads.
  static void AddShares(const Entry& entry, wire::ServingStateT& state);
  [[nodiscard]] wire::ServingStateT MakeState(const ControlContext& context,
                                              const Lack& lack) const;

  std::map<ProcessId, Entry> m_entries;
  std::vector<EntrySettings::Control> m_toldControls; ///< As last sent to entries.
  TargetChanges m_targets;
  std::uint64_t m_urgentSequence = 0;                       ///< Of the latest urgent change.
  std::map<std::string, std::vector<HeadCapacity>> m_heads; ///< Heads that accept work, by model.
  bool m_isDivided = false;                                 ///< Shares match m_heads.
  TimePoint m_nextDivide{};
  TimePoint m_firstAskedAt{}; ///< First query of any entry to this leader.
  bool m_hasTraffic = false;
  bool m_isWhole = false;
};

/// \brief The addresses of the control processes, which a follower sends to an entry.
[[nodiscard]] wire::ServingStateT MakeControlList(const ControlContext& context);

} // namespace gooseberrysail
