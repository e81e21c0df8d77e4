#include "gooseberrysail/control/engine_groups.hpp"

#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;
using impl::FindModel;
using impl::IsLeaving;
using impl::Reports;
using wire::MemberState;

/// A target that spoke within this needs no probe.
constexpr Duration kProbeSilence = 300ms;
/// Orders act within some 100 ms and targets report at once; one without effect is given again.
constexpr Duration kOrderRetry = 1500ms;
/// Streams last some 2 s and a group that is given up takes none; one whose head died meanwhile
/// would keep the others waiting.
constexpr Duration kGatherPatience = 4s;
/// A join that takes longer than this beside its load has failed.
constexpr Duration kJoinSlack = 10s;
/// A head opens some 0.3 s after the order; by then its heartbeat tells.
constexpr Duration kOpenSlack = 1s;
/// Beside the time that a head stands still: the order's way and the head's own timer.
constexpr Duration kStandstillSlack = 400ms;

bool IsOpenState(MemberState state)
{
  return state == MemberState::Open || state == MemberState::Closing;
}

} // namespace

const char* ToString(GroupOrderKind kind) noexcept
{
  switch (kind) {
    case GroupOrderKind::kJoin:
      return "join";
    case GroupOrderKind::kOpen:
      return "open";
    case GroupOrderKind::kClose:
      return "close";
    case GroupOrderKind::kLeave:
      return "leave";
    case GroupOrderKind::kStage:
      return "stage";
    case GroupOrderKind::kProbe:
      return "probe";
    case GroupOrderKind::kIdentify:
      return "identify";
  }
  return "unknown";
}

EngineGroups::EngineGroups(EngineGroupsSettings settings)
  : m_settings(settings)
{
}

void EngineGroups::OnLeaderStart()
{
  m_leadsSince.reset();
  m_groups.clear();
  m_released.clear();
  m_loads.clear();
  m_staging.clear();
  m_unanswered.clear();
  m_standbySince.clear();
  m_toldShort.clear();
  m_demandSince.reset();
  m_slow.Clear();
  m_verifier.Clear();
  m_paceNews.clear();
  m_formed = 0;
}

void EngineGroups::Tick(const GroupsInput& input,
                        std::vector<GroupOrder>& orders,
                        std::vector<EventOut>& events)
{
  if (!m_leadsSince) {
    m_leadsSince = input.now;
  }
  m_reportLag = Duration::zero();
  for (const ServiceDefinition& service : input.document.services) {
    m_reportLag = std::max(m_reportLag, service.engine ? service.engine->reportLag : Duration());
  }
  Pass pass{ input, orders, events, {}, {} };
  Keep(pass);
  for (GroupOrder& order : orders) {
    order.givenAt = input.now;
  }
}

void EngineGroups::Keep(Pass& pass)
{
  ForgetFormerLives(pass);
  AskUnverified(pass);
  ReportPaces(pass);
  AskSlowAgain(pass);
  Adopt(pass);
  for (auto& [key, group] : m_groups) {
    Advance(pass, group);
  }
  DropEnded(pass);
  // What ended in this tick frees members at once.
  for (auto& [key, group] : m_groups) {
    if (group.phase == Phase::kGathering) {
      AdvanceGathering(pass, group);
    }
  }
  DropEnded(pass);
  ForgetGone(pass);
  if (!IsSettled(pass)) {
    return;
  }
  for (const ServiceDefinition& service : pass.input.document.services) {
    if (service.engine) {
      Form(pass, service);
    }
  }
}

void EngineGroups::ForgetGone(const Pass& pass)
{
  const auto isGone = [&](const auto& row) { return pass.Row(row.first) == nullptr; };
  std::erase_if(m_unanswered, isGone);
  std::erase_if(m_standbySince, isGone);
  std::erase_if(m_lives, isGone);
}

