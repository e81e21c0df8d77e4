#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/core/decimal.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/placement/model_work.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// The members of a group are probed when its head's steps take this many times as long as those of
/// a full head that only decodes. With long prompts they occasionally take 2 to 3 times as long.
constexpr double kSuspectStepFactor = 2.5;
/// Minimum interval between two probes of a group's members. Steps of a group whose members are all
/// healthy are long because of its callers' prompts.
constexpr Duration kHealthyProbePause = 3s;

} // namespace

// A group runs at the pace of its slowest member, and only the member itself can report that it is
// slow. Callers of such a group get all their answers late. Therefore entries report the step time
// of each head, and the members of a group with long steps are probed.
void EngineGroups::ProbeStragglers(Pass& pass, Group& group)
{
  const auto step = pass.input.steps.find(group.members.front());
  const GroupModel* model = ModelOf(pass, group);
  if (step == pass.input.steps.end() || model == nullptr ||
      pass.input.now - group.paceProbedAt < kHealthyProbePause) {
    return;
  }
  const Duration full = FullStep(*pass.EngineOf(group.service), *model);
  if (full == Duration::zero() || step->second < full * kSuspectStepFactor) {
    return;
  }
  group.paceProbedAt = pass.input.now;
  for (const InstanceId& member : group.members) {
    SendQuery(pass, member, GroupOrderKind::kProbe);
  }
}

void EngineGroups::SendQuery(Pass& pass, const InstanceId& target, GroupOrderKind kind)
{
  const TargetRow* row = pass.Row(target);
  if (row == nullptr || row->latest.address.empty()) {
    return;
  }
  pass.orders.push_back(impl::MakeOrder(*row, kind));
}

// Slow targets are in no group, or in one that can't be replaced; in both cases only a probe shows
// when they are healthy again.
void EngineGroups::ProbeSlowTargets(Pass& pass)
{
  m_slow.Forget(pass.input.targets);
  for (const InstanceId& target : m_slow.TakeDue(pass.input.now)) {
    SendQuery(pass, target, GroupOrderKind::kProbe);
  }
}

void EngineGroups::OnReport(TimePoint now, const GroupOrder& probe, const TargetReport& report)
{
  if (IsOfThisTerm(probe.givenAt)) {
    m_verifier.OnReport(probe.givenAt, { probe.target, probe.born }, report);
  }
  if (report.pace) {
    OnPace(now, probe.target, *report.pace);
  }
}

void EngineGroups::OnPace(TimePoint now, const InstanceId& target, double pace)
{
  if (m_slow.Record(now, target, pace)) {
    m_paceChanges.emplace_back(target, pace);
  }
}

void EngineGroups::ReportPaceChanges(Pass& pass)
{
  for (const auto& [target, pace] : m_paceChanges) {
    const bool isSlow = m_slow.IsSlow(target);
    pass.events.push_back(MakeEvent(EventNumber::kTargetPaceChanged,
                                    { { "target", target.Get() },
                                      { "state", isSlow ? "slow" : "sound" },
                                      { "pace", ToDecimal(pace) } }));
  }
  m_paceChanges.clear();
}

double EngineGroups::PaceOf(const Group& group) const
{
  double slowest = 1;
  for (const InstanceId& member : group.members) {
    slowest = std::max(slowest, m_slow.PaceOf(member));
  }
  return slowest;
}

// A group at a quarter of its speed or less answers no caller in time and is ended at once, so that
// its healthy members can serve in another group. A less slow group stays until healthy targets of
// its domain can replace its slow members.
bool EngineGroups::ShouldLeaveStragglers(const Pass& pass, const Group& group)
{
  const double pace = PaceOf(group);
  if (pace < SlowTargets::kSlowPace) {
    return false;
  }
  if (pace >= SlowTargets::kUnusablePace) {
    return true;
  }
  const GroupModel* model = ModelOf(pass, group);
  std::vector<InstanceId> members;
  std::ranges::copy_if(group.members, std::back_inserter(members), [&](const InstanceId& member) {
    return !m_slow.IsSlow(member);
  });
  if (model != nullptr) {
    AddWarmTargets(pass, group.service, *model, members);
  }
  return model != nullptr && members.size() == model->size;
}

} // namespace gooseberrysail
