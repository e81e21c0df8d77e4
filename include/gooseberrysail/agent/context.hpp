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
  /// \param maxAnswerBytes Of its body; 0: no limit.
  /// \param timeout Of the call without a byte, and of one with a limit of bytes until its end.
  ExchangeId Call(std::string method,
                  std::string path,
                  std::vector<HttpHeader> headers,
                  std::string body,
                  Duration timeout,
                  std::uint64_t maxAnswerBytes = 0)
  {
    TargetCallOut call;
    call.exchange = ExchangeId(++m_lastExchange);
    call.method = std::move(method);
    call.path = std::move(path);
    call.headers = std::move(headers);
    call.body = std::move(body);
    call.timeout = timeout;
    call.totalTimeout = maxAnswerBytes == 0 ? Duration::zero() : timeout;
    call.maxAnswerBytes = maxAnswerBytes;
    m_outbox.emplace_back(std::move(call));
    return ExchangeId(m_lastExchange);
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