// The next life of a target has neither the weights that the former was told to load nor its pace,
// and an answer that the former owed will never come.
void EngineGroups::ForgetFormerLives(const Pass& pass)
{
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const auto [known, fresh] = m_lives.try_emplace(instance, row.latest.born);
    if (known->second == row.latest.born) {
      continue;
    }
    known->second = row.latest.born;
    m_unanswered.erase(instance);
    m_staging.erase(instance);
    m_standbySince.erase(instance);
    m_slow.Forget(instance);
  }
}

// Two identities at one address: which of them is there decides whose groups are lost and who may
// join. And an earlier leader may have ordered what this one's latest word of a target does not
// tell yet: a target that was taken for free by such a word led an open group. An answer takes some
// milliseconds, and each target is asked once under a leader.
void EngineGroups::AskUnverified(Pass& pass)
{
  for (const auto& [former, present] : m_verifier.Update(pass.input.targets)) {
    pass.events.push_back(
      MakeEvent(EventNumber::kTargetReplaced,
                { { "target", former.instance.Get() }, { "by", present.Get() } }));
  }
  const auto isDoubtful = [&](const TargetRow& row) {
    return IsOfThisTerm(pass.input.now) && pass.EngineOf(row.latest.service) != nullptr &&
           !IsKnown(pass, row);
  };
  for (const InstanceId& target : m_verifier.TakeContested(pass.input.now, pass.input.targets)) {
    Ask(pass, target, GroupOrderKind::kIdentify);
  }
  for (const InstanceId& target :
       m_verifier.TakeDoubtful(pass.input.now, pass.input.targets, isDoubtful)) {
    Ask(pass, target, GroupOrderKind::kProbe);
  }
}

// The answer to a question of a former term, or one so soon in this one that it may tell of before,
// agrees with an old word and with nothing that an earlier leader ordered since.
bool EngineGroups::IsOfThisTerm(TimePoint askedAt) const
{
  return m_leadsSince && askedAt >= *m_leadsSince + m_reportLag;
}

// What a target says of a group of this leader can't be older than this leader's orders.
bool EngineGroups::IsKnown(const Pass& pass, const TargetRow& row) const
{
  return row.latest.membership.epoch > FormerEpoch(pass) || m_verifier.Confirms(row);
}

void EngineGroups::DropEnded(Pass& pass)
{
  for (const GroupKey& key : pass.dropped) {
    m_released[key] = { pass.input.now, true };
    m_groups.erase(key);
  }
  for (const GroupKey& key : pass.outOfReach) {
    m_released[key] = { pass.input.now, false };
    m_groups.erase(key);
  }
  pass.dropped.clear();
  pass.outOfReach.clear();
}

// A target that reports a group that this leader does not keep was ordered by an earlier leader.
// Until the head of that group certainly takes no work, none of its members is free, also those
// whose head this process has not heard of: given to another group they would work for two.
void EngineGroups::Adopt(Pass& pass)
{
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const GroupMembership& membership = row.latest.membership;
    const GroupKey key{ membership.group, membership.epoch };
    const bool isStandby = membership.group.starts_with(impl::kStandbyPrefix);
    if (membership.group.empty() || isStandby || IsOver(row)) {
      continue;
    }
    const auto [found, fresh] = m_groups.try_emplace(key);
    Group& group = found->second;
    if (fresh) {
      group = MakeAdopted(pass, row);
    }
    if (group.wasAdopted) {
      group.members.resize(std::max<std::size_t>(group.members.size(), membership.rank + 1));
      group.members[membership.rank] = instance;
      group.lives[instance] = row.latest.born;
      group.model = group.model.empty() ? row.latest.loadedModel : group.model;
    }
  }
  std::erase_if(m_released, [&](const auto& released) {
    return std::ranges::none_of(pass.input.targets.Rows(), [&](const auto& row) {
      const GroupMembership& membership = row.second.latest.membership;
      return GroupKey{ membership.group, membership.epoch } == released.first;
    });
  });
}

