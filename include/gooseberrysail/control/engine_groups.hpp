#pragma once

#include "gooseberrysail/control/capacity_moves.hpp"
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
  kClose, ///< Accept no new work; finish the work in progress.
  kLeave,
  kStage,    ///< Preload a model's weights on the target's host; concerns no group.
  kProbe,    ///< Changes nothing; whichever target is at the address answers with a report.
  kIdentify, ///< Changes nothing; a target with another identity rejects the order.
};

[[nodiscard]] const char* ToString(GroupOrderKind kind) noexcept;

/// \brief One epoch of a group. A group that continues with other members gets a higher epoch.
struct GroupKey
{
  std::string name;
  Epoch epoch;

  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

/// \brief A command from control to a target.
struct GroupOrder
{
  InstanceId target;
  std::string address; ///< "ip:port".
  GroupOrderKind kind = GroupOrderKind::kJoin;
  std::string group;
  Epoch epoch;
  std::string model;               ///< kJoin and kStage.
  std::vector<InstanceId> members; ///< kJoin only; the head first.
  bool cut = false;                ///< kClose only: the work in progress can't complete.
  Incarnation born{};              ///< The incarnation of the target that the order is for.
  TimePoint givenAt{};
};

/// \brief The result of an order.
enum class OrderOutcome
{
  kBegun,    ///< Accepted; the target's heartbeats report its progress.
  kDone,     ///< The target is in the requested state.
  kRefused,  ///< The order is not valid in the target's state.
  kNoTarget, ///< Nothing listens at the address: the target is dead, or about to exit.
  kReplaced, ///< Another target or incarnation has the address; this one has ended.
  kUnknown,  ///< No answer; the order may still be executed.
};

/// \brief The input of EngineGroups::Tick.
struct GroupsInput
{
  TimePoint now;
  Term term; ///< The term in which this process leads.
  const TargetTable& targets;
  const ServingDocument& document;
  /// \brief This process has run long enough to receive a heartbeat of every target. Before that, a
  /// delayed heartbeat may be the only report of a target that has joined a group since.
  bool haveAllTargetsReported = false;
  bool hasTraffic = false; ///< Entries received requests; the store's load rate limit applies.
  const std::set<InstanceId>& answering; ///< Heads that recently answered an entry.
  const std::set<InstanceId>& failing;   ///< Heads that failed an entry and answered none since.
  const std::map<std::string, ModelDemand>& demand; ///< By model; empty before traffic.
  const std::map<InstanceId, Duration>& steps;      ///< Duration of an engine step, by head.
  /// \brief Failure domains whose targets get no requests. Groups there stay formed, as loading
  /// their weights again after the evacuation would take longer, but they count as no capacity.
  const std::set<FailureDomainId>& evacuated;
};

struct EngineGroupsSettings
{
  /// \brief How long a head that lacks a member is stalled before it reports itself broken.
  Duration standstill = std::chrono::seconds(5);
  Duration heartbeat = std::chrono::milliseconds(1200); ///< Interval of a target's heartbeats.
  /// \brief A target that answers no probes counts as lost once it has been silent for this long. A
  /// process that is paused for less goes on with its work; a longer tolerance delays the
  /// replacement of a dead target by as much.
  Duration pauseTolerance = std::chrono::milliseconds(1200);
  /// \brief Groups are ended for another model only if that gains more than it loses over the
  /// recent course of the load; otherwise the present load decides.
  bool weighMoves = false;

  /// \brief Time without a heartbeat after which a target is not used for a new group, and the
  /// group of a head that fails entries and answers none is ended. One heartbeat may be half its
  /// interval late.
  [[nodiscard]] Duration SuspectTimeout() const noexcept { return heartbeat * 3 / 2; }

  /// \brief Time without a heartbeat after which the group of a head is ended although no entry
  /// reported a failure.
  [[nodiscard]] Duration SilenceTimeout() const noexcept { return heartbeat * 3; }

  /// \brief Time after its start by which a process has received a heartbeat of every target: two
  /// heartbeat intervals and a margin.
  [[nodiscard]] Duration DiscoveryTime() const noexcept { return heartbeat * 21 / 10; }

