#include "gooseberrysail/entry/route_client.hpp"

#include <algorithm>
#include <set>

namespace gooseberrysail {

namespace {

RouteCandidate MakeCandidate(const wire::RouteT& route)
{
  RouteCandidate candidate;
  candidate.group = GroupId(route.group);
  candidate.epoch = Epoch(route.epoch);
  candidate.entry = EntryName(route.entry);
  candidate.head = ProcessId(route.head);
  candidate.headVm = VmId(route.vm);
  candidate.address = route.address;
  candidate.failureDomain = FailureDomainId(route.failureDomain);
  return candidate;
}

} // namespace

bool RouteClient::OnUpdate(const ProcessId& from,
                           const wire::RoutesUpdateT& update,
                           const ConnectedPeers& peers,
                           Router& router)
{
  if (!update.whole && from != m_source) {
    return false;
  }
  m_source = from;
  if (update.whole) {
    RemoveUnlisted(update, router);
  }
  for (const auto& route : update.routes) {
    ApplyRoute(*route, peers, router);
  }
  m_nextDial = TimePoint{};
  return true;
}

void RouteClient::OnPeerUp(const ProcessId& head, Router& router)
{
  for (const auto& [group, row] : m_rows) {
    if (row.candidate.head == head && row.state == wire::RouteState::Open) {
      router.Upsert(row.candidate);
    }
  }
}

void RouteClient::OnPeerDown(const ProcessId& head, Router& router)
{
  for (const auto& [group, row] : m_rows) {
    if (row.candidate.head == head) {
      router.Remove(group);
    }
  }
  m_nextDial = TimePoint{};
}

void RouteClient::Tick(TimePoint now, const ConnectedPeers& peers, const Dial& dial)
{
  if (now < m_nextDial) {
    return;
  }
  m_nextDial = now + kDialInterval;
  for (const auto& [group, row] : m_rows) {
    if (row.state == wire::RouteState::Open && peers.Find(row.candidate.head) == nullptr) {
      dial(row.candidate.head, row.candidate.address);
    }
  }
}

const RouteCandidate* RouteClient::Find(GroupId group) const
{
  const auto found = m_rows.find(group);
  return found == m_rows.end() ? nullptr : &found->second.candidate;
}

std::size_t RouteClient::CountOpen(const EntryName& entry) const
{
  const auto open = std::count_if(m_rows.begin(), m_rows.end(), [&](const auto& item) {
    const Row& row = item.second;
    return row.state == wire::RouteState::Open && row.candidate.entry == entry;
  });
  return static_cast<std::size_t>(open);
}

void RouteClient::ApplyRoute(const wire::RouteT& route, const ConnectedPeers& peers, Router& router)
{
  const GroupId group(route.group);
  if (route.state == wire::RouteState::Gone) {
    RemoveRoute(group, router);
    return;
  }
  const auto known = m_rows.find(group);
  if (known != m_rows.end() && known->second.candidate.epoch.Get() > route.epoch) {
    return;
  }
  const Row& row = m_rows[group] = Row{ MakeCandidate(route), route.state };
  if (row.state == wire::RouteState::Open && peers.Find(row.candidate.head) != nullptr) {
    router.Upsert(row.candidate);
  } else {
    router.Remove(group);
  }
}

void RouteClient::RemoveRoute(GroupId group, Router& router)
{
  router.Remove(group);
  m_rows.erase(group);
}

void RouteClient::RemoveUnlisted(const wire::RoutesUpdateT& update, Router& router)
{
  std::set<GroupId> listed;
  for (const auto& route : update.routes) {
    listed.insert(GroupId(route->group));
  }
  std::vector<GroupId> gone;
  for (const auto& [group, row] : m_rows) {
    if (!listed.contains(group)) {
      gone.push_back(group);
    }
  }
  for (const GroupId group : gone) {
    RemoveRoute(group, router);
  }
}

} // namespace gooseberrysail
