#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

namespace gooseberrysail {

// A request that finished before can't be what crashes targets. Many callers of one workspace may
// send the same look-up, which is in flight at every target of its service.
bool Dispatcher::RecordCrash(TimePoint now,
                             const RequestFingerprint& fingerprint,
                             const TargetIncarnation& target,
                             Outbox& outbox)
{
  const bool wasQuarantined = m_suspects.IsQuarantined(fingerprint);
  if (m_finished.Contains(fingerprint) || !m_suspects.RecordCrash(now, fingerprint, target)) {
    return false;
  }
  return LogSuspect(fingerprint, wasQuarantined, kOwnSource, outbox);
}

void Dispatcher::RecordFinished(TimePoint now,
                                const RequestFingerprint& fingerprint,
                                Outbox& outbox)
{
  m_finished.Add(fingerprint);
  ClearSuspect(now, fingerprint, outbox);
}

void Dispatcher::ClearSuspect(TimePoint now, const RequestFingerprint& fingerprint, Outbox& outbox)
{
  const bool wasQuarantined = m_suspects.IsQuarantined(fingerprint);
  if (m_suspects.Clear(now, fingerprint)) {
    LogSuspect(fingerprint, wasQuarantined, kOwnSource, outbox);
  }
}

void Dispatcher::MergeSuspects(TimePoint now,
                               const ProcessId& source,
                               std::span<const std::unique_ptr<wire::CrashSuspectT>> rows,
                               Outbox& outbox)
{
  for (const auto& row : rows) {
    const RequestFingerprint fingerprint = FingerprintOf(*row);
    const bool wasQuarantined = m_suspects.IsQuarantined(fingerprint);
    if (m_suspects.Merge(now, *row) &&
        LogSuspect(fingerprint, wasQuarantined, source.Get(), outbox)) {
      StopRepeats(now, fingerprint, outbox);
    }
  }
}

void Dispatcher::ClearFinishedSuspects(TimePoint now,
                                       std::span<const std::unique_ptr<wire::CrashSuspectT>> rows,
                                       Outbox& outbox)
{
  for (const auto& row : rows) {
    if (m_finished.Contains(FingerprintOf(*row))) {
      ClearSuspect(now, FingerprintOf(*row), outbox);
    }
  }
}

bool Dispatcher::LogSuspect(const RequestFingerprint& fingerprint,
                            bool wasQuarantined,
                            const std::string& source,
                            Outbox& outbox) const
{
  const bool isQuarantined = m_suspects.IsQuarantined(fingerprint);
  if (isQuarantined != wasQuarantined) {
    outbox.emplace_back(
      MakeEvent(EventNumber::kGatewayRequestSuspected,
                { { "fingerprint", ToString(fingerprint) },
                  { "state", isQuarantined ? "quarantined" : "cleared" },
                  { "crashed", std::to_string(m_suspects.Find(fingerprint)->crashed.size()) },
                  { "source", source } }));
  }
  return isQuarantined && !wasQuarantined;
}

// A repeat that waits for a slot of its target has not crashed it yet.
void Dispatcher::StopRepeats(TimePoint now, const RequestFingerprint& fingerprint, Outbox& outbox)
{
  std::vector<ExchangeId> repeats;
  for (const auto& [exchange, request] : m_requests) {
    if (request.fingerprint == fingerprint) {
      repeats.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : repeats) {
    Request& request = *Find(exchange);
    StopAttempts(now, request, "the same request crashed other targets", outbox);
    RejectRepeat(now, request, outbox);
  }
}

// The answer promises nothing and names no time for a retry: the same request has run.
void Dispatcher::RejectRepeat(TimePoint now, Request& request, Outbox& outbox)
{
  request.mayHaveRun = true;
  const std::size_t crashed = m_suspects.Find(request.fingerprint)->crashed.size();
  request.lastError = "the same request (" + ToString(request.fingerprint) + ") crashed " +
                      std::to_string(crashed) + " targets that had it";
  GiveUp(now, request, outbox);
}

} // namespace gooseberrysail
