#include "gooseberrysail/agent/announcer.hpp"

#include <utility>

namespace gooseberrysail {

void Announcer::Tick(impl::AgentContext& context,
                     const ControlLink& link,
                     const std::optional<Assignment>& assignment,
                     const std::string& loadedModel,
                     bool leaving)
{
  AnnouncedState current{ assignment ? assignment->group : GroupId(),
                          assignment ? assignment->epoch : Epoch(),
                          loadedModel,
                          leaving };
  if (m_lastAnnounced == current && context.Now() - m_lastAnnouncedAt < kInterval) {
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
  announce.loadedModel = current.loadedModel;
  announce.group = current.group.Get();
  announce.epoch = current.epoch.Get();
  announce.leaving = current.leaving;
  for (const auto& control : link.Recipients(context.Now())) {
    context.Send(control.process, control.address, announce);
  }
  m_lastAnnounced = std::move(current);
  m_lastAnnouncedAt = context.Now();
}

} // namespace gooseberrysail
