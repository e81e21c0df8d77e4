#include "gooseberrysail/control/route_distribution.hpp"

#include "gooseberrysail/core/join.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <xxhash.h>

namespace gooseberrysail {

namespace {

/// \brief Maximum delay in detecting that a report is too old; changes are processed at once.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);
constexpr Duration kResendAfter = std::chrono::seconds(5);
/// \brief Minimum interval between two choices of routes with many groups, because the cost of
/// choosing for all entry processes is proportional to entries times groups. Closing a route is not
/// delayed by it.
constexpr Duration kChoiceInterval = std::chrono::seconds(1);
constexpr std::size_t kFewGroups = 200;

std::uint64_t SeedOf(const ProcessId& process)
{
  return XXH3_64bits(process.Get().data(), process.Get().size());
}

std::uint64_t WeightOf(std::uint64_t seed, GroupId group)
{
  const std::uint64_t id = group.Get();
  return XXH3_64bits_withSeed(&id, sizeof id, seed);
}

bool HasGreaterWeight(const RouteWeight& left, const RouteWeight& right)
{
  return std::pair(left.weight, left.group) > std::pair(right.weight, right.group);
}

} // namespace

std::vector<GroupId> ChooseRoutes(std::vector<RouteWeight> weights, std::size_t wanted)
{
  std::vector<GroupId> chosen;
  const auto ids = [&](auto first, auto last) {
    for (; first != last; ++first) {
      chosen.push_back(first->group);
    }
  };
  if (weights.size() <= wanted) {
    ids(weights.begin(), weights.end());
    return chosen;
  }
  const auto own = std::partition(
    weights.begin(), weights.end(), [](const RouteWeight& weight) { return weight.sameDomain; });
  const auto ownWanted =
    std::min<std::ptrdiff_t>(own - weights.begin(), static_cast<std::ptrdiff_t>(wanted / 2));
  std::nth_element(weights.begin(), weights.begin() + ownWanted, own, HasGreaterWeight);
  ids(weights.begin(), weights.begin() + ownWanted);

  const auto rest = weights.begin() + ownWanted;
  const auto restWanted = static_cast<std::ptrdiff_t>(wanted) - ownWanted;
  std::nth_element(rest, rest + restWanted, weights.end(), HasGreaterWeight);
  ids(rest, rest + restWanted);
  return chosen;
}

void RouteDistribution::OnLeaderStart(const ControlContext& context)
{
  *this = RouteDistribution();
  for (const ProcessId& entry : context.ListEntries()) {
    m_clients.emplace(entry, Client{});
  }
}

void RouteDistribution::OnPeerUp(const ProcessId& peer, Incarnation)
{
  m_clients[peer] = Client{};
}

void RouteDistribution::OnPeerDown(const ProcessId& peer)
{
  m_clients.erase(peer);
}

void RouteDistribution::OnAck(const ProcessId& peer, const wire::RoutesAckT& ack)
{
  const auto found = m_clients.find(peer);
  if (found != m_clients.end()) {
    found->second.acked = std::max(found->second.acked, ack.sequence);
  }
}

std::size_t RouteDistribution::HolderCount(GroupId group) const
{
  return static_cast<std::size_t>(
    std::count_if(m_clients.begin(), m_clients.end(), [&](const auto& item) {
      const auto found = item.second.sent.find(group);
      return found != item.second.sent.end() && found->second == wire::RouteState::Open;
    }));
}

bool RouteDistribution::RowsAreCurrent(const ControlContext& context,
                                       const TargetMembership& membership) const
{
  auto known = m_rows.begin();
  for (const auto& [group, row] : context.state.GetGroups().Groups()) {
    if (!membership.IsServing(context, row)) {
      continue;
    }
    const auto state = row.draining ? wire::RouteState::Draining : wire::RouteState::Open;
    if (known == m_rows.end() || known->first != group || known->second.route.state != state) {
      return false;
    }
    ++known;
  }
  return known == m_rows.end();
}

void RouteDistribution::RefreshRows(ControlContext& context, const TargetMembership& membership)
{
  if (RowsAreCurrent(context, membership)) {
    return;
  }
  std::map<GroupId, Row> rows;
  for (const auto& [group, row] : context.state.GetGroups().Groups()) {
    if (row.dissolved || !membership.IsServing(context, row)) {
      continue;
    }
    const auto state = row.draining ? wire::RouteState::Draining : wire::RouteState::Open;
    const auto known = m_rows.find(group);
    if (known != m_rows.end() && known->second.route.state == state) {
      rows.emplace(group, std::move(known->second));
      m_rows.erase(known);
      continue;
    }
    const VmRow& head = *context.state.GetGroups().FindVm(row.head);
    wire::RouteT route;
    route.group = group.Get();
    route.epoch = group.Get();
    route.entry = row.entry.Get();
    route.head = head.record.process;
    route.vm = row.head.Get();
    route.address = head.record.address;
    route.failureDomain = head.record.failureDomain;
    route.state = state;
    rows.emplace(group, Row{ std::move(route) });
    if (state == wire::RouteState::Open) {
      m_opened = true;
      context.outbox.emplace_back(
        MakeEvent(EventNumber::kGroupServing, { { "group", std::to_string(group.Get()) } }));
    }
  }
  // The rows left in m_rows no longer serve or have changed their state.
  for (const auto& [group, row] : m_rows) {
    m_closed.insert(group);
    if (!rows.contains(group) && row.route.state == wire::RouteState::Open) {
      const GroupRuntimeState* live = membership.FindGroup(group);
      context.outbox.emplace_back(MakeEvent(
        EventNumber::kGroupNotServing,
        { { "group", std::to_string(group.Get()) },
          { "missing", live != nullptr ? Join(live->missing, ",", &VmId::Get) : std::string() } }));
    }
  }
  m_rows = std::move(rows);
  if (!m_closed.empty() || m_opened) {
    m_byEntry.clear();
    for (const auto& [group, row] : m_rows) {
      if (row.route.state == wire::RouteState::Open) {
        m_byEntry[row.route.entry].push_back(OpenGroup{ group, row.route.failureDomain });
      }
    }
  }
}

std::map<GroupId, wire::RouteState> RouteDistribution::DesiredRoutes(const ControlContext& context,
                                                                     const ProcessId& process,
                                                                     const Client& client) const
{
  std::map<GroupId, wire::RouteState> desired;
  const std::uint64_t seed = SeedOf(process);
  for (const auto& [entry, groups] : m_byEntry) {
    std::vector<RouteWeight> weights;
    weights.reserve(groups.size());
    for (const OpenGroup& open : groups) {
      const bool same = open.failureDomain == client.failureDomain;
      weights.push_back(RouteWeight{ open.group, same, WeightOf(seed, open.group) });
    }
    for (const GroupId group : ChooseRoutes(std::move(weights), context.settings.routesPerEntry)) {
      desired.emplace(group, wire::RouteState::Open);
    }
  }
  for (const auto& [group, state] : client.sent) {
    const auto row = m_rows.find(group);
    if (row != m_rows.end() && row->second.route.state == wire::RouteState::Draining) {
      desired.emplace(group, wire::RouteState::Draining);
    }
  }
  return desired;
}

void RouteDistribution::SendUpdate(ControlContext& context,
                                   const ProcessId& process,
                                   Client& client,
                                   const std::map<GroupId, wire::RouteState>& desired)
{
  wire::RoutesUpdateT update;
  update.whole = client.needsFullUpdate;
  for (const auto& [group, state] : desired) {
    const auto before = client.sent.find(group);
    if (client.needsFullUpdate || before == client.sent.end() || before->second != state) {
      update.routes.push_back(std::make_unique<wire::RouteT>(m_rows.at(group).route));
    }
  }
  if (!client.needsFullUpdate) {
    for (const auto& [group, state] : client.sent) {
      if (!desired.contains(group)) {
        auto gone = std::make_unique<wire::RouteT>();
        gone->group = group.Get();
        gone->epoch = group.Get();
        gone->state = wire::RouteState::Gone;
        update.routes.push_back(std::move(gone));
      }
    }
    if (update.routes.empty()) {
      return;
    }
  }
  // The term is in the high bits, so that a new leader's numbers are above its predecessor's.
  constexpr unsigned kTermShift = 32;
  if (client.sequence == 0) {
    client.sequence = context.replication.term.Get() << kTermShift;
  }
  update.sequence = ++client.sequence;
  client.sent = desired;
  client.needsFullUpdate = false;
  client.sentAt = context.now;
  context.SendMessage(process, std::move(update));
}

void RouteDistribution::SendClosed(ControlContext& context,
                                   const ProcessId& process,
                                   Client& client)
{
  std::map<GroupId, wire::RouteState> desired = client.sent;
  for (const GroupId group : m_closed) {
    const auto held = desired.find(group);
    if (held == desired.end()) {
      continue;
    }
    const auto row = m_rows.find(group);
    if (row == m_rows.end()) {
      desired.erase(held);
    } else {
      held->second = row->second.route.state;
    }
  }
  SendUpdate(context, process, client, desired);
}

void RouteDistribution::RefreshClients(const ControlContext& context, const ConfigService& config)
{
  for (auto& [process, client] : m_clients) {
    const ConfigService::InForce* inForce = config.FindInForce(process);
    if (inForce != nullptr && inForce->failureDomain != client.failureDomain) {
      client.failureDomain = inForce->failureDomain;
      m_opened = true;
    }
    const bool unacked = client.acked < client.sequence;
    if (unacked && context.now - client.sentAt >= kResendAfter) {
      client.needsFullUpdate = true;
    }
  }
}

void RouteDistribution::Tick(ControlContext& context,
                             const TargetMembership& membership,
                             const ConfigService& config)
{
  // A new leader that sent updates before the heads have reported would remove all routes at once.
  // Until then the entries keep the routes of its predecessor.
  if (!context.HasFreshQuorum() || !membership.HasInitialReports(context)) {
    return;
  }
  const std::pair revisions(context.state.GetGroups().Revision(), membership.Observations());
  if (revisions != m_refreshedRevisions || context.now >= m_nextRefresh) {
    m_refreshedRevisions = revisions;
    m_nextRefresh = context.now + kRefreshInterval;
    RefreshRows(context, membership);
    RefreshClients(context, config);
  }
  const bool mayChoose = m_rows.size() <= kFewGroups || context.now >= m_nextChoice;
  const bool chooseAll = mayChoose && (m_opened || !m_closed.empty());
  for (auto& [process, client] : m_clients) {
    if (chooseAll || client.needsFullUpdate) {
      SendUpdate(context, process, client, DesiredRoutes(context, process, client));
    } else if (!m_closed.empty()) {
      SendClosed(context, process, client);
    }
  }
  if (chooseAll) {
    m_opened = false;
    m_nextChoice = context.now + kChoiceInterval;
  } else if (!m_closed.empty()) {
    m_opened = true; // Candidates were removed: choose again as soon as allowed.
  }
  m_closed.clear();
}

} // namespace gooseberrysail
