#pragma once

#include "gooseberrysail/control/slow_targets.hpp"
#include "gooseberrysail/control/target_verifier.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/placement/model_work.hpp"
#include "gooseberrysail/placement/pool_plan.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail {

enum class GroupOrderKind
{
  kJoin,
  kOpen,
  kClose, ///< Takes no new work, finishes what it has.
  kLeave,
  kStage,    ///< The target's host loads a model's weights ahead of need; no group is concerned.
  kProbe,    ///< Changes nothing; whoever is at the address answers with a report.
  kIdentify, ///< Changes nothing; another target at the address answers that it is another.
};

[[nodiscard]] const char* ToString(GroupOrderKind kind) noexcept;

/// \brief One epoch of a group: with each change of its members it goes on under a higher one.
struct GroupKey
{
  std::string name;
  Epoch epoch;

  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

/// \brief A step that control tells a target to take.
struct GroupOrder
{
  InstanceId target;
  std::string address; ///< "ip:port".
  GroupOrderKind kind = GroupOrderKind::kJoin;
  std::string group;
  Epoch epoch;
  std::string model;               ///< kJoin and kStage.
  std::vector<InstanceId> members; ///< kJoin only; the head first.
  bool cut = false;                ///< kClose only: what it has can't end any more.
  Incarnation born{};              ///< The life of the target that it was meant for.
  TimePoint givenAt{};
};

/// \brief How an order ended.
enum class OrderOutcome
{
  kBegun,    ///< Taken; the target's heartbeats tell the rest.
  kDone,     ///< The state that it asks for holds.
  kRefused,  ///< It does not fit the target's state.
  kNoTarget, ///< Nothing listens there: the target is dead, or leaving and about to end.
  kReplaced, ///< Another life has the address: that of the target is over.
  kUnknown,  ///< No answer: it may still be carried out.
};

/// \brief What the keeper of groups sees at a tick.
struct GroupsInput
{
  TimePoint now;
  Term term; ///< This process leads in it.
  const TargetTable& targets;
  const ServingDocument& document;
  /// \brief This process has run for longer than all targets need to speak. Before, a late
  /// heartbeat may be the only word of a target that has joined a group since.
  bool isWhole = false;
  bool hasTraffic = false; ///< Entries have seen requests: loads count against the store's rate.
  const std::set<InstanceId>& answering; ///< Heads that answered an entry a moment ago.
  const std::set<InstanceId>& failing;   ///< Heads that failed an entry and answered none since.
  const std::map<std::string, ModelDemand>& demand; ///< By model; empty before traffic.
  const std::map<InstanceId, Duration>& steps;      ///< How long heads take for a step.
};

struct EngineGroupsSettings
{
  /// \brief How long a head that lacks a member stands still before it declares itself broken.
  Duration standstill = std::chrono::seconds(5);
  Duration heartbeat = std::chrono::milliseconds(1200); ///< Between two of a target.

  /// \brief Silence after which a target joins no new group, and a head that fails entries and
  /// answers none is given up: one heartbeat may be half its interval late.
  [[nodiscard]] Duration SuspectSilence() const noexcept { return heartbeat * 3 / 2; }

  /// \brief Silence after which a head that nobody complains of is given up.
  [[nodiscard]] Duration Silence() const noexcept { return heartbeat * 3; }

  /// \brief A process that started this long ago has heard every target: two heartbeats and some.
  [[nodiscard]] Duration LearnTime() const noexcept { return heartbeat * 21 / 10; }

  /// \brief Before traffic: when no target was new for this long, all that there are have spoken.
  [[nodiscard]] Duration QuietTime() const noexcept { return heartbeat * 5 / 4; }
};

/// \brief Forms groups of targets by orders to the targets themselves, and gives up broken ones.
/// \remarks Nothing of it is stored: a new leader learns the groups from the targets' heartbeats.
/// That is safe since a target refuses a join of a lower epoch than it has seen and epochs rise
/// with the leader's term; and a target is given to another group only when the head of its present
/// one certainly takes no work any more.
class EngineGroups
{
public:
  explicit EngineGroups(EngineGroupsSettings settings = {});