// A group that nobody reached may serve on, and is taken up again with the first word of it; and a
// head that says, after it was closed, that it is open is closed once more.
bool EngineGroups::IsOver(const TargetRow& row) const
{
  const GroupMembership& membership = row.latest.membership;
  const auto released = m_released.find({ membership.group, membership.epoch });
  if (released == m_released.end()) {
    return false;
  }
  const bool isOpenHead = membership.rank == 0 && IsOpenState(membership.state);
  const bool isNews = row.heardAt > released->second.at && !m_verifier.IsReplaced(row);
  return !isNews || (released->second.isCertain && !isOpenHead);
}

EngineGroups::Group EngineGroups::MakeAdopted(const Pass& pass, const TargetRow& row)
{
  Group group;
  group.name = row.latest.membership.group;
  group.epoch = row.latest.membership.epoch;
  group.service = row.latest.service;
  group.phase = Phase::kAdopted;
  group.since = pass.input.now;
  group.wasAdopted = true;
  group.members.resize(1);
  return group;
}

void EngineGroups::AdvanceAdopted(Pass& pass, Group& group)
{
  if (HasSuccessor(group)) {
    // Its members work for the next epoch; this head's callers would wait in vain.
    End(pass, group, "it went on with another head");
    return;
  }
  const TargetRow* head = pass.Row(group.members.front());
  const bool isHeard = Reports(head, group.name, group.epoch);
  if ((!isHeard || !IsKnown(pass, *head)) &&
      pass.input.now - *m_leadsSince < m_settings.LearnTime()) {
    return; // The former leader may have ordered what the head did not tell yet.
  }
  const bool isOpen = isHeard && head->latest.membership.state == MemberState::Open;
  const bool isForming = isHeard && (head->latest.membership.state == MemberState::Joining ||
                                     head->latest.membership.state == MemberState::Ready);
  pass.events.push_back(MakeEvent(EventNumber::kTargetGroupAdopted,
                                  { { "group", group.name },
                                    { "model", group.model },
                                    { "head", group.members.front().Get() },
                                    { "members", std::to_string(group.members.size()) } }));
  group.since = pass.input.now;
  if (isOpen) {
    group.phase = Phase::kOpen;
    return;
  }
  if (isForming && IsWhole(pass, group)) {
    group.phase = Phase::kJoining;
    return;
  }
  End(pass, group, "an earlier leader left it unfinished");
}

void EngineGroups::Advance(Pass& pass, Group& group)
{
  switch (group.phase) {
    case Phase::kAdopted:
      AdvanceAdopted(pass, group);
      break;
    case Phase::kGathering:
      break;
    case Phase::kJoining:
      AdvanceJoining(pass, group);
      break;
    case Phase::kOpening:
      AdvanceOpening(pass, group);
      break;
    case Phase::kOpen:
      AdvanceOpen(pass, group);
      break;
    case Phase::kEnding:
      AdvanceEnding(pass, group);
      break;
  }
}

bool EngineGroups::IsWhole(const Pass& pass, const Group& group)
{
  const bool allKnown =
    std::ranges::none_of(group.members, [](const InstanceId& member) { return member.IsNone(); });
  const GroupModel* model = ModelOf(pass, group);
  return allKnown && model != nullptr && model->size == group.members.size();
}

/// Null when the document no longer has the service or the model.
const GroupModel* EngineGroups::ModelOf(const Pass& pass, const Group& group)
{
  const EngineSpec* engine = pass.EngineOf(group.service);
  return engine == nullptr ? nullptr : FindModel(*engine, group.model);
}

void EngineGroups::AdvanceGathering(Pass& pass, Group& group)
{
  if (HasFailedMember(pass, group) || pass.input.now - group.since > kGatherPatience) {
    // No member was told of it yet.
    ReportEnded(pass, group, "its members did not come together");
    pass.dropped.push_back(group.Key());
    return;
  }
  const bool isShared = std::ranges::any_of(m_groups, [&](const auto& row) {
    return row.first != group.Key() && SharesMember(row.second, group);
  });
  if (!isShared) {
    group.phase = Phase::kJoining;
    group.since = pass.input.now;
    AdvanceJoining(pass, group);
  }
}

bool EngineGroups::SharesMember(const Group& left, const Group& right)
{
  return std::ranges::any_of(left.members, [&](const InstanceId& member) {
    return !member.IsNone() && std::ranges::find(right.members, member) != right.members.end();
  });
}

