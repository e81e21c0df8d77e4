#pragma once

#include "gooseberrysail/admission/admission.hpp"
#include "gooseberrysail/catalogue/catalogue.hpp"
#include "gooseberrysail/entry/catalogue_client.hpp"
#include "gooseberrysail/entry/claims_client.hpp"
#include "gooseberrysail/entry/connected_peers.hpp"
#include "gooseberrysail/entry/outcome_records.hpp"
#include "gooseberrysail/entry/request_table.hpp"
#include "gooseberrysail/entry/route_client.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/routing/router.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::impl {

/// \brief State shared by the parts of the entry role, and the input and output of a tick.
struct EntryContext
{
  EntryContext(EntrySettings entrySettings, RoleHooks roleHooks);

  EntrySettings settings;
  RoleHooks hooks;

  ConnectedPeers peers;
  Catalogue catalogue;
  CatalogueClient config;
  RouteClient routes;
  Router router;
  Admission admission;
  RequestTable requests;
  OutcomeRecords records;
  ClaimsClient claims;
  std::vector<RequestId> acksDue;
  bool stopping = false;

  TimePoint now{};                            ///< Time of the current tick.
  std::vector<EntryOutput>* outbox = nullptr; ///< Output of the current tick.

  [[nodiscard]] RequestId NextRequestId();

  template<class MessageT>
  void Send(const ProcessId& peer, const std::string& address, MessageT message)
  {
    auto envelope = MakeEnvelope(std::move(message));
    envelope->version = catalogue.Version().Get();
    outbox->emplace_back(FrameOut{ peer, address, std::move(envelope) });
  }

  template<class MessageT>
  void SendToControl(MessageT message)
  {
    if (!settings.controls.empty()) {
      const EntrySettings::Control& control = config.Current();
      Send(control.process, control.address, std::move(message));
    }
  }

  void Answer(HttpAnswerOut answer) { outbox->emplace_back(std::move(answer)); }

  void Emit(EventNumber number, std::vector<std::pair<std::string, std::string>> fields)
  {
    outbox->emplace_back(MakeEvent(number, std::move(fields)));
  }

private:
  std::uint64_t m_lastSequence = 0;
};

} // namespace gooseberrysail::impl
