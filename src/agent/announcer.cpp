#include "gooseberrysail/agent/announcer.hpp"

#include <utility>

namespace gooseberrysail {

void Announcer::Tick(impl::AgentContext& context,
                     const ControlLink& link,
                     const std::optional<Assignment>& assignment,
                     const std::string& loadedModel,
                     bool leaving)
{
  Told now{ assignment ? assignment->group : GroupId(),
            assignment ? assignment->epoch : Epoch(),
            loadedModel,
            leaving };
  if (m_told == now && context.Now() - m_toldAt < kInterval) {
    return;
  }
  const AgentSettings& settings = context.Settings();
  wire::AnnounceT announce;
  announce.vm = settings.vm.Get();
  announce.address = settings.address;
  announce.kind = settings.kind;
  announce.service = settings.service.Get();
  announce.failureDomain = settings.failureDomain.Get();
  announce.fabricDomain = settings.fabricDomain.Get();
  announce.accelerators = settings.accelerators;
  announce.loadedModel = now.loadedModel;
  announce.group = now.group.Get();
  announce.epoch = now.epoch.Get();
  announce.leaving = now.leaving;
  for (const auto& control : link.Targets(context.Now())) {
    context.Send(control.process, control.address, announce);
  }
  m_told = std::move(now);
  m_toldAt = context.Now();
}

} // namespace gooseberrysail