void EngineGroups::AdvanceJoining(Pass& pass, Group& group)
{
  const GroupModel* model = ModelOf(pass, group);
  const Duration patience =
    kJoinSlack + (model == nullptr ? Duration::zero() : 2 * model->loadTime);
  if (HasFailedMember(pass, group) || pass.input.now - group.since > patience) {
    if (group.wasAdopted) {
      End(pass, group, "a member failed");
      return;
    }
    // It was never told to open: its members are free at once.
    ReportEnded(pass, group, "a member failed");
    pass.dropped.push_back(group.Key());
    return;
  }
  bool allReady = true;
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    const bool reports = Reports(row, group.name, group.epoch);
    const bool ready = reports && row->latest.membership.state == MemberState::Ready;
    allReady = allReady && ready;
    if (!reports) {
      Order(pass, group, member, GroupOrderKind::kJoin);
    }
  }
  if (allReady) {
    group.phase = Phase::kOpening;
    group.since = pass.input.now;
    group.orderedAt.clear();
    AdvanceOpening(pass, group);
  }
}

void EngineGroups::AdvanceOpening(Pass& pass, Group& group)
{
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  if (Reports(row, group.name, group.epoch) && row->latest.membership.state == MemberState::Open) {
    group.phase = Phase::kOpen;
    group.since = pass.input.now;
    pass.events.push_back(
      MakeEvent(EventNumber::kTargetGroupOpen,
                { { "group", group.name }, { "model", group.model }, { "head", head.Get() } }));
    return;
  }
  if (HasFailedMember(pass, group)) {
    End(pass, group, "a member failed before the group opened");
    return;
  }
  Order(pass, group, head, GroupOrderKind::kOpen);
}

void EngineGroups::AdvanceOpen(Pass& pass, Group& group)
{
  const TargetRow* head = pass.Row(group.members.front());
  if (!Reports(head, group.name, group.epoch) || !IsOpenState(head->latest.membership.state)) {
    const bool isDoubtful = head != nullptr && !IsKnown(pass, *head) && !IsSilent(pass, *head);
    if (!isDoubtful) {
      EndLost(pass, group, "its head serves no more");
    }
    return;
  }
  const InstanceId& instance = group.members.front();
  const bool isFailing = pass.input.failing.contains(instance);
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    if (member.IsNone()) {
      continue; // Not heard since this process started.
    }
    if (IsLeaving(row)) {
      End(pass, group, "a member is leaving");
      return;
    }
    if (IsReborn(pass, group, member) || m_verifier.IsReplaced(*row)) {
      group.cut = true;
      EndLost(pass, group, "a member was restarted");
      return;
    }
    if (!Reports(row, group.name, group.epoch)) {
      group.cut = true;
      EndLost(pass, group, "a member is in it no more");
      return;
    }
    if (isFailing && IsSilent(pass, *row)) {
      // The head waits for a dead member: nothing that it has can end, and its callers were told.
      group.cut = true;
      EndLost(pass, group, "a member is silent and the head stands still");
      return;
    }
  }
  if (isFailing) {
    ProbeMembers(pass, group);
  }
  AskStragglers(pass, group);
  if (ShouldLeaveStragglers(pass, group)) {
    group.cut = PaceOf(group) >= SlowTargets::kUseless;
    End(pass, group, "a member is slow");
    return;
  }
  // A head that is cut off from control only still answers the entries; its group goes on.
  const bool isSilent =
    isFailing ? IsSilent(pass, *head) : pass.input.now - head->heardAt > m_settings.Silence();
  const bool answers = pass.input.answering.contains(instance);
  if (isSilent && (isFailing || !answers)) {
    EndLost(pass, group, "its head is silent");
  }
}

