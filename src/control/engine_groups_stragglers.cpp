#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/core/decimal.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/placement/model_work.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// A head whose steps take this many times as long as those of a full head that only writes has its
/// members asked. One that reads long prompts takes 2 to 3 times as long now and then.
constexpr double kSuspectSteps = 2.5;
/// A group whose members all turned out sound is not asked again for this long: its steps are long
/// because of its callers' prompts.
constexpr Duration kSoundPause = 3s;

} // namespace

// A group runs at the pace of its slowest member, and nothing but the member itself tells which one
// that is. Callers of such a group get all their answers late, so the entries report the time of a
// head's steps, and the members of one that takes long are asked.
void EngineGroups::AskStragglers(Pass& pass, Group& group)
{
  const auto step = pass.input.steps.find(group.members.front());
  const GroupModel* model = ModelOf(pass, group);
  if (step == pass.input.steps.end() || model == nullptr ||
      pass.input.now - group.askedPaceAt < kSoundPause) {
    return;
  }
  const Duration full = FullStep(*pass.EngineOf(group.service), *model);
  if (full == Duration::zero() || step->second < full * kSuspectSteps) {
    return;
  }
  group.askedPaceAt = pass.input.now;
  for (const InstanceId& member : group.members) {
    Ask(pass, member, GroupOrderKind::kProbe);
  }
}

void EngineGroups::Ask(Pass& pass, const InstanceId& target, GroupOrderKind kind)
{
  const TargetRow* row = pass.Row(target);
  if (row == nullptr || row->latest.address.empty()) {
    return;
  }
  pass.orders.push_back(impl::MakeOrder(*row, kind));
}

// Slow targets are in no group, or in one that nobody can replace; either way nobody else notices
// when they are sound again.
void EngineGroups::AskSlowAgain(Pass& pass)
{
  m_slow.Forget(pass.input.targets);
  for (const InstanceId& target : m_slow.TakeDue(pass.input.now)) {
    Ask(pass, target, GroupOrderKind::kProbe);
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
  if (m_slow.Note(now, target, pace)) {
    m_paceNews.emplace_back(target, pace);
  }
}

void EngineGroups::ReportPaces(Pass& pass)
{
  for (const auto& [target, pace] : m_paceNews) {
    const bool isSlow = m_slow.IsSlow(target);
    pass.events.push_back(MakeEvent(EventNumber::kTargetPaceChanged,
                                    { { "target", target.Get() },
                                      { "state", isSlow ? "slow" : "sound" },
                                      { "pace", ToDecimal(pace) } }));
  }
  m_paceNews.clear();
}

double EngineGroups::PaceOf(const Group& group) const
{
  double slowest = 1;
  for (const InstanceId& member : group.members) {
    slowest = std::max(slowest, m_slow.PaceOf(member));
  }
  return slowest;
}

// A group at a quarter of its speed or less serves nobody in time and is given up at once; its
// sound members are worth more in another group. One that is less slow stays until sound targets of
// its domain can take the place of its slow ones.
bool EngineGroups::ShouldLeaveStragglers(const Pass& pass, const Group& group)
{
  const double pace = PaceOf(group);
  if (pace < SlowTargets::kSlow) {
    return false;
  }
  if (pace >= SlowTargets::kUseless) {
    return true;
  }
  const GroupModel* model = ModelOf(pass, group);
  std::vector<InstanceId> members;
  std::ranges::copy_if(group.members, std::back_inserter(members), [&](const InstanceId& member) {
    return !m_slow.IsSlow(member);
  });
  if (model != nullptr) {
    AddWarm(pass, group.service, *model, members);
  }
  return model != nullptr && members.size() == model->size;
}

} // namespace gooseberrysail
