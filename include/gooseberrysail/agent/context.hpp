#pragma once

#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/roles/agent_role.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::impl {

/// \brief State passed to each part of the agent at a tick: time, settings and the outbox.
class AgentContext
{
public:
  AgentContext(TimePoint now,
               const AgentSettings& settings,
               std::vector<AgentOutput>& outbox,
               std::uint64_t& lastExchange,
               LogIndex configVersion)
    : m_now(now)
    , m_settings(settings)
    , m_outbox(outbox)
    , m_lastExchange(lastExchange)
    , m_configVersion(configVersion)
  {
  }

  [[nodiscard]] TimePoint Now() const noexcept { return m_now; }
  [[nodiscard]] const AgentSettings& Settings() const noexcept { return m_settings; }

  /// \brief Sets the configuration version that every message carries, so that a receiver with an
  /// older one fetches it.
  void SetConfigVersion(LogIndex version) noexcept { m_configVersion = version; }

  /// \param address With "", the message is sent only over an existing connection.
  template<class MessageT>
  void Send(const ProcessId& peer, const std::string& address, MessageT message)
  {
    auto envelope = MakeEnvelope(std::move(message));
    envelope->version = m_configVersion.Get();
    m_outbox.emplace_back(FrameOut{ peer, address, std::move(envelope) });
  }

  /// \brief Starts a call to the agent's own target.
  ExchangeId Call(std::string method,
                  std::string path,
                  std::vector<HttpHeader> headers,
                  std::string body,
                  Duration timeout)
  {
    const ExchangeId exchange(++m_lastExchange);
    m_outbox.emplace_back(TargetCallOut{
      exchange, std::move(method), std::move(path), std::move(headers), std::move(body), timeout });
    return exchange;
  }

  void CancelCall(ExchangeId exchange) { m_outbox.emplace_back(TargetCancelOut{ exchange }); }

  void Emit(EventNumber number, std::vector<std::pair<std::string, std::string>> fields)
  {
    m_outbox.emplace_back(MakeEvent(number, std::move(fields)));
  }

  void Stopped() { m_outbox.emplace_back(StoppedOut{}); }

private:
  TimePoint m_now;
  const AgentSettings& m_settings;
  std::vector<AgentOutput>& m_outbox;
  std::uint64_t& m_lastExchange;
  LogIndex m_configVersion;
};

} // namespace gooseberrysail::impl