// A target that died a moment ago still looks alive by its heartbeats, and a group formed with it
// waits for its join in vain.
bool EngineGroups::IsSilent(const Pass& pass, const TargetRow& row) const
{
  const auto unanswered = m_unanswered.find(row.latest.instance);
  const bool gaveNoAnswer =
    unanswered != m_unanswered.end() && unanswered->second > row.heardAt + kProbeSilence;
  return gaveNoAnswer || pass.input.now - row.heardAt > m_settings.SuspectSilence();
}

// A head that stands still waits for a member. Heartbeats would tell which one only after 1.8 s;
// one that lives answers a probe in milliseconds.
void EngineGroups::ProbeMembers(Pass& pass, Group& group)
{
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    if (row != nullptr && pass.input.now - row->heardAt > kProbeSilence) {
      Order(pass, group, member, GroupOrderKind::kProbe);
    }
  }
}

// The head may go on serving until it says otherwise; a member that joined another group meanwhile
// would work for two.
void EngineGroups::AdvanceEnding(Pass& pass, Group& group)
{
  if (IsReleased(pass, group)) {
    pass.dropped.push_back(group.Key());
    return;
  }
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  const bool isOver =
    row != nullptr && (m_verifier.IsReplaced(*row) || IsReborn(pass, group, head));
  if (isOver) {
    group.headIsDead = true;
    return;
  }
  // A head that has left its group obeys no order of it any more.
  const bool isClosed =
    group.saidClosed || (group.closeBegun && Reports(row, group.name, group.epoch) &&
                         row->latest.membership.state == MemberState::Ready);
  const bool mustLeave = isClosed && MayOpenLate(pass.input.now, group);
  Order(pass, group, head, mustLeave ? GroupOrderKind::kLeave : GroupOrderKind::kClose);
  AskHead(pass, group);
  const bool silent = row == nullptr || row->latest.left || IsSilent(pass, *row);
  if (!silent) {
    group.headSilentAt.reset(); // It ends its work, for which it needs its members.
    return;
  }
  if (!group.headSilentAt) {
    group.headSilentAt = pass.input.now;
    return; // Its group may go on at once with another head.
  }
  // The head can't be asked, and may serve on although neither control nor any entry reaches it:
  // a network fault can hide a target from all of them. Without its members it stands still, and is
  // broken in the end.
  for (const auto& [instance, member] : pass.input.targets.Rows()) {
    const bool isHeard = pass.input.now - member.heardAt <= m_settings.Silence();
    const bool isMember = instance != head && Reports(&member, group.name, group.epoch);
    if (isHeard && isMember && !IsWantedBySuccessor(group, instance)) {
      Order(pass, group, instance, GroupOrderKind::kLeave);
    }
  }
  if (!group.leftAt) {
    group.leftAt = pass.input.now;
  }
  if (!group.incompleteAt && LacksMember(pass, group)) {
    group.incompleteAt = pass.input.now;
  }
  if (IsOutOfReach(pass, group)) {
    pass.outOfReach.push_back(group.Key());
  }
}

// That members were told to leave says nothing: a whole group that was cut off from control heard
// none of it and served on, and after the time in which a head without a member breaks its members
// were given to other groups. A member must have left, joined another group, or be dead.
bool EngineGroups::LacksMember(const Pass& pass, const Group& group) const
{
  const auto isLost = [&](const InstanceId& member) {
    const TargetRow* row = pass.Row(member);
    if (row == nullptr) {
      return false;
    }
    const bool isDead = m_verifier.IsReplaced(*row) || IsReborn(pass, group, member);
    const bool isElsewhere = !Reports(row, group.name, group.epoch) && IsKnown(pass, *row);
    return isDead || isElsewhere;
  };
  return std::any_of(group.members.begin() + 1, group.members.end(), isLost) ||
         std::ranges::any_of(group.successors, isLost);
}

bool EngineGroups::IsOutOfReach(const Pass& pass, const Group& group) const
{
  return group.leftAt && !group.incompleteAt &&
         pass.input.now - *group.leftAt > m_settings.standstill + kStandstillSlack;
}