  /// \brief Before traffic: when no new target appeared for this long, all targets are known.
  [[nodiscard]] Duration QuietTime() const noexcept { return heartbeat * 5 / 4; }
};

/// \brief Forms groups of targets by orders to the targets, and ends broken groups.
/// \remarks No state is stored: a new leader learns the groups from the targets' heartbeats. This
/// is safe because a target refuses a join with a lower epoch than it has seen, epochs increase
/// with the leader's term, and a target is assigned to another group only after the head of its
/// current one has certainly stopped accepting work.
class EngineGroups
{
public:
  explicit EngineGroups(EngineGroupsSettings settings = {});

  void OnLeaderStart();

  /// \brief Appends the orders to send now, and events.
  void Tick(const GroupsInput& input,
            std::vector<GroupOrder>& orders,
            std::vector<EventOut>& events);

  void OnOrderOutcome(TimePoint now, const GroupOrder& order, OrderOutcome outcome);

  /// \brief A target reported the factor by which its work takes longer than usual.
  void OnPace(TimePoint now, const InstanceId& target, double pace);

  /// \brief A target answered a probe.
  void OnReport(TimePoint now, const GroupOrder& probe, const TargetReport& report);

  /// \brief Heads that entries may send work to, with their models.
  [[nodiscard]] std::map<InstanceId, std::string> ServingHeads() const;

private:
  enum class Phase
  {
    kAdopted,   ///< Formed by an earlier leader; waits for a report of the head.
    kGathering, ///< Some members still finish work in groups that are being ended.
    kJoining,
    kOpening,
    kOpen,
    kEnding, ///< The head is being closed; the members stay reserved until it certainly is.
  };

  struct Group
  {
    std::string name;
    Epoch epoch;
    std::string service;
    std::string model;
    std::vector<InstanceId> members;    ///< The head first; an empty id where a member is unknown.
    std::vector<InstanceId> successors; ///< Former members that are in the next epoch.
    std::map<InstanceId, Incarnation> incarnations; ///< Of the members, at their assignment.
    Phase phase = Phase::kJoining;
    TimePoint since{}; ///< Start of the phase.
    bool wasAdopted = false;
    bool reportsOpen = false; ///< While adopted: the latest report of its head says that it serves.
    std::map<std::pair<InstanceId, GroupOrderKind>, TimePoint> orderedAt;
    bool cut = false;                   ///< A member is lost: work in progress can't complete.
    bool closeBegun = false;            ///< The head is closing or closed.
    bool reportedClosed = false;        ///< The head answered that it is closed.
    std::uint32_t opensUnanswered = 0;  ///< Orders to open that may still be executed.
    std::uint32_t closesUnanswered = 0; ///< Orders to close that may have been accepted.
    /// \brief Orders to members to join that may still be executed.
    std::map<InstanceId, std::uint32_t> joinsUnanswered;
    Epoch fence;                           ///< The epoch that takes members out for good.
    std::set<InstanceId> refusedFence;     ///< Members that can't join another epoch.
    bool headIsDead = false;               ///< The head's incarnation certainly ended.
    bool headIsClosed = false;             ///< The head reported that it takes no work.
    TimePoint paceProbedAt{};              ///< When the members were last probed for their pace.
    TimePoint headProbedAt{};              ///< When the head was last probed for its group.
    std::optional<TimePoint> openedAt;     ///< When the order to open was answered.
    std::optional<TimePoint> headSilentAt; ///< Since when the head is unreachable.
    std::optional<TimePoint> leftAt;       ///< When the other members were ordered to leave.
    std::optional<TimePoint> incompleteAt; ///< When a member had certainly left the head.

    [[nodiscard]] GroupKey Key() const { return { name, epoch }; }
  };

  struct Pass; ///< The input and outputs of one tick.

