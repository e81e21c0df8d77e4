#pragma once

#include "gooseberrysail/control/engine_groups.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::fakes {

/// \brief Targets that obey a keeper of groups, with scripted time, and what they saw go wrong.
/// \remarks A target reports every 1.2 s and at once after a change, joins a group in 200 ms, and
/// opens in 300 ms. Its checks are the promises of EngineGroups: no target works for two groups,
/// and no group opens without all of its members having been ready in it.
class FakeFleet
{
public:
  struct Target
  {
    TargetAnnouncement self;
    bool isUp = true;
    bool reachesControl = true;
    bool isListening = true;
    Duration openDelay{};   ///< Orders to open get no answer and are carried out after this.
    double pace = 1;        ///< Factor on its times.
    Duration drainTime{};   ///< What it works on when it is told to close.
    bool isLoading = false; ///< Its host loads weights, and refuses to load others meanwhile.
    std::vector<InstanceId> members; ///< Of its group, the head first.
    TimePoint nextReportAt{};
    std::set<GroupKey> wasReadyIn;
  };

  explicit FakeFleet(ServingDocument document);

  /// \brief Adds `count` targets of a fabric domain, named `prefix` and a number.
  void Add(const std::string& prefix, std::size_t count, const std::string& domain);

  /// \brief Passes time in steps of 100 ms.
  void Run(Duration duration);

  /// \brief A new leader; with `forgets` its process has just started and knows no target.
  void ChangeLeader(bool forgets);

  /// \brief The target's machine goes down: it reports and obeys no more.
  void Kill(const std::string& name);

  /// \brief A target that restarts: another instance at the same address, with its staged weights.
  void RestartAsNewInstance(const std::string& name, const std::string& newName);

  /// \brief A target starts again under its own name, and knows and holds nothing of before.
  void Restart(const std::string& name);

  [[nodiscard]] Target& At(const std::string& name) { return m_targets.at(InstanceId(name)); }
  [[nodiscard]] const Target& At(const std::string& name) const
  {
    return m_targets.at(InstanceId(name));
  }
  [[nodiscard]] std::size_t CountServing(const std::string& model) const;
  [[nodiscard]] const std::vector<std::string>& Violations() const { return m_violations; }
  [[nodiscard]] const std::vector<GroupOrder>& Orders() const { return m_orders; }
  /// \brief How many hosts loaded at once, at most, since there are callers.
  [[nodiscard]] std::size_t MaxConcurrentLoads() const { return m_mostLoads; }
  [[nodiscard]] TargetTable& Table() { return m_table; }
  [[nodiscard]] EngineGroups& Groups() { return m_keeper; }
  [[nodiscard]] const EngineGroups& Groups() const { return m_keeper; }

  bool hasTraffic = false;
  std::set<InstanceId> answering; ///< As entries would report.
  std::set<InstanceId> failing;
  std::map<std::string, ModelDemand> demand;
  TimePoint now{ std::chrono::hours(1) };

private:
  void Report(Target& target);
  void Tick();
  [[nodiscard]] std::map<InstanceId, Duration> ListSteps() const;
  void Obey(const GroupOrder& order);
  [[nodiscard]] const Target* FindSuccessorAtAddress(const Target& target) const;
  void Open(Target& target, const GroupOrder& order);
  void StandStill(const InstanceId& head);
  void Close(Target& target);
  void Join(Target& target, const GroupOrder& order);
  void Load(Target& target, const std::string& model);
  void CheckJoin(const Target& target, const std::string& newGroup);
  void CheckOpen(const Target& head);
  void Later(Duration delay, std::function<void()> action);

  ServingDocument m_document;
  std::map<InstanceId, Target> m_targets;
  std::multimap<TimePoint, std::function<void()>> m_later;
  TargetTable m_table;
  EngineGroups m_keeper;
  Term m_term{ 1 };
  TimePoint m_startedAt{ std::chrono::hours(1) };
  std::vector<GroupOrder> m_orders;
  std::vector<std::string> m_violations;
  std::size_t m_mostLoads = 0;
};

/// \brief A service `assist` with the models `large` (4 targets) and `small` (2), half the work
/// each.
[[nodiscard]] ServingDocument TwoModelDocument();

/// \brief Three fabric domains of ten targets, groups formed, callers there.
[[nodiscard]] FakeFleet ServingFleet(ServingDocument document = TwoModelDocument());

/// \brief The head of a serving group of `model`; "" when there is none.
[[nodiscard]] std::string AnyHead(const FakeFleet& fleet, const std::string& model);

/// \brief A member of such a group that is no head; "" when there is none.
[[nodiscard]] std::string AnyMember(const FakeFleet& fleet, const std::string& model);

} // namespace gooseberrysail::fakes
