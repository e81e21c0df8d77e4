#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/control/head_shares.hpp"
#include "gooseberrysail/control/target_changes.hpp"
#include "gooseberrysail/placement/model_work.hpp"
#include "gooseberrysail/serving/crash_suspects.hpp"
#include "gooseberrysail/serving/prompt_suspects.hpp"
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
  void SetTargetsComplete(bool areComplete) { m_areTargetsComplete = areComplete; }

  /// \brief Sends each entry what it lacks: urgent changes at once, others batched.
  void Tick(ControlContext& context);

  /// \brief Heads that answered some entry within kRecentAnswerWindow.
  [[nodiscard]] std::set<InstanceId> AnsweringHeads(TimePoint now) const;

  /// \brief Heads that some entry reported as failing and that had answered no entry for
  /// kHeadStallTime before the report.
  [[nodiscard]] std::set<InstanceId> FailingHeads(TimePoint now) const;

  /// \brief Step time of each head: the shortest that any entry measured. Longer times at other
  /// entries include their network latency to the head.
  [[nodiscard]] std::map<InstanceId, Duration> HeadSteps(TimePoint now) const;

  /// \brief Demand for each model, summed over all entries.
  [[nodiscard]] std::map<std::string, ModelDemand> Demand() const;

  /// \brief Whether any entry has reported requests.
  [[nodiscard]] bool HasTraffic() const noexcept { return m_hasTraffic; }

  /// \brief A working head with requests in flight answers at least once within this time.
  static constexpr Duration kRecentAnswerWindow = std::chrono::milliseconds(1500);

  /// \brief An entry reports a head as failing after 600 ms without an answer. Other entries, which
  /// report every 500 ms, may have had a later answer. A false positive costs one probe of each
  /// member and ends no group.
  static constexpr Duration kHeadStallTime = std::chrono::milliseconds(500);

  /// \brief Interval at which changes that are not urgent are sent together.
  static constexpr Duration kBatchInterval = std::chrono::milliseconds(50);

  /// \brief Interval at which the entries' shares of the heads are recomputed, since callers move
  /// between entries. They are also recomputed at once when heads are added or removed.
  static constexpr Duration kShareInterval = std::chrono::milliseconds(500);

  /// \brief Time within which all entries query a new leader. Heads divided earlier, among the
  /// first entries alone, would give each of these several times its share.
  static constexpr Duration kEntryDiscoveryTime = std::chrono::seconds(1);

  /// \brief Entries are sent the suspects with at least this many crashed targets. Most requests
  /// that were in flight at one crash are never suspected again.
  static constexpr std::size_t kMinSharedCrashes = CrashSuspects::kQuarantineAfter - 1;

  /// \brief After this time a trial that shows nothing is granted to another entry. The former one
  /// no longer uses it then.
  static constexpr Duration kTrialTimeout = 2 * PromptSuspects::kTrialValidity;

  /// \brief State that an entry's queries don't confirm within this time is sent again. It exceeds
  /// the time that a document takes over a saturated link, and the time after which a silent
  /// connection is closed.
  static constexpr Duration kResendAfter = std::chrono::seconds(4);

