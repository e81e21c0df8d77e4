#include "gooseberrysail/control/admin_views.hpp"

#include <algorithm>
#include <boost/json/array.hpp>

namespace gooseberrysail {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxLaggingShown = 20;
constexpr std::size_t kChangesInStatus = 20;

template<class Id>
json::array NamesOf(const std::vector<Id>& ids)
{
  json::array names;
  for (const Id& id : ids) {
    names.emplace_back(id.Get());
  }
  return names;
}

json::value MillisSince(const ControlContext& context, TimePoint moment)
{
  return moment == TimePoint{} ? json::value(nullptr) : json::value(ToMillis(context.now - moment));
}

const char* GroupState(const GroupRow& row, const GroupRuntimeState* live, bool serving)
{
  if (row.dissolved) {
    return "dissolved";
  }
  if (row.draining) {
    return "draining";
  }
  if (serving) {
    return "serving";
  }
  const bool broken = live != nullptr && live->brokenSince.has_value();
  return broken ? "broken" : "forming";
}

json::object ProcessView(const ControlContext& context,
                         const AdminSources& sources,
                         const ProcessId& process,
                         const PeerRow& peer)
{
  json::object view;
  view["process"] = process.Get();
  view["role"] = peer.role;
  view["incarnation"] = peer.incarnation.Get();
  view["address"] = peer.address;
  view["connected"] = peer.up;
  view["sinceMs"] = MillisSince(context, peer.since);
  const ConfigService::InForce* inForce = sources.config.FindInForce(process);
  view["versionInForce"] = inForce != nullptr ? json::value(inForce->version.Get()) : nullptr;
  view["reportedMs"] =
    inForce != nullptr ? MillisSince(context, inForce->reportedAt) : json::value(nullptr);
  return view;
}

json::array ChangesInForce(const ControlContext& context, const AdminSources& sources)
{
  json::array list;
  const auto& changes = context.state.GetCatalogue().Changes();
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    if (list.size() >= kChangesInStatus) {
      break;
    }
    if (!change->ok) {
      continue;
    }
    const LogIndex version(change->index);
    const auto everywhere = sources.config.InForceEverywhereAt(version);
    json::object view;
    view["changeId"] = change->changeId;
    view["version"] = change->index;
    view["committedAtMs"] = change->atMillis;
    view["inForceEverywhereAtMs"] = everywhere ? json::value(*everywhere) : json::value(nullptr);
    if (!everywhere) {
      std::vector<ProcessId> lagging = sources.config.Lagging(context, version);
      view["laggingCount"] = lagging.size();
      lagging.resize(std::min(lagging.size(), kMaxLaggingShown));
      view["lagging"] = NamesOf(lagging);
    }
    list.push_back(std::move(view));
  }
  return list;
}

} // namespace

json::object CatalogueView(const ControlContext& context)
{
  json::array entries;
  for (const auto& [key, item] : context.state.GetCatalogue().Items()) {
    if (!item.deleted) {
      entries.push_back(ItemToJson(item));
    }
  }
  json::object view;
  view["version"] = context.state.GetCatalogue().Version().Get();
  view["entries"] = std::move(entries);
  return view;
}

json::object ChangeView(const wire::ChangeRecordT& change)
{
  json::array entries;
  for (const auto& item : change.items) {
    entries.push_back(ItemToJson(*item));
  }
  json::object view;
  view["changeId"] = change.changeId;
  view["operator"] = change.operatorName;
  view["atMs"] = change.atMillis;
  view["version"] = change.index;
  view["ok"] = change.ok;
  if (change.ok) {
    view["entries"] = std::move(entries);
  } else {
    view["reason"] = change.detail;
    view["current"] = std::move(entries);
  }
  return view;
}

json::object HistoryView(const ControlContext& context, std::size_t limit)
{
  json::array list;
  const auto& changes = context.state.GetCatalogue().Changes();
  for (auto change = changes.rbegin(); change != changes.rend() && list.size() < limit; ++change) {
    list.push_back(ChangeView(*change));
  }
  return { { "changes", std::move(list) } };
}