  void OnLeaderStart();

  /// \brief Appends the orders to give now, and events.
  void Tick(const GroupsInput& input,
            std::vector<GroupOrder>& orders,
            std::vector<EventOut>& events);

  void OnOrderOutcome(TimePoint now, const GroupOrder& order, OrderOutcome outcome);

  /// \brief A target reported the factor on its usual times; over 1 it is slow.
  void OnPace(TimePoint now, const InstanceId& target, double pace);

  /// \brief A target answered a probe.
  void OnReport(TimePoint now, const GroupOrder& probe, const TargetReport& report);

  /// \brief Heads that entries may send work to, with their models.
  [[nodiscard]] std::map<InstanceId, std::string> ServingHeads() const;

private:
  enum class Phase
  {
    kAdopted,   ///< Of an earlier leader; its head is waited for.
    kGathering, ///< Some members still end their work in groups that were given up.
    kJoining,
    kOpening,
    kOpen,
    kEnding, ///< The head is being closed; its members stay until that is certain.
  };

  struct Group
  {
    std::string name;
    Epoch epoch;
    std::string service;
    std::string model;
    std::vector<InstanceId> members;         ///< The head first; none where a member is not known.
    std::vector<InstanceId> successors;      ///< Former members that went on under the next epoch.
    std::map<InstanceId, Incarnation> lives; ///< Of the members, when they were taken into it.
    Phase phase = Phase::kJoining;
    TimePoint since{}; ///< In this phase.
    bool wasAdopted = false;
    std::map<std::pair<InstanceId, GroupOrderKind>, TimePoint> orderedAt;
    bool cut = false;                      ///< A member is lost: nothing that the head has can end.
    bool closeBegun = false;               ///< The head took the order to close.
    bool saidClosed = false;               ///< The head answered that it isn't open.
    std::uint32_t opensUnanswered = 0;     ///< Orders to open that may still be carried out.
    bool headIsDead = false;               ///< That life of the head certainly ended.
    bool headIsClosed = false;             ///< The head said that it takes no work.
    TimePoint askedPaceAt{};               ///< When the members were asked whether they are slow.
    TimePoint askedHeadAt{};               ///< When the head was asked whether it has left.
    std::optional<TimePoint> openedAt;     ///< The order to open it was answered.
    std::optional<TimePoint> headSilentAt; ///< Nobody reached the head.
    std::optional<TimePoint> leftAt;       ///< The other members were told to leave.
    std::optional<TimePoint> incompleteAt; ///< A member certainly works for the head no more.

    [[nodiscard]] GroupKey Key() const { return { name, epoch }; }
  };

  struct Pass; ///< One tick: input, outputs.

