#include "fakes/fake_fleet.hpp"

#include <algorithm>
#include <functional>

namespace gooseberrysail::fakes {

namespace {

using namespace std::chrono_literals;
using wire::MemberState;

constexpr Duration kStep = 100ms;
constexpr Duration kHeartbeat = 1200ms;
constexpr Duration kJoinTime = 200ms;
constexpr Duration kOpenTime = 300ms;
constexpr Duration kLoadTime = 2s;
constexpr Duration kStallTime = 5s;
constexpr Duration kOrderTimeout = 1500ms;
constexpr Duration kProbeTimeout = 500ms;
/// Step time of a head under load.
constexpr Duration kStepTime = 40ms;
/// After this time a new control process has a report of each target.
constexpr Duration kLearnTime = 2520ms;

bool HoldsModel(const TargetAnnouncement& self, const std::string& model)
{
  return std::ranges::find(self.stagedModels, model) != self.stagedModels.end();
}

GroupKey KeyOf(const TargetAnnouncement& self)
{
  return { self.membership.group, self.membership.epoch };
}

Duration TimeoutOf(const GroupOrder& order)
{
  return order.kind == GroupOrderKind::kProbe ? kProbeTimeout : kOrderTimeout;
}

} // namespace

ServingDocument TwoModelDocument()
{
  ServingDocument document;
  document.version = 1;
  EngineSpec engine;
  engine.slots = 34;
  engine.stepTime = 7800us;
  engine.stepTimePerRequest = 95us;
  engine.tokensPerEvent = 5;
  engine.promptTokensPerSecond = 45'900;
  engine.loadsPerSecond = 3;
  engine.loadsAtOnce = 6;
  engine.models = { { "large", 4, 0.5, 1.0, 16s, 1600ms }, { "small", 2, 0.5, 0.6, 12s, 1100ms } };
  ServiceDefinition service;
  service.name = "assist";
  service.engine = engine;
  document.services.push_back(service);
  return document;
}

FakeFleet ServingFleet(ServingDocument document, const EngineGroupsSettings& settings)
{
  FakeFleet fleet(std::move(document), settings);
  fleet.Add("a", 10, "domain-a");
  fleet.Add("b", 10, "domain-b");
  fleet.Add("c", 10, "domain-c");
  fleet.Run(9s);
  fleet.hasTraffic = true;
  return fleet;
}

std::string AnyHead(const FakeFleet& fleet, const std::string& model)
{
  for (const auto& [head, served] : fleet.Groups().ServingHeads()) {
    if (served == model) {
      return head.Get();
    }
  }
  return {};
}

std::string AnyMember(const FakeFleet& fleet, const std::string& model)
{
  const std::string head = AnyHead(fleet, model);
  return head.empty() ? std::string() : fleet.At(head).members.back().Get();
}

FakeFleet::FakeFleet(ServingDocument document, const EngineGroupsSettings& settings)
  : m_document(std::move(document))
  , m_groups(settings)
{
}

void FakeFleet::Add(const std::string& prefix, std::size_t count, const std::string& domain)
{
  for (std::size_t i = 1; i <= count; ++i) {
    Target target;
    target.self.instance = InstanceId(prefix + std::to_string(i));
    target.self.service = "assist";
    target.self.address = "address-of-" + target.self.instance.Get();
    target.self.fabricDomain = FabricDomainId(domain);
    target.self.slots = 34;
    target.nextReportAt = now + (kHeartbeat * static_cast<long>(m_targets.size() % 12)) / 12;
    m_targets.emplace(target.self.instance, std::move(target));
  }
}

void FakeFleet::Report(Target& target)
{
  if (!target.isUp) {
    return;
  }
  if (now < target.pausedUntil) {
    target.nextReportAt = target.pausedUntil;
    return;
  }
  target.nextReportAt = now + kHeartbeat;
  ++target.self.sequence;
  if (!target.reachesControl) {
    return;
  }
  if (target.reportLag == Duration::zero()) {
    m_table.Update(now, target.self);
  } else {
    Schedule(target.reportLag, [this, report = target.self] { m_table.Update(now, report); });
  }
}

void FakeFleet::Schedule(Duration delay, std::function<void()> action)
{
  m_scheduled.emplace(now + delay, std::move(action));
}

void FakeFleet::Run(Duration duration)
{
  const TimePoint until = now + duration;
  while (now < until) {
    now += kStep;
    while (!m_scheduled.empty() && m_scheduled.begin()->first <= now) {
      const auto action = std::move(m_scheduled.begin()->second);
      m_scheduled.erase(m_scheduled.begin());
      action();
    }
    for (auto& [instance, target] : m_targets) {
      if (now >= target.nextReportAt) {
        Report(target);
      }
    }
    Tick();
  }
}

void FakeFleet::Tick()
{
  std::vector<GroupOrder> orders;
  std::vector<EventOut> events;
  m_groups.Tick({ now,
                  m_term,
                  m_table,
                  m_document,
                  now - m_startedAt >= kLearnTime,
                  hasTraffic,
                  answering,
                  failing,
                  demand,
                  ListSteps(),
                  m_evacuated },
                orders,
                events);
  for (const auto& [head, model] : m_groups.ServingHeads()) {
    m_servedBy.insert(KeyOf(At(head.Get()).self));
  }
  for (const GroupOrder& order : orders) {
    m_orders.push_back(order);
    Execute(order);
  }
}

// As entries measure it: the slowest member determines the step time of a group.
std::map<InstanceId, Duration> FakeFleet::ListSteps() const
{
  std::map<InstanceId, Duration> steps;
  for (const auto& [head, model] : m_groups.ServingHeads()) {
    double pace = 1;
    for (const InstanceId& member : m_targets.at(head).members) {
      pace = std::max(pace, m_targets.at(member).pace);
    }
    steps[head] = std::chrono::duration_cast<Duration>(kStepTime * pace);
  }
  return steps;
}

void FakeFleet::Execute(const GroupOrder& order)
{
  Target& target = m_targets.at(order.target);
  if (const Target* present = FindSuccessorAtAddress(target); !target.isUp && present != nullptr) {
    const bool isProbe = order.kind == GroupOrderKind::kProbe;
    if (isProbe) {
      // The instance that has the address now answers the probe.
      m_groups.OnReport(now, order, { present->pace, present->self.membership });
    }
    m_groups.OnOrderOutcome(now, order, isProbe ? OrderOutcome::kDone : OrderOutcome::kReplaced);
    return;
  }
  if (!target.isUp || !target.reachesControl) {
    Schedule(TimeoutOf(order),
             [this, order] { m_groups.OnOrderOutcome(now, order, OrderOutcome::kUnknown); });
    return;
  }
  if (!target.isListening) {
    m_groups.OnOrderOutcome(now, order, OrderOutcome::kNoTarget);
    return;
  }
  if (now < target.pausedUntil) {
    ExecuteAfterPause(target, order);
    return;
  }
  if (order.kind == GroupOrderKind::kOpen && target.openDelay > Duration::zero()) {
    Schedule(target.openDelay, [this, &target, order] { Open(target, order); });
    Schedule(kOrderTimeout,
             [this, order] { m_groups.OnOrderOutcome(now, order, OrderOutcome::kUnknown); });
    return;
  }
  if (const auto late = target.lateOrders.find(order.kind); late != target.lateOrders.end()) {
    Schedule(late->second, [this, order] { CarryLate(order); });
    Schedule(kOrderTimeout,
             [this, order] { m_groups.OnOrderOutcome(now, order, OrderOutcome::kUnknown); });
    return;
  }
  const OrderOutcome outcome = Carry(target, order);
  if (order.kind != GroupOrderKind::kProbe && target.answersToLose > 0) {
    --target.answersToLose;
    Schedule(kOrderTimeout,
             [this, order] { m_groups.OnOrderOutcome(now, order, OrderOutcome::kUnknown); });
    return;
  }
  m_groups.OnOrderOutcome(now, order, outcome);
}

void FakeFleet::ExecuteAfterPause(const Target& target, const GroupOrder& order)
{
  const Duration left = target.pausedUntil - now;
  if (left <= TimeoutOf(order)) {
    Schedule(left, [this, order] { Execute(order); });
    return;
  }
  Schedule(TimeoutOf(order),
           [this, order] { m_groups.OnOrderOutcome(now, order, OrderOutcome::kUnknown); });
  if (order.kind != GroupOrderKind::kProbe) {
    Schedule(left, [this, order] { Carry(At(order.target.Get()), order); });
  }
}

void FakeFleet::CarryLate(const GroupOrder& order)
{
  Target& target = m_targets.at(order.target);
  if (target.isUp && target.self.born == order.born) {
    Carry(target, order);
  }
}

OrderOutcome FakeFleet::Carry(Target& target, const GroupOrder& order)
{
  CheckWork(target, order);
  GroupMembership& membership = target.self.membership;
  const bool isCurrent = membership.group == order.group && membership.epoch == order.epoch;
  OrderOutcome outcome = OrderOutcome::kBegun;
  switch (order.kind) {
    case GroupOrderKind::kJoin:
      Join(target, order);
      break;
    case GroupOrderKind::kOpen:
      if (!isCurrent || membership.state != MemberState::Ready) {
        outcome = OrderOutcome::kRefused;
        break;
      }
      Open(target, order);
      break;
    case GroupOrderKind::kClose:
      outcome = isCurrent && membership.state == MemberState::Open ? OrderOutcome::kBegun
                                                                   : OrderOutcome::kDone;
      if (outcome == OrderOutcome::kBegun) {
        Close(target);
      }
      break;
    case GroupOrderKind::kLeave:
      if (isCurrent) {
        ScheduleBroken(target);
        membership = {};
        Report(target);
      }
      break;
    case GroupOrderKind::kProbe:
      outcome = OrderOutcome::kDone;
      m_groups.OnReport(now, order, { target.pace, target.self.membership });
      break;
    case GroupOrderKind::kIdentify:
      outcome = OrderOutcome::kRefused;
      break;
    case GroupOrderKind::kStage:
      if (target.isLoading) {
        outcome = OrderOutcome::kRefused;
        break;
      }
      Load(target, order.model);
      break;
  }
  return outcome;
}

void FakeFleet::Load(Target& target, const std::string& model)
{
  target.isLoading = true;
  if (hasTraffic) {
    const auto loads = std::ranges::count_if(
      m_targets, [](const auto& row) { return row.second.isUp && row.second.isLoading; });
    m_maxConcurrentLoads = std::max(m_maxConcurrentLoads, static_cast<std::size_t>(loads));
  }
  const Incarnation born = target.self.born;
  Schedule(hasTraffic ? 16s : kLoadTime, [this, &target, model, born] {
    if (target.self.born == born) {
      target.isLoading = false;
      target.self.stagedModels = { model };
      Report(target);
    }
  });
}

void FakeFleet::Open(Target& target, const GroupOrder& order)
{
  const GroupMembership& membership = target.self.membership;
  const bool isCurrent = membership.group == order.group && membership.epoch == order.epoch;
  if (!isCurrent || membership.state != MemberState::Ready) {
    return;
  }
  Schedule(kOpenTime, [this, &target, key = KeyOf(target.self)] {
    if (KeyOf(target.self) == key) {
      CheckOpen(target);
      target.self.membership.state = MemberState::Open;
      Report(target);
    }
  });
}

const FakeFleet::Target* FakeFleet::FindSuccessorAtAddress(const Target& target) const
{
  const auto present = std::ranges::find_if(m_targets, [&](const auto& row) {
    const Target& other = row.second;
    return other.isUp && other.reachesControl && other.self.instance != target.self.instance &&
           other.self.address == target.self.address;
  });
  return present == m_targets.end() ? nullptr : &present->second;
}

// A head that lacks a member makes no progress, and reports its group as broken after five seconds.
void FakeFleet::ScheduleBroken(const Target& formerMember)
{
  const InstanceId head = formerMember.members.front();
  const GroupKey key = KeyOf(formerMember.self);
  Target& stalled = At(head.Get());
  if (KeyOf(stalled.self) != key) {
    return;
  }
  stalled.stalledSince = stalled.stalledSince.value_or(now);
  Schedule(kStallTime, [this, head, key] {
    Target& target = At(head.Get());
    if (KeyOf(target.self) == key && target.stalledSince &&
        now - *target.stalledSince >= kStallTime) {
      target.self.membership.state = MemberState::Broken;
      Report(target);
    }
  });
}

void FakeFleet::EndStall(const Target& member)
{
  const GroupKey key = KeyOf(member.self);
  Target& head = At(member.members.front().Get());
  const bool isComplete = std::ranges::all_of(
    member.members, [&](const InstanceId& each) { return KeyOf(At(each.Get()).self) == key; });
  if (isComplete) {
    head.stalledSince.reset();
  }
}

void FakeFleet::Close(Target& target)
{
  target.self.membership.state = MemberState::Closing;
  Report(target);
  Schedule(target.drainTime, [this, &target, key = KeyOf(target.self)] {
    if (KeyOf(target.self) == key) {
      target.self.membership.state = MemberState::Ready;
      Report(target);
    }
  });
}

void FakeFleet::Join(Target& target, const GroupOrder& order)
{
  const bool isJoined = KeyOf(target.self) == GroupKey{ order.group, order.epoch };
  if (isJoined || order.epoch < target.highestEpoch) {
    return;
  }
  target.highestEpoch = order.epoch;
  CheckJoin(target, order.group);
  if (!target.self.membership.group.empty() && target.members.front() != order.target) {
    ScheduleBroken(target);
  }
  target.stalledSince.reset();
  target.members = order.members;
  const auto rank = std::ranges::find(order.members, order.target) - order.members.begin();
  target.self.membership = {
    order.group, order.epoch, static_cast<std::uint32_t>(rank), MemberState::Joining
  };
  EndStall(target);
  const bool isWarm =
    HoldsModel(target.self, order.model) || target.self.loadedModel == order.model;
  const Duration load = isWarm ? Duration() : Duration(kLoadTime);
  Schedule(load + kJoinTime, [this, &target, order] {
    const GroupKey key{ order.group, order.epoch };
    if (KeyOf(target.self) == key) {
      target.self.stagedModels = { order.model };
      target.self.loadedModel = order.model;
      target.self.membership.state = MemberState::Ready;
      target.wasReadyIn.insert(key);
      Report(target);
    }
  });
  Report(target);
}

void FakeFleet::CheckJoin(const Target& target, const std::string& newGroup)
{
  // A target that joins its own group under a new epoch no longer works for the former head.
  const bool isOwnGroup = target.self.membership.group == newGroup;
  if (target.members.empty() || target.self.membership.group.empty() || isOwnGroup) {
    return;
  }
  const Target& head = m_targets.at(target.members.front());
  const MemberState state = head.self.membership.state;
  const bool isOpen = head.isUp && KeyOf(head.self) == KeyOf(target.self) &&
                      (state == MemberState::Open || state == MemberState::Closing);
  if (isOpen) {
    m_violations.push_back(target.self.instance.Get() + " joined " + newGroup + " while " +
                           target.self.membership.group + " was open");
  }
}

void FakeFleet::CheckOpen(const Target& head)
{
  for (const InstanceId& member : head.members) {
    // A member that was ready and failed since is no violation: the head can't know of it in time.
    if (!m_targets.at(member).wasReadyIn.contains(KeyOf(head.self))) {
      m_violations.push_back(head.self.membership.group + " opened without " + member.Get());
    }
  }
}

// A head that is open or closing may have work, for which it needs its members.
void FakeFleet::CheckWork(const Target& target, const GroupOrder& order)
{
  const bool isCurrent = KeyOf(target.self) == GroupKey{ order.group, order.epoch };
  const bool isCut = isCurrent && order.kind == GroupOrderKind::kClose && order.cut;
  const bool isLeaving = isCurrent && order.kind == GroupOrderKind::kLeave;
  const bool isMoving =
    order.kind == GroupOrderKind::kJoin && target.self.membership.epoch < order.epoch;
  if (target.members.empty() || !(isCut || isLeaving || isMoving)) {
    return;
  }
  const Target& head = m_targets.at(target.members.front());
  const MemberState state = head.self.membership.state;
  const bool works = head.isUp && KeyOf(head.self) == KeyOf(target.self) &&
                     (state == MemberState::Open || state == MemberState::Closing);
  if (works) {
    const std::string text = std::string(ToString(order.kind)) + " of " + order.target.Get() +
                             " while " + head.self.instance.Get() + " works in " +
                             head.self.membership.group;
    m_brokenWork.push_back(text);
    if (m_servedBy.contains(KeyOf(head.self))) {
      m_brokenRequests.push_back(text);
    }
  }
}

void FakeFleet::ChangeLeader(bool losesState)
{
  m_term = Term(m_term.Get() + 1);
  if (losesState) {
    m_table = TargetTable();
    m_startedAt = now;
    m_groups = EngineGroups();
  }
  m_groups.OnLeaderStart();
}

void FakeFleet::Kill(const std::string& name)
{
  At(name).isUp = false;
}

void FakeFleet::Pause(const std::string& name, Duration duration)
{
  At(name).pausedUntil = now + duration;
}

void FakeFleet::RestartAsNewInstance(const std::string& name, const std::string& newName)
{
  Target target;
  target.self = At(name).self;
  target.self.instance = InstanceId(newName);
  target.self.sequence = 0;
  target.self.membership = {};
  target.self.loadedModel.clear();
  At(name).isUp = false;
  target.nextReportAt = now;
  m_targets.emplace(target.self.instance, std::move(target));
}

void FakeFleet::Restart(const std::string& name)
{
  Target& target = At(name);
  if (!target.members.empty()) {
    ScheduleBroken(target);
  }
  target.stalledSince.reset();
  target.self.born = Incarnation(target.self.born.Get() + 1);
  target.self.sequence = 0;
  target.self.membership = {};
  target.self.loadedModel.clear();
  target.self.stagedModels.clear();
  target.members.clear();
  target.highestEpoch = {};
  target.isLoading = false;
  target.isUp = true;
  Report(target);
}

std::size_t FakeFleet::CountServing(const std::string& model) const
{
  const auto heads = m_groups.ServingHeads();
  return static_cast<std::size_t>(
    std::ranges::count_if(heads, [&](const auto& head) { return head.second == model; }));
}

} // namespace gooseberrysail::fakes