json::object StatusView(const ControlContext& context, const AdminSources& sources)
{
  std::vector<ProcessId> names;
  for (const auto& [process, peer] : context.peers) {
    names.push_back(process);
  }
  std::sort(names.begin(), names.end());
  json::array processes;
  for (const ProcessId& process : names) {
    processes.push_back(ProcessView(context, sources, process, context.peers.at(process)));
  }
  json::object leader;
  leader["process"] = context.settings.process.Get();
  leader["incarnation"] = context.settings.incarnation.Get();
  leader["address"] = context.settings.address;
  leader["term"] = context.replication.term.Get();
  leader["committed"] = context.replication.committed.Get();
  leader["applied"] = context.replication.applied.Get();
  leader["leadingForMs"] = MillisSince(context, context.leaderSince);

  std::size_t serving = 0;
  for (const auto& [group, row] : context.state.GetGroups().Groups()) {
    serving += sources.membership.IsServing(context, row) ? 1 : 0;
  }
  json::object view;
  view["leader"] = std::move(leader);
  view["version"] = context.state.GetCatalogue().Version().Get();
  view["groups"] = context.state.GetGroups().Groups().size();
  view["groupsServing"] = serving;
  view["targets"] = context.state.GetGroups().Vms().size();
  view["claims"] = context.state.GetClaims().Size();
  view["changes"] = ChangesInForce(context, sources);
  view["processes"] = std::move(processes);
  return view;
}

json::object GroupsView(const ControlContext& context, const AdminSources& sources)
{
  json::array list;
  for (const auto& [group, row] : context.state.GetGroups().Groups()) {
    const GroupRuntimeState* live = sources.membership.FindGroup(group);
    const bool serving = sources.membership.IsServing(context, row);
    json::object view;
    view["group"] = group.Get();
    view["epoch"] = group.Get();
    view["entry"] = row.entry.Get();
    view["modelVersion"] = row.modelVersion;
    view["state"] = GroupState(row, live, serving);
    view["head"] = row.head.Get();
    view["members"] = NamesOf(row.members);
    view["reason"] = row.reason;
    view["routesHeld"] = sources.routes.HolderCount(group);
    if (live != nullptr) {
      view["missing"] = NamesOf(live->missing);
      view["weightsLoaded"] = live->weightsLoaded;
      view["running"] = live->running;
      view["queued"] = live->queued;
      view["reportAgeMs"] = MillisSince(context, live->lastReport);
    }
    list.push_back(std::move(view));
  }
  return { { "groups", std::move(list) } };
}

json::object TargetsView(const ControlContext& context, const AdminSources& sources)
{
  std::vector<const VmRow*> rows;
  for (const auto& [vm, row] : context.state.GetGroups().Vms()) {
    rows.push_back(&row);
  }
  std::sort(rows.begin(), rows.end(), [](const VmRow* left, const VmRow* right) {
    return left->record.vm < right->record.vm;
  });
  json::array list;
  for (const VmRow* row : rows) {
    const VmId vm(row->record.vm);
    const VmRuntimeState* live = sources.membership.FindVm(vm);
    json::object view;
    view["target"] = row->record.vm;
    view["process"] = row->record.process;
    view["address"] = row->record.address;
    view["kind"] = row->record.kind == wire::TargetKind::Engine ? "engine" : "service";
    view["service"] = row->record.service;
    view["failureDomain"] = row->record.failureDomain;
    view["fabricDomain"] = row->record.fabricDomain;
    view["accelerators"] = row->record.accelerators;
    view["group"] = row->group.IsNone() ? json::value(nullptr) : json::value(row->group.Get());
    view["reachable"] = sources.membership.IsReachable(context, *row);
    view["leaving"] = sources.membership.IsLeaving(context, vm);
    view["loadedModel"] = live != nullptr ? live->loadedModel : std::string();
    view["heardMs"] = live != nullptr ? MillisSince(context, live->lastHeard) : nullptr;
    list.push_back(std::move(view));
  }
  return { { "targets", std::move(list) } };
}

json::object RequestView(const wire::RequestRecordT& record)
{
  json::array attempts;
  for (const auto& attempt : record.attempts) {
    json::object part;
    part["attempt"] = attempt->attempt;
    part["group"] = attempt->group;
    part["epoch"] = attempt->epoch;
    part["target"] = attempt->vm;
    part["result"] = attempt->result;
    part["startedAtMs"] = attempt->startedMillis;
    part["endedAtMs"] = attempt->endedMillis;
    attempts.push_back(std::move(part));
  }
  json::object view;
  view["request"] = record.request;
  view["workspace"] = record.workspace;
  view["entry"] = record.entry;
  view["process"] = record.process;
  view["outcome"] = record.outcome;
  view["reason"] = record.reason;
  view["receivedAtMs"] = record.receivedMillis;
  view["endedAtMs"] = record.endedMillis;
  view["status"] = record.status;
  view["bytes"] = record.bytes;
  view["attempts"] = std::move(attempts);
  return view;
}

} // namespace gooseberrysail