private:
  /// \brief One entry's requests for one model, as an exponentially weighted moving average.
  struct ModelRate
  {
    ModelDemand counted;  ///< Totals since the entry started.
    Duration countedAt{}; ///< When they were counted, by the entry's clock.
    ModelDemand perSecond;
    double observedSeconds = 0; ///< Observed time that `perSecond` averages.
  };

  /// \brief The state that an entry has, or was sent on its current connection.
  struct SentState
  {
    std::uint64_t document = 0;
    std::uint64_t targets = 0;     ///< Sequence number in this leader's term.
    std::uint64_t suspects = 0;    ///< Likewise.
    std::uint64_t promptParts = 0; ///< Likewise.
    TimePoint at{};                ///< Time of the latest frame.
  };

  struct Entry
  {
    SentState sent;
    bool hasTargets = false; ///< From any leader.
    bool hasControls = false;
    FailureDomainId failureDomain;
    TimePoint lastQueryAt{};
    bool isConnected = true;
    std::map<InstanceId, TimePoint> answeredAt;
    std::map<InstanceId, TimePoint> failedAt;
    std::map<InstanceId, Duration> steps;    ///< As last reported.
    std::map<std::string, ModelRate> rates;  ///< By model.
    std::map<std::string, double> sentParts; ///< Its part of each model's requests, as last sent.
    HeadShares shares;                       ///< Of the heads of all models.
    HeadShares sentShares;                   ///< As last sent.
    std::vector<RequestFingerprint> trials;  ///< Granted and not yet sent.
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
  /// \brief Tells the connected entries who leads now, so that they query at once.
  void AnnounceLeader(ControlContext& context);
  void UpdateSentState(const ControlContext& context,
                       Entry& entry,
                       const wire::ServingQueryT& query) const;
  /// \brief Adds the crashes that an entry reports.
  void MergeSuspects(ControlContext& context,
                     const ProcessId& process,
                     const wire::ServingQueryT& query);
  /// \brief Adds what an entry reports of parts of prompts.
  void MergePromptParts(ControlContext& context,
                        const ProcessId& process,
                        const wire::ServingQueryT& query);
  /// \brief Lets an entry try each held part that is due.
  void GrantTrials(const ControlContext& context);
  /// \param countedAt When the entry counted its requests, by its own clock.
  static void RecordDemand(Entry& entry, Duration countedAt, const wire::ModelDemandT& demand);
  /// \brief After a change of the control processes, adds their addresses to each entry's next
  /// frame.
  void UpdateControls(const ControlContext& context);
  /// \brief State that an entry lacks; entries that lack the same receive the same message.
  struct MissingState
  {
    bool controls = false;
    bool document = false;
    std::optional<std::uint64_t> targetsSince;     ///< None when no targets are sent.
    std::optional<std::uint64_t> suspectsSince;    ///< None when no suspects are sent.
    std::optional<std::uint64_t> promptPartsSince; ///< Likewise.

    friend auto operator<=>(const MissingState&, const MissingState&) = default;
  };
  using Messages = std::map<MissingState, std::shared_ptr<wire::EnvelopeT>>;

  /// \brief Recomputes the entries' shares of the heads when that is due.
  void UpdateHeadShares(TimePoint now, const std::map<std::string, ModelDemand>& demand);
  void AssignHeadShares(const std::map<std::string, ModelDemand>& demand);
  [[nodiscard]] bool AreTargetsDue(const ControlContext& context, const Entry& entry) const;
  void SendMissingState(ControlContext& context,
                        const ProcessId& process,
                        Entry& entry,
                        const std::map<std::string, ModelDemand>& demand,
                        Messages& messages);
  /// \brief Adds the entry's parts of the requests and its shares of the heads.
  static void AddShares(const Entry& entry, wire::ServingStateT& state);
  [[nodiscard]] wire::ServingStateT MakeState(const ControlContext& context,
                                              const MissingState& missing) const;

  std::map<ProcessId, Entry> m_entries;
  std::vector<EntrySettings::Control> m_sentControls; ///< As last sent to entries.
  TargetChanges m_targets;
  CrashSuspects m_suspects;
  PromptSuspects m_promptParts;
  std::uint64_t m_sharedParts = 0;                  ///< Sequence number of the latest part to send.
  std::map<RequestFingerprint, TimePoint> m_trials; ///< When they were granted.
  std::size_t m_trialsGranted = 0;
  std::uint64_t m_sharedSuspects = 0; ///< Sequence number of the latest suspect to send.
  std::uint64_t m_urgentSequence = 0; ///< Of the latest urgent change.
  std::map<std::string, std::vector<HeadCapacity>> m_heads; ///< Heads that accept work, by model.
  bool m_areSharesCurrent = false;                          ///< Shares match m_heads.
  TimePoint m_nextShareUpdate{};
  TimePoint m_firstQueryAt{}; ///< First query of any entry to this leader.
  bool m_hasTraffic = false;
  bool m_hasAnnounced = false; ///< In this term, that this process leads.
  bool m_areTargetsComplete = false;
};

} // namespace gooseberrysail