  void Keep(Pass& pass);
  void Adopt(Pass& pass);
  [[nodiscard]] static Group MakeAdopted(const Pass& pass, const TargetRow& row);
  void DropEnded(Pass& pass);
  void ForgetGone(const Pass& pass);
  void ForgetFormerLives(const Pass& pass);
  void Advance(Pass& pass, Group& group);
  void AdvanceAdopted(Pass& pass, Group& group);
  void AdvanceGathering(Pass& pass, Group& group);
  void AdvanceJoining(Pass& pass, Group& group);
  void AdvanceOpening(Pass& pass, Group& group);
  void AdvanceOpen(Pass& pass, Group& group);
  void AdvanceEnding(Pass& pass, Group& group);
  void End(Pass& pass, Group& group, const char* reason);
  void EndLost(Pass& pass, Group& group, const char* reason);
  void Order(Pass& pass, Group& group, const InstanceId& target, GroupOrderKind kind);
  static void NoteHeadsAnswer(TimePoint now,
                              Group& group,
                              GroupOrderKind kind,
                              OrderOutcome outcome);
  void ProbeMembers(Pass& pass, Group& group);
  void Form(Pass& pass, const ServiceDefinition& service);
  void StartGroup(Pass& pass, const std::string& service, const PlannedGroup& planned);
  void StartTakeover(Pass& pass, const std::string& service, const PlannedTakeover& planned);
  Group& AddGroup(Pass& pass, const std::string& service, const PlannedGroup& planned, Phase phase);
  void StartStage(Pass& pass, const PlannedStage& planned);
  void StartStandby(Pass& pass, const PlannedStandby& planned);
  [[nodiscard]] Epoch NextEpoch(const Pass& pass);
  /// \brief The last epoch of earlier leaders.
  [[nodiscard]] static Epoch FormerEpoch(const Pass& pass);
  [[nodiscard]] std::vector<ModelNeed> ListNeeds(const Pass& pass,
                                                 const ServiceDefinition& service) const;
  [[nodiscard]] bool LacksGroups(const Pass& pass,
                                 const ServiceDefinition& service,
                                 const std::string& model) const;
  [[nodiscard]] std::vector<FreeTarget> ListFree(const Pass& pass, const std::string& service);
  /// \brief Sound members of groups that end and of no other group.
  [[nodiscard]] std::vector<FreeTarget> ListReturning(const Pass& pass,
                                                      const std::string& service) const;
  [[nodiscard]] std::vector<ServingGroup> ListServing(const Pass& pass, const std::string& service);
  [[nodiscard]] FreeTarget MakeFree(const TargetRow& row) const;
  void ForgetEndedLoads(const Pass& pass);
  void NoteLoad(TimePoint now, const GroupOrder& order, OrderOutcome outcome);
  [[nodiscard]] std::string StagingOf(const InstanceId& target) const;
  [[nodiscard]] bool IsSettled(const Pass& pass);
  [[nodiscard]] bool MayTakeOver(const Pass& pass);
  [[nodiscard]] std::uint32_t LoadsLeft(const Pass& pass, const EngineSpec& engine);
  /// \brief How many more may begin until `most` are under way.
  [[nodiscard]] std::uint32_t LoadsUpTo(const Pass& pass, std::uint32_t most) const;
  [[nodiscard]] bool IsHeld(const GroupMembership& membership) const;
  /// \brief The group goes on under a higher epoch with another head.
  [[nodiscard]] bool HasSuccessor(const Group& group) const;
  /// \brief The target is to join a higher epoch of the group.
  [[nodiscard]] bool IsWantedBySuccessor(const Group& group, const InstanceId& target) const;
  [[nodiscard]] Group& FindServing(const std::string& name);
  [[nodiscard]] std::optional<Group> MakeSuccessor(const Pass& pass,
                                                   const ServiceDefinition& service,
                                                   const Group& group);
  [[nodiscard]] bool IsCounted(const Pass& pass, const Group& group) const;
  void AddWarm(const Pass& pass,
               const std::string& service,
               const GroupModel& model,
               std::vector<InstanceId>& members);
  [[nodiscard]] Group MakeGroup(const Pass& pass,
                                const std::string& service,
                                const PlannedGroup& planned);
  static void ReportEnded(Pass& pass, const Group& group, const char* reason);
  [[nodiscard]] static const GroupModel* ModelOf(const Pass& pass,
                                                 const std::string& service,
                                                 const std::string& model);
  [[nodiscard]] static const GroupModel* ModelOf(const Pass& pass, const Group& group);
  static void ReportFormed(Pass& pass, const Group& group, std::uint32_t loads);
  void ReportShort(Pass& pass,
                   const std::string& service,
                   const PoolInput& pool,
                   const PoolPlan& plan);
  // Stragglers (engine_groups_stragglers.cpp).
  void AskStragglers(Pass& pass, Group& group);
  void AskSlowAgain(Pass& pass);
  static void Ask(Pass& pass, const InstanceId& target, GroupOrderKind kind);
  void AskUnverified(Pass& pass);
  void NoteIdentity(const GroupOrder& order, OrderOutcome outcome);
  void ReportPaces(Pass& pass);
  /// \brief The factor of the group's slowest member.
  [[nodiscard]] double PaceOf(const Group& group) const;
  [[nodiscard]] bool ShouldLeaveStragglers(const Pass& pass, const Group& group);
  void ReplaceHeads(Pass& pass, const ServiceDefinition& service);
  [[nodiscard]] std::vector<InstanceId> ListSurvivors(const Pass& pass, const Group& group) const;
  [[nodiscard]] bool IsSilent(const Pass& pass, const TargetRow& row) const;
  /// \brief What makes it certain that the head takes no work; null when it may.
  [[nodiscard]] const char* ReleasedBy(const Pass& pass, const Group& group) const;
  static void ReportReleased(Pass& pass, const Group& group, const char* evidence);
  /// \brief Nobody reached the group for so long that it is forgotten until it is heard again.
  [[nodiscard]] bool IsOutOfReach(const Pass& pass, const Group& group) const;
  [[nodiscard]] bool LacksMember(const Pass& pass, const Group& group) const;
  [[nodiscard]] bool IsOver(const TargetRow& row) const;
  /// \brief A head that is closed now may open by an order that was given before.
  [[nodiscard]] static bool MayOpenLate(TimePoint now, const Group& group);
  [[nodiscard]] bool IsSound(const Pass& pass, const Group& group) const;
  /// \brief What the target's last word says of its group is certain.
  [[nodiscard]] bool IsKnown(const Pass& pass, const TargetRow& row) const;
  /// \brief A report that was asked for then tells nothing of before this leader's time.
  [[nodiscard]] bool IsOfThisTerm(TimePoint askedAt) const;
  void AskHead(Pass& pass, Group& group);
  [[nodiscard]] static bool IsWhole(const Pass& pass, const Group& group);
  [[nodiscard]] static bool SharesMember(const Group& left, const Group& right);
  /// \brief Unknown, leaving, silent, or replaced by another life.
  [[nodiscard]] bool HasFailed(const Pass& pass, const TargetRow* row) const;
  [[nodiscard]] bool HasFailedMember(const Pass& pass, const Group& group) const;
  /// \brief The member's life in which it was taken into the group is over.
  [[nodiscard]] static bool IsReborn(const Pass& pass,
                                     const Group& group,
                                     const InstanceId& member);

