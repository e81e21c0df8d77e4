#pragma once

#include "gooseberrysail/control/engine_groups.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::fakes {

/// \brief Targets that execute the orders of EngineGroups under scripted time, and check them.
/// \remarks A target reports every 1.2 s and at once after a change, joins a group in 200 ms, and
/// opens in 300 ms. Checks the guarantees of EngineGroups: no target works for two groups, and no
/// group opens unless each of its members was ready in it.
class FakeFleet
{
public:
  struct Target
  {
    TargetAnnouncement self;
    bool isUp = true;
    bool reachesControl = true;
    bool isListening = true;
    TimePoint pausedUntil{}; ///< Until then it reports nothing and executes no orders.
    Duration openDelay{}; ///< If not zero, orders to open get no answer and are executed after it.
    /// \brief Orders of these kinds get no answer and are executed after the given time.
    std::map<GroupOrderKind, Duration> lateOrders;
    Duration reportLag{};          ///< Time until its heartbeats reach control.
    std::size_t answersToLose = 0; ///< Of orders that it executes; they get no answer.
    double pace = 1;               ///< Factor on its step time; above 1 is slower.
    Duration drainTime{};   ///< Time until its running work has ended after an order to close.
    bool isLoading = false; ///< Its host loads weights and refuses other loads until it is done.
    std::vector<InstanceId> members;       ///< Members of its group, the head first.
    std::optional<TimePoint> stalledSince; ///< While it heads a group that lacks a member.
    Epoch highestEpoch;                    ///< That it was ordered to join in this incarnation.
    TimePoint nextReportAt{};
    std::set<GroupKey> wasReadyIn;
  };

  explicit FakeFleet(ServingDocument document, const EngineGroupsSettings& settings = {});

  /// \brief Adds `count` targets of a fabric domain, named `prefix` and a number.
  void Add(const std::string& prefix, std::size_t count, const std::string& domain);

  /// \brief Advances time in steps of 100 ms.
  void Run(Duration duration);

  /// \brief Starts a new leader; with `losesState` its process has just started and has no state.
  void ChangeLeader(bool losesState);

  /// \brief Stops the target's machine: it reports nothing and executes no orders.
  void Kill(const std::string& name);

  /// \brief The target's process makes no progress for `duration`, then continues. It executes the
  /// orders of that time afterwards, in their order.
  void Pause(const std::string& name, Duration duration);

  /// \brief Restarts a target as another instance at the same address, with its staged weights.
  void RestartAsNewInstance(const std::string& name, const std::string& newName);

  /// \brief Restarts a target under the same name, without its former state and weights.
  void Restart(const std::string& name);

  [[nodiscard]] Target& At(const std::string& name) { return m_targets.at(InstanceId(name)); }
  [[nodiscard]] const Target& At(const std::string& name) const
  {
    return m_targets.at(InstanceId(name));
  }
  [[nodiscard]] std::size_t CountServing(const std::string& model) const;
  [[nodiscard]] const std::vector<std::string>& Violations() const { return m_violations; }
  /// \brief Orders that broke off the work of a head that was running: a cut, or the removal of a
  /// member.
  [[nodiscard]] const std::vector<std::string>& BrokenWork() const { return m_brokenWork; }
  /// \brief Those of them at heads that entries were told of.
  [[nodiscard]] const std::vector<std::string>& BrokenRequests() const { return m_brokenRequests; }
  [[nodiscard]] const std::vector<GroupOrder>& Orders() const { return m_orders; }
  /// \brief The largest number of hosts that loaded weights at once while there was traffic.
  [[nodiscard]] std::size_t MaxConcurrentLoads() const { return m_maxConcurrentLoads; }
  /// \brief Sets the failure domains whose targets get no requests.
  void SetEvacuated(std::set<FailureDomainId> domains) { m_evacuated = std::move(domains); }
  void SetDocument(ServingDocument document) { m_document = std::move(document); }
  [[nodiscard]] TargetTable& Table() { return m_table; }
  [[nodiscard]] EngineGroups& Groups() { return m_groups; }
  [[nodiscard]] const EngineGroups& Groups() const { return m_groups; }

  bool hasTraffic = false;
  std::set<InstanceId> answering; ///< Heads that answer, as reported by entries.
  std::set<InstanceId> failing;
  std::map<std::string, ModelDemand> demand;
  TimePoint now{ std::chrono::hours(1) };

private:
  void Report(Target& target);
  void Tick();
  [[nodiscard]] std::map<InstanceId, Duration> ListSteps() const;
  void Execute(const GroupOrder& order);
  void ExecuteAfterPause(const Target& target, const GroupOrder& order);
  void CarryLate(const GroupOrder& order);
  OrderOutcome Carry(Target& target, const GroupOrder& order);
  [[nodiscard]] const Target* FindSuccessorAtAddress(const Target& target) const;
  void Open(Target& target, const GroupOrder& order);
  void ScheduleBroken(const Target& formerMember);
  /// \brief A member that joins again ends the stall of its head.
  void EndStall(const Target& member);
  void Close(Target& target);
  void Join(Target& target, const GroupOrder& order);
  void Load(Target& target, const std::string& model);
  void CheckJoin(const Target& target, const std::string& newGroup);
  void CheckOpen(const Target& head);
  void CheckWork(const Target& target, const GroupOrder& order);
  void Schedule(Duration delay, std::function<void()> action);

  ServingDocument m_document;
  std::map<InstanceId, Target> m_targets;
  std::multimap<TimePoint, std::function<void()>> m_scheduled;
  TargetTable m_table;
  EngineGroups m_groups;
  Term m_term{ 1 };
  TimePoint m_startedAt{ std::chrono::hours(1) };
  std::vector<GroupOrder> m_orders;
  std::vector<std::string> m_violations;
  std::vector<std::string> m_brokenWork;
  std::vector<std::string> m_brokenRequests;
  std::set<GroupKey> m_servedBy; ///< Groups whose heads entries were told of.
  std::size_t m_maxConcurrentLoads = 0;
  std::set<FailureDomainId> m_evacuated;
};

/// \brief A service `assist` with the models `large` (4 targets) and `small` (2), with half of the
/// work each.
[[nodiscard]] ServingDocument TwoModelDocument();

/// \brief Three fabric domains of ten targets, with groups formed and traffic enabled.
[[nodiscard]] FakeFleet ServingFleet(ServingDocument document = TwoModelDocument(),
                                     const EngineGroupsSettings& settings = {});

/// \brief The head of a serving group of `model`; "" if there is none.
[[nodiscard]] std::string AnyHead(const FakeFleet& fleet, const std::string& model);

/// \brief A member of a serving group of `model` that is not its head; "" if there is none.
[[nodiscard]] std::string AnyMember(const FakeFleet& fleet, const std::string& model);

} // namespace gooseberrysail::fakes