// An order to open that got no answer, or one of an earlier leader, may be carried out after the
// order to close; and a head takes some time to open. Closed once was taken for closed for good:
// the head was joined to another group while callers could reach it in this one.
bool EngineGroups::MayOpenLate(TimePoint now, const Group& group)
{
  const bool isOpening = group.openedAt && now - *group.openedAt < kOpenSlack;
  return group.wasAdopted || group.opensUnanswered > 0 || isOpening;
}

// A word that names another group or none may be older than this group; then the head is open
// still, and its answer is waited for.
void EngineGroups::AskHead(Pass& pass, Group& group)
{
  const TargetRow* head = pass.Row(group.members.front());
  const bool isInDoubt = head != nullptr && !Reports(head, group.name, group.epoch);
  if (!isInDoubt || pass.input.now - group.since < m_reportLag ||
      pass.input.now - group.askedHeadAt < TargetVerifier::kAskAgain) {
    return;
  }
  group.askedHeadAt = pass.input.now;
  Ask(pass, head->latest.instance, GroupOrderKind::kProbe);
}

bool EngineGroups::IsReleased(const Pass& pass, const Group& group) const
{
  if (group.headIsDead || group.headIsClosed) {
    return true;
  }
  const bool stoodStill = group.incompleteAt && pass.input.now - *group.incompleteAt >
                                                  m_settings.standstill + kStandstillSlack;
  const TargetRow* head = pass.Row(group.members.front());
  if (head == nullptr) {
    return stoodStill;
  }
  // What the head said before it was told to close may be overtaken by a late order to open.
  const bool spokeSince = head->heardAt > group.since;
  const MemberState state = head->latest.membership.state;
  if (!Reports(head, group.name, group.epoch)) {
    const GroupMembership membership{ group.name, group.epoch, 0, MemberState::None };
    return m_verifier.DeniesGroup(*head, membership, group.since + m_reportLag) || stoodStill;
  }
  // Once the head took the order to close, ready means closed.
  const bool isClosed =
    group.closeBegun && !MayOpenLate(pass.input.now, group) && state == MemberState::Ready;
  if (spokeSince && !head->latest.left && (isClosed || state == MemberState::Broken)) {
    return true;
  }
  return stoodStill;
}

void EngineGroups::End(Pass& pass, Group& group, const char* reason)
{
  group.phase = Phase::kEnding;
  group.since = pass.input.now;
  group.orderedAt.clear();
  const TargetRow* head = pass.Row(group.members.front());
  const bool broken =
    Reports(head, group.name, group.epoch) && head->latest.membership.state == MemberState::Broken;
  group.headIsClosed = broken;
  ReportEnded(pass, group, reason);
}

void EngineGroups::EndLost(Pass& pass, Group& group, const char* reason)
{
  m_lostGroupAt = pass.input.now;
  End(pass, group, reason);
}

void EngineGroups::ReportEnded(Pass& pass, const Group& group, const char* reason)
{
  pass.events.push_back(
    MakeEvent(EventNumber::kTargetGroupEnded, { { "group", group.name }, { "reason", reason } }));
}

void EngineGroups::Order(Pass& pass, Group& group, const InstanceId& target, GroupOrderKind kind)
{
  TimePoint& orderedAt = group.orderedAt[{ target, kind }];
  if (orderedAt != TimePoint{} && pass.input.now - orderedAt < kOrderRetry) {
    return;
  }
  const TargetRow* row = pass.Row(target);
  if (row == nullptr || row->latest.address.empty()) {
    return;
  }
  orderedAt = pass.input.now;
  group.opensUnanswered += kind == GroupOrderKind::kOpen ? 1 : 0;
  GroupOrder order = impl::MakeOrder(*row, kind);
  order.group = group.name;
  order.epoch = group.epoch;
  if (kind == GroupOrderKind::kJoin) {
    order.model = group.model;
    order.members = group.members;
  }
  order.cut = kind == GroupOrderKind::kClose && group.cut;
  pass.orders.push_back(std::move(order));
}

// A group whose loss shows in the next tick has nothing to give.
bool EngineGroups::IsSound(const Pass& pass, const Group& group) const
{
  return !HasFailedMember(pass, group) && PaceOf(group) < SlowTargets::kSlow &&
         std::ranges::all_of(group.members, [&](const InstanceId& member) {
           return IsKnown(pass, *pass.Row(member));
         });
}