  EngineGroupsSettings m_settings;
  /// \brief Each epoch of a group stands for itself until its head certainly takes no work.
  std::map<GroupKey, Group> m_groups;
  std::vector<TimePoint> m_loads; ///< When loads began lately.
  struct Staging
  {
    std::string model; ///< kUnknownWeights where the host loads what another leader ordered.
    TimePoint since{};
    Duration loadTime{}; ///< Of the model that was ordered, alone.
  };
  std::map<InstanceId, Staging> m_staging;
  std::map<InstanceId, TimePoint> m_unanswered; ///< Probes without an answer, until the next word.
  std::map<InstanceId, TimePoint> m_standbySince; ///< When targets were told to hold weights ready.
  std::map<InstanceId, Incarnation> m_lives;      ///< Of the targets in the table, as last seen.
  SlowTargets m_slow;
  TargetVerifier m_verifier;
  std::vector<std::pair<InstanceId, double>> m_paceNews; ///< Changes that are not reported yet.
  TimePoint m_lostGroupAt{};                             ///< When a group last ended by a fault.
  std::map<std::string, TimePoint> m_toldShort; ///< By model: when its lack was last reported.
  std::size_t m_knownTargets = 0;
  TimePoint m_newTargetAt{}; ///< When the table last grew.
  /// \brief How a group came to be over.
  struct Release
  {
    TimePoint at{};
    bool isCertain = false; ///< Its head takes no work; else nobody reached it or any member.
  };

  /// \brief Groups that are over although members still report them.
  std::map<GroupKey, Release> m_released;
  std::optional<TimePoint> m_leadsSince;
  Duration m_reportLag{};                 ///< How old a report may be: the longest of all services.
  std::optional<TimePoint> m_demandSince; ///< Callers' requests are known of since then.
  std::uint64_t m_formed = 0;             ///< In this term.
};

} // namespace gooseberrysail
