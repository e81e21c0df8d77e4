#include "gooseberrysail/gateway/dispatcher.hpp"

namespace gooseberrysail {

// The caller has all events, so that only the end of a stream waits until it is settled.
void Dispatcher::CompleteUnconfirmed(TimePoint now,
                                     Request& request,
                                     unsigned status,
                                     Outbox& outbox)
{
  const ExchangeId exchange = request.call.exchange;
  const auto parts = UnprovenParts(now, request, request.sent);
  m_unconfirmed.Add(request.sent.target,
                    { exchange,
                      request.fingerprint,
                      now,
                      { parts.begin(), parts.end() },
                      request.sent.at,
                      request.isTrial });
  request.mayHaveRun = true;
  if (request.streams) {
    m_heldEnds.emplace(now, exchange);
  } else {
    End(now, request, kUnconfirmed, status, outbox);
  }
}

void Dispatcher::ReleaseHeldEnds(TimePoint now, Outbox& outbox)
{
  while (!m_heldEnds.empty() && now - m_heldEnds.begin()->first >= UnconfirmedEnds::kSettleTime) {
    Request* request = Find(m_heldEnds.begin()->second);
    m_heldEnds.erase(m_heldEnds.begin());
    if (request != nullptr) {
      SendEvents(now, *request, "", true, outbox);
      const unsigned status = 200;
      End(now, *request, kUnconfirmed, status, outbox);
    }
  }
}

void Dispatcher::ConfirmEnds(TimePoint now, const TargetIncarnation& target, Outbox& outbox)
{
  for (const UnconfirmedEnds::End& end : m_unconfirmed.TakeWhole(now, target)) {
    m_selector.OnSuccess(target);
    RecordFinished(now, end.fingerprint, outbox);
  }
}

void Dispatcher::OnEndsCut(TimePoint now,
                           const TargetIncarnation& target,
                           std::span<const UnconfirmedEnds::End> ends,
                           Outbox& outbox)
{
  for (const UnconfirmedEnds::End& end : ends) {
    const bool isQuarantined = RecordCrash(now, end.fingerprint, target, outbox);
    RecordPartCrashes(end.parts, target, { end.sentAt, end.at, end.isTrial });
    const bool isHeld = m_heldEnds.erase({ end.at, end.exchange }) > 0;
    if (Request* request = Find(end.exchange); isHeld && request != nullptr) {
      AttemptEnded(now, *request, outbox, true, "its target crashed when the answer ended");
    }
    if (isQuarantined) {
      StopRepeats(now, end.fingerprint, outbox);
    }
  }
  ApplyHeldParts(now, kOwnSource, outbox);
}

} // namespace gooseberrysail
