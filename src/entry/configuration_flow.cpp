#include "gooseberrysail/entry/configuration_flow.hpp"

namespace gooseberrysail::impl {

namespace {

std::uint32_t SlotsOfGroup(const CatalogueEntry& entry)
{
  if (const auto* model = std::get_if<ModelSpec>(&entry.spec)) {
    return model->maxConcurrent;
  }
  const auto* service = std::get_if<ServiceSpec>(&entry.spec);
  return service == nullptr ? 0 : service->maxConcurrent;
}

void UpdateLimits(EntryContext& context, const Catalogue::EntryMap& before)
{
  const Catalogue::EntryMap& after = context.catalogue.All(wire::EntryKind::Workspace);
  for (const auto& [name, entry] : before) {
    if (!after.contains(name)) {
      context.admission.RemoveWorkspace(WorkspaceId(name));
    }
  }
  for (const auto& [name, entry] : after) {
    const auto known = before.find(name);
    if (known == before.end() || known->second.revision != entry.revision) {
      context.admission.SetLimits(WorkspaceId(name), std::get<WorkspaceSpec>(entry.spec));
    }
  }
}

} // namespace

void ConfigurationFlow::OnState(EntryContext& context,
                                const ProcessId& from,
                                const wire::ConfigStateT& state)
{
  const Catalogue::EntryMap before = context.catalogue.All(wire::EntryKind::Workspace);
  const Result<bool> updated = context.config.OnState(from, state, context.catalogue);
  if (!updated) {
    context.Emit(EventNumber::kConfigurationRefused,
                 { { "control", from.Get() }, { "description", ToString(updated.error()) } });
    return;
  }
  if (updated.value()) {
    UpdateLimits(context, before);
    UpdateCapacity(context);
    context.Emit(EventNumber::kConfigurationInForce,
                 { { "version", std::to_string(context.catalogue.Version().Get()) } });
  }
}

void ConfigurationFlow::OnRoutes(EntryContext& context,
                                 const ProcessId& from,
                                 const wire::RoutesUpdateT& update)
{
  if (!context.routes.OnUpdate(from, update, context.peers, context.router)) {
    return;
  }
  wire::RoutesAckT ack;
  ack.sequence = update.sequence;
  context.Send(from, {}, ack);
  UpdateCapacity(context);
}

void ConfigurationFlow::OnShares(EntryContext& context, const wire::ShareUpdateT& update)
{
  for (const auto& share : update.shares) {
    context.admission.SetShare(context.now,
                               WorkspaceId(share->workspace),
                               share->requestsPerSecond,
                               share->tokensPerSecond,
                               share->concurrent);
  }
}

void ConfigurationFlow::Tick(EntryContext& context)
{
  context.config.Tick(context.now, [&](const EntrySettings::Control& to, wire::ConfigQueryT query) {
    context.Send(to.process, to.address, query);
  });
  const bool confirmed = context.config.Confirmed(context.now, context.catalogue.Policy());
  if (confirmed == m_wasConfirmed) {
    return;
  }
  m_wasConfirmed = confirmed;
  if (confirmed && m_everConfirmed) {
    context.Emit(EventNumber::kConfirmationBack,
                 { { "version", std::to_string(context.catalogue.Version().Get()) } });
  }
  if (!confirmed) {
    const Duration age = context.config.ConfirmationAge(context.now).value_or(Duration{});
    context.Emit(EventNumber::kConfirmationLapsed,
                 { { "ageMillis", std::to_string(ToMillis(age)) } });
  }
  m_everConfirmed = true;
}

void UpdateCapacity(EntryContext& context)
{
  for (const wire::EntryKind kind : { wire::EntryKind::Model, wire::EntryKind::Service }) {
    for (const auto& [name, entry] : context.catalogue.All(kind)) {
      const auto groups = static_cast<std::uint32_t>(context.router.CandidateCount(entry.name));
      context.admission.SetCapacity(entry.name, groups * SlotsOfGroup(entry));
    }
  }
}

void UpdateOccupancy(EntryContext& context)
{
  for (const wire::EntryKind kind : { wire::EntryKind::Model, wire::EntryKind::Service }) {
    for (const auto& [name, entry] : context.catalogue.All(kind)) {
      context.admission.SetOccupancy(entry.name, context.router.Load(entry.name).inFlight);
    }
  }
}

} // namespace gooseberrysail::impl
