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

/// \brief Keeps entries supplied with the serving document and the targets; leader only.
class ServingFeed
{
public:
  void OnLeaderStart();
  /// \brief Notes what an entry has and saw; the tick that follows sends what it lacks.
  void OnQuery(ControlContext& context, const ProcessId& entry, const wire::ServingQueryT& query);
  void OnPeerDown(const ProcessId& entry);

  /// \brief Notes the targets as entries should see them; a difference makes a new sequence.
  void SetTargets(std::span<const ServedTarget> targets);

  /// \brief Whether all targets have been heard. Before, only entries that know none are told: from
  /// the others a part would take targets that serve.
  void SetWhole(bool isWhole) { m_isWhole = isWhole; }

  /// \brief Sends each entry what it lacks: what can't wait at once, the rest joined.
  void Tick(ControlContext& context);

  /// \brief Heads that some entry saw answer within kAnsweredLately.
  [[nodiscard]] std::set<InstanceId> AnsweringHeads(TimePoint now) const;

  /// \brief Heads that some entry saw fail, and that answered none for kStandsStill before.
  [[nodiscard]] std::set<InstanceId> FailingHeads(TimePoint now) const;

  /// \brief How long heads take for a step, by the entry that sees the shortest ones: what the
  /// others see beyond that is their own way to the head.
  [[nodiscard]] std::map<InstanceId, Duration> HeadSteps(TimePoint now) const;

  /// \brief What callers ask of each model, all entries together.
  [[nodiscard]] std::map<std::string, ModelDemand> Demand() const;

  /// \brief Whether any entry has had requests.
  [[nodiscard]] bool HasTraffic() const noexcept { return m_hasTraffic; }

  /// \brief A head with work in flight answers at least once within this, if it works at all.
  static constexpr Duration kAnsweredLately = std::chrono::milliseconds(1500);

  /// \brief An entry complains of a head after 600 ms without an answer; the others may have had
  /// theirs a moment later, of which they tell each 500 ms. A wrong guess costs a probe of each
  /// member, and ends nothing.
  static constexpr Duration kStandsStill = std::chrono::milliseconds(500);

  /// \brief Changes that may wait go out together at this interval.
  static constexpr Duration kJoinTime = std::chrono::milliseconds(50);

  /// \brief Heads are divided anew at least this often, as callers move between entries, and at
  /// once when heads come or go.
  static constexpr Duration kDivideInterval = std::chrono::milliseconds(500);

  /// \brief All entries have asked a new leader after this. Divided among the first of them, each
  /// would get several times its part.
  static constexpr Duration kMeetEntries = std::chrono::seconds(1);

  /// \brief What was sent to an entry and isn't confirmed by its questions after this, is sent
  /// again: longer than a document takes over a full link, and than a connection stands unheard.
  static constexpr Duration kSendAgain = std::chrono::seconds(4);

private:
  /// \brief One entry's requests for one model: a mean that forgets.
  struct ModelRate
  {
    ModelDemand counted; ///< Since the entry started, at `at`.
    ModelDemand perSecond;
    double seenSeconds = 0; ///< That `perSecond` is a mean of, the latest most.
    TimePoint at{};
  };

  /// \brief What an entry has, or was sent on the connection that stands.
  struct Supplied
  {
    std::uint64_t document = 0;
    std::uint64_t targets = 0; ///< Of this term.
    TimePoint at{};            ///< Of the latest frame.
  };

  struct Entry
  {
    Supplied supplied;
    bool knowsTargets = false; ///< Of any leader.
    bool knowsControls = false;
    FailureDomainId failureDomain;
    TimePoint heardAt{};
    bool isConnected = true;
    std::map<InstanceId, TimePoint> answeredAt;
    std::map<InstanceId, TimePoint> failedAt;
    std::map<InstanceId, Duration> steps;    ///< As it told last.
    std::map<std::string, ModelRate> rates;  ///< By model.
    std::map<std::string, double> toldParts; ///< Of each model's requests, as last sent to it.
    HeadShares shares;                       ///< Of all models' heads.
    HeadShares toldShares;                   ///< As last sent to it.
  };

  using Parts = std::map<std::string, double>; ///< By model.

  /// \brief When any entry last had an answer of the head; the epoch of the clock for never.
  [[nodiscard]] TimePoint LastAnswer(const InstanceId& head) const;
  /// \brief The entry's parts of `demand`, which is all entries'.
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
  /// \brief Entries are told where control processes are with the next frame after a change.
  void FollowControls(const ControlContext& context);
  /// \brief What an entry lacks; entries that lack the same are sent the same message.
  struct Lack
  {
    bool controls = false;
    bool document = false;
    std::optional<std::uint64_t> targetsSince; ///< None: its targets are up to date.

    friend auto operator<=>(const Lack&, const Lack&) = default;
  };
  using Messages = std::map<Lack, std::shared_ptr<wire::EnvelopeT>>;

  /// \brief Divides the heads where that is due.
  void FollowHeads(TimePoint now, const std::map<std::string, ModelDemand>& demand);
  void Divide(const std::map<std::string, ModelDemand>& demand);
  [[nodiscard]] bool IsDueTargets(const ControlContext& context, const Entry& entry) const;
  void Supply(ControlContext& context,
              const ProcessId& process,
              Entry& entry,
              const std::map<std::string, ModelDemand>& demand,
              Messages& messages);
  /// \brief What is the entry's own: its parts of the callers and of the heads.
  static void AddShares(const Entry& entry, wire::ServingStateT& state);
  [[nodiscard]] wire::ServingStateT MakeState(const ControlContext& context,
                                              const Lack& lack) const;

  std::map<ProcessId, Entry> m_entries;
  std::vector<EntrySettings::Control> m_toldControls; ///< To all entries that know of any.
  TargetChanges m_targets;
  std::uint64_t m_urgentSequence = 0; ///< Of the latest change that can't wait.
  std::map<std::string, std::vector<HeadCapacity>> m_heads; ///< That take work, by model.
  bool m_isDivided = false;                                 ///< Of m_heads as they are.
  TimePoint m_nextDivide{};
  TimePoint m_firstAskedAt{}; ///< By any entry, of this leader.
  bool m_hasTraffic = false;
  bool m_isWhole = false;
};

/// \brief What a process that does not lead tells an entry: where control processes are.
[[nodiscard]] wire::ServingStateT MakeControlList(const ControlContext& context);

} // namespace gooseberrysail