bool EngineGroups::HasFailed(const Pass& pass, const TargetRow* row) const
{
  return IsLeaving(row) || IsSilent(pass, *row) || m_verifier.IsReplaced(*row);
}

bool EngineGroups::HasFailedMember(const Pass& pass, const Group& group) const
{
  return std::ranges::any_of(group.members, [&](const InstanceId& member) {
    return HasFailed(pass, pass.Row(member)) || IsReborn(pass, group, member);
  });
}

// Under its old name a target that started again looks as if it had only left the group; told to
// join once more it would load its weights anew, and a group that is opening would open without it.
bool EngineGroups::IsReborn(const Pass& pass, const Group& group, const InstanceId& member)
{
  const TargetRow* row = pass.Row(member);
  const auto life = group.lives.find(member);
  return row != nullptr && life != group.lives.end() && row->latest.born > life->second;
}

// Orders name the target that they are for, and another one at its address says so. Reports don't
// tell whose they are.
void EngineGroups::NoteIdentity(const GroupOrder& order, OrderOutcome outcome)
{
  const TargetLife life{ order.target, order.born };
  if (outcome == OrderOutcome::kReplaced) {
    m_verifier.OnReplaced(life);
    return;
  }
  const bool isAnswer = outcome == OrderOutcome::kBegun || outcome == OrderOutcome::kDone ||
                        outcome == OrderOutcome::kRefused;
  if (isAnswer && order.kind != GroupOrderKind::kProbe) {
    m_verifier.OnIdentified(order.givenAt, life);
  }
}

void EngineGroups::OnOrderOutcome(TimePoint now, const GroupOrder& order, OrderOutcome outcome)
{
  NoteIdentity(order, outcome);
  if (order.kind == GroupOrderKind::kProbe) {
    if (outcome != OrderOutcome::kDone) {
      m_unanswered[order.target] = now;
    }
    return;
  }
  if (outcome == OrderOutcome::kNoTarget) {
    m_unanswered[order.target] = now;
  }
  if (!m_leadsSince || order.givenAt < *m_leadsSince) {
    return; // Of a former term: what this one knows of the group is younger.
  }
  const auto found = m_groups.find({ order.group, order.epoch });
  if (found == m_groups.end() || found->second.members.front() != order.target) {
    return;
  }
  Group& group = found->second;
  if (order.kind == GroupOrderKind::kOpen) {
    group.opensUnanswered -= outcome == OrderOutcome::kUnknown ? 0 : 1;
    group.openedAt = now;
  }
  if (group.phase == Phase::kEnding) {
    NoteHeadsAnswer(now, group, order.kind, outcome);
  }
}

void EngineGroups::NoteHeadsAnswer(TimePoint now,
                                   Group& group,
                                   GroupOrderKind kind,
                                   OrderOutcome outcome)
{
  group.headIsDead = group.headIsDead || outcome == OrderOutcome::kReplaced;
  const bool isDone = outcome == OrderOutcome::kDone;
  const bool isBegun = outcome == OrderOutcome::kBegun;
  if (kind == GroupOrderKind::kLeave) {
    group.headIsClosed = group.headIsClosed || isDone || isBegun;
    return;
  }
  if (kind != GroupOrderKind::kClose) {
    return;
  }
  group.closeBegun = group.closeBegun || isBegun;
  // A close that is told again may find the head closing: only what it says later is certain then.
  group.saidClosed = group.saidClosed || (isDone && !group.closeBegun);
  group.headIsClosed = group.headIsClosed || (group.saidClosed && !MayOpenLate(now, group));
}

std::map<InstanceId, std::string> EngineGroups::ServingHeads() const
{
  std::map<InstanceId, std::string> heads;
  for (const auto& [key, group] : m_groups) {
    if (group.phase == Phase::kOpen) {
      heads.emplace(group.members.front(), group.model);
    }
  }
  return heads;
}

} // namespace gooseberrysail