  void Reconcile(Pass& pass);
  void Adopt(Pass& pass);
  [[nodiscard]] static Group MakeAdopted(const Pass& pass, const TargetRow& row);
  void DropEnded(Pass& pass);
  void ForgetRemovedTargets(const Pass& pass);
  void ForgetFormerIncarnations(const Pass& pass);
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
  static void RecordHeadAnswer(TimePoint now,
                               Group& group,
                               GroupOrderKind kind,
                               OrderOutcome outcome);
  void FormGroups(Pass& pass, const ServiceDefinition& service);
  void StartGroup(Pass& pass, const std::string& service, const PlannedGroup& planned);
  void StartTakeover(Pass& pass, const std::string& service, const PlannedTakeover& planned);
  void RecordMove(Pass& pass, const std::string& service, const PlannedTakeover& planned);
  Group& AddGroup(Pass& pass, const std::string& service, const PlannedGroup& planned, Phase phase);
  void StartStage(Pass& pass, const PlannedStage& planned);
  void StartStandby(Pass& pass, const PlannedStandby& planned);
  [[nodiscard]] Epoch NextEpoch(const Pass& pass);
  /// \brief An epoch above all that members of the group may still carry out orders to join.
  [[nodiscard]] static Epoch FenceOf(const Pass& pass, const Group& group);
  /// \brief The highest epoch that an earlier leader can have used.
  [[nodiscard]] static Epoch FormerEpoch(const Pass& pass);
  [[nodiscard]] std::vector<ModelNeed> ListNeeds(const Pass& pass,
                                                 const ServiceDefinition& service) const;
  [[nodiscard]] bool LacksGroups(const Pass& pass,
                                 const ServiceDefinition& service,
                                 const std::string& model) const;
  [[nodiscard]] std::vector<FreeTarget> ListFree(const Pass& pass, const std::string& service);
  /// \brief Healthy members of ending groups that are in no other group.
  [[nodiscard]] std::vector<FreeTarget> ListReturning(const Pass& pass,
                                                      const std::string& service) const;
  [[nodiscard]] std::vector<ServingGroup> ListServing(const Pass& pass, const std::string& service);
  [[nodiscard]] FreeTarget MakeFreeTarget(const TargetRow& row) const;
  void ForgetEndedLoads(const Pass& pass);
  void RecordLoadOutcome(TimePoint now, const GroupOrder& order, OrderOutcome outcome);
  [[nodiscard]] std::string StagingOf(const InstanceId& target) const;
  [[nodiscard]] bool IsSettled(const Pass& pass);
  [[nodiscard]] bool MayTakeOver(const Pass& pass);
  [[nodiscard]] std::uint32_t LoadsLeft(const Pass& pass, const EngineSpec& engine);
  /// \brief How many loads may start until `most` are in progress.
  [[nodiscard]] std::uint32_t LoadsUpTo(const Pass& pass, std::uint32_t most) const;
  [[nodiscard]] bool IsTracked(const GroupMembership& membership) const;
  /// \brief The group continues under a higher epoch with another head.
  [[nodiscard]] bool HasSuccessor(const Group& group) const;
  /// \brief The target is a member of a higher epoch of the group.
  [[nodiscard]] bool IsMemberOfSuccessor(const Group& group, const InstanceId& target) const;
  [[nodiscard]] Group& FindServing(const std::string& name);
  [[nodiscard]] std::optional<Group> MakeSuccessor(const Pass& pass,
                                                   const ServiceDefinition& service,
                                                   const Group& group);
  [[nodiscard]] bool IsCounted(const Pass& pass, const Group& group) const;
  void AddWarmTargets(const Pass& pass,
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
  void ReportShortages(Pass& pass,
                       const std::string& service,
                       const PoolInput& pool,
                       const PoolPlan& plan);
  // Stragglers (engine_groups_stragglers.cpp).
  void ProbeStragglers(Pass& pass, Group& group);
  void ProbeSlowTargets(Pass& pass);
  static void SendQuery(Pass& pass, const InstanceId& target, GroupOrderKind kind);
  void QueryUnverifiedTargets(Pass& pass);
  void RecordIdentity(const GroupOrder& order, OrderOutcome outcome);
  void ReportPaceChanges(Pass& pass);
  /// \brief The pace of the group's slowest member.
  [[nodiscard]] double PaceOf(const Group& group) const;
  [[nodiscard]] bool ShouldLeaveStragglers(const Pass& pass, const Group& group);
  void ReplaceHeads(Pass& pass, const ServiceDefinition& service);
  /// \brief Another group has the target, or has ordered it to join.
  [[nodiscard]] bool IsInAnother(const Group& group, const InstanceId& target) const;
  [[nodiscard]] std::vector<InstanceId> ListSurvivors(const Pass& pass, const Group& group) const;
  /// \brief Describes why the head certainly takes no work; null when it still may.
  [[nodiscard]] const char* ReleaseEvidence(const Pass& pass, const Group& group) const;
  static void ReportReleased(Pass& pass, const Group& group, const char* evidence);
  /// \brief The group was unreachable for so long that it is dropped until a member reports it
  /// again.
  [[nodiscard]] bool IsUnreachable(const Pass& pass, const Group& group) const;
  [[nodiscard]] bool LacksMember(const Pass& pass, const Group& group) const;
  /// \brief A member other than the head was heard recently and says that it is in the group.
  [[nodiscard]] bool IsMemberHeard(const Pass& pass, const Group& group) const;
  /// \brief The target was heard recently and says that it is in the group.
  [[nodiscard]] bool IsHeardMember(const Pass& pass,
                                   const Group& group,
                                   const TargetRow* row) const;
  /// \brief The target's latest report names a group that was released, and does not make the
  /// leader adopt it again.
  [[nodiscard]] bool HasReleasedMembership(const Pass& pass, const TargetRow& row) const;
  /// \brief The epoch was assigned by this leader in this term.
  [[nodiscard]] bool IsOwnEpoch(const Pass& pass, Epoch epoch) const;
  /// \brief The group was released because its head certainly takes no work.
  [[nodiscard]] bool IsCertainlyReleased(const Pass& pass, const GroupMembership& membership) const;
  /// \brief The target's latest report names no group, or one that was certainly released.
  [[nodiscard]] bool IsInNoGroup(const Pass& pass, const TargetRow& row) const;
  /// \brief A head that is closed may still open because of an earlier order.
  [[nodiscard]] static bool MayOpenLate(TimePoint now, const Group& group);
  /// \brief A member that has left may join the group again because of earlier orders.
  [[nodiscard]] static bool MayRejoin(const Pass& pass,
                                      const Group& group,
                                      const InstanceId& member);
  /// \brief A head that is closed, broken or has left may join the group again and open.
  [[nodiscard]] static bool MayReturn(const Pass& pass, const Group& group);
  /// \brief The target is in a later epoch of any group.
  [[nodiscard]] static bool IsPast(const Group& group, const TargetRow* row);
  /// \brief The head lacked a member for so long that it has broken, if it was open.
  [[nodiscard]] bool HasStoodStill(const Pass& pass, const Group& group) const;
  /// \brief Orders the head to close, and to leave for good if it may open late.
  void OrderHeadOut(Pass& pass, Group& group);
  /// \brief Orders a member to leave for good.
  void OrderOut(Pass& pass, Group& group, const InstanceId& member);
  /// \brief Orders a member into an epoch of its own, after which it refuses all orders to join
  /// earlier ones.
  void OrderFence(Pass& pass, Group& group, const InstanceId& member);
  void RecordFenceOutcome(const GroupOrder& order, OrderOutcome outcome);
  /// \brief Whether an order is not a repetition that comes too early; records it then.
  [[nodiscard]] static bool TakeDue(const Pass& pass,
                                    Group& group,
                                    const InstanceId& target,
                                    GroupOrderKind kind);
  /// \brief Continues a group in a later epoch; only its head stays in this one.
  void StartSuccessor(Pass& pass, Group& group, Group successor);
  /// \brief Continues a group that an earlier leader was forming, in an epoch of this leader.
  void Renew(Pass& pass, Group& group);
  /// \brief All members are known, confirmed and in no other group.
  [[nodiscard]] bool MayRenew(const Pass& pass, const Group& group) const;
  [[nodiscard]] bool IsHealthy(const Pass& pass, const Group& group) const;
  /// \brief The membership in the target's latest report is certain to be current.
  [[nodiscard]] bool IsConfirmed(const Pass& pass, const TargetRow& row) const;
  /// \brief A report requested at that time can't describe a state from before this leader's term.
  [[nodiscard]] bool IsOfThisTerm(TimePoint askedAt) const;
  void ProbeHead(Pass& pass, Group& group);
  [[nodiscard]] static bool IsComplete(const Pass& pass, const Group& group);
  [[nodiscard]] static bool SharesMember(const Group& left, const Group& right);
  /// \brief The target is unknown, leaving, silent or replaced by another identity.
  [[nodiscard]] bool HasFailed(const Pass& pass, const TargetRow* row) const;
  [[nodiscard]] bool HasFailedMember(const Pass& pass, const Group& group) const;
  /// \brief The member has restarted since it was assigned to the group.
  [[nodiscard]] static bool HasRestarted(const Pass& pass,
                                         const Group& group,
                                         const InstanceId& member);
  // Silent targets (engine_groups_silence.cpp).
  /// \brief A doubt: the target did not answer in time, and may continue a moment later.
  [[nodiscard]] bool IsSilent(const Pass& pass, const TargetRow& row) const;
  /// \brief The evidence for orders that can't be undone: nothing listens at the target's address,
  /// two probes in succession got no answer, or heartbeats are missing for the silence timeout.
  [[nodiscard]] bool IsLost(const Pass& pass, const TargetRow& row) const;
  /// \brief The head is lost and answers no entry.
  [[nodiscard]] bool IsHeadLost(const Pass& pass, const Group& group) const;
  void RecordSilence(TimePoint now, const GroupOrder& order, OrderOutcome outcome);
  /// \brief Forgets the silence of targets that were heard since, and probes the others again.
  void ProbeSilentTargets(Pass& pass);
  void ProbeMembers(Pass& pass, Group& group);

  EngineGroupsSettings m_settings;
  /// \brief Each epoch of a group is a separate entry until its head certainly takes no work.
  std::map<GroupKey, Group> m_groups;
  std::vector<TimePoint> m_loads; ///< Start times of recent loads.
  struct Staging
  {
    std::string model; ///< kUnknownWeights while the host runs a load of another leader.
    TimePoint since{};
    Duration loadTime{}; ///< Of the ordered model, without concurrent loads.
  };
  std::map<InstanceId, Staging> m_staging;
  std::map<InstanceId, TimePoint> m_unanswered; ///< When orders got no answer, by target.
  /// \brief Probes of a target that was not heard since the first of them was sent.
  struct Silence
  {
    TimePoint probedAt{};                   ///< When the first probe was sent.
    std::optional<TimePoint> probedAgainAt; ///< When the second probe was sent.
    bool isRefused = false;                 ///< Nothing listened at the address.
    bool isUnanswered = false;              ///< Neither probe was answered in time.
  };
  std::map<InstanceId, Silence> m_silences;
  std::map<InstanceId, TimePoint> m_standbySince;   ///< When targets were ordered to stand by.
  std::map<InstanceId, Incarnation> m_incarnations; ///< Of the targets in the table.
  SlowTargets m_slow;
  TargetVerifier m_verifier;
  std::vector<std::pair<InstanceId, double>> m_paceChanges; ///< Not reported yet.
  TimePoint m_lostGroupAt{};                    ///< When a group was last lost to a fault.
  std::map<std::string, CapacityMoves> m_moves; ///< By service.
  /// \brief When the shortage of a model was last reported, by model.
  std::map<std::string, TimePoint> m_shortageReportedAt;
  std::size_t m_knownTargets = 0;
  TimePoint m_newTargetAt{}; ///< When the table last grew.
  /// \brief How a group was released.
  struct Release
  {
    TimePoint at{};
    bool isCertain = false; ///< The head takes no work; else the group was unreachable.
  };

  /// \brief Released groups that members still report, and all of this term that were unreachable.
  std::map<GroupKey, Release> m_released;
  std::optional<TimePoint> m_leaderSince;
  Duration m_reportLag{};                 ///< Maximum age of a report over all services.
  std::optional<TimePoint> m_demandSince; ///< Since when the callers' demand is known.
  std::uint64_t m_formed = 0;             ///< Epochs assigned in this term.
};

} // namespace gooseberrysail
