#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// The next answer may begin faster than the fastest lately.
constexpr double kStartFraction = 0.8;
/// A trial may be due already, but needs a request to be tried with.
constexpr Duration kMinHeldRetry = 1s;
constexpr Duration kMaxHeldRetry = 60s;

} // namespace

// A target can't have begun to answer a request that it has had for less time than any other needs,
// so that such a request did not crash it.
std::span<const RequestFingerprint> Dispatcher::UnprovenParts(TimePoint now,
                                                              const Request& request,
                                                              const SentCall& sent)
{
  const std::optional<Duration> fastest = m_fastestStarts[KindOf(request)].Get(now);
  const bool mayHaveBegun = !fastest || static_cast<double>((now - sent.at).count()) >=
                                          kStartFraction * static_cast<double>(fastest->count());
  return request.isProven || !mayHaveBegun ? std::span<const RequestFingerprint>()
                                           : request.promptParts;
}

const RequestFingerprint* Dispatcher::FindHeldPart(const Request& request) const
{
  const auto held = std::ranges::find_if(
    request.promptParts, [&](const auto& part) { return m_promptParts.IsHeld(part); });
  return held == request.promptParts.end() ? nullptr : &*held;
}

bool Dispatcher::TakeTrial(TimePoint now, const Request& request)
{
  const auto isHeld = [&](const auto& part) { return m_promptParts.IsHeld(part); };
  const bool hasOneHeldPart = std::ranges::count_if(request.promptParts, isHeld) == 1;
  const auto trial = m_trials.find(*FindHeldPart(request));
  if (!hasOneHeldPart || trial == m_trials.end()) {
    return false;
  }
  const bool isValid = now < trial->second;
  m_trials.erase(trial);
  return isValid;
}

void Dispatcher::GrantTrial(TimePoint now,
                            const ProcessId& source,
                            const RequestFingerprint& part,
                            Outbox& outbox)
{
  if (m_promptParts.IsHeld(part)) {
    m_trials[part] = now + PromptSuspects::kTrialValidity;
    LogPart(part, "trial", source.Get(), outbox);
  }
}

void Dispatcher::RecordPartCrashes(std::span<const RequestFingerprint> parts,
                                   const TargetIncarnation& target,
                                   const PromptSuspects::Crash& crash)
{
  for (const RequestFingerprint& part : parts) {
    m_promptParts.RecordCrash(part, target, crash);
  }
}

void Dispatcher::ProveParts(TimePoint now, Request& request, TimePoint begunAt, Outbox& outbox)
{
  if (request.isProven) {
    return;
  }
  request.isProven = true;
  for (const RequestFingerprint& part : request.promptParts) {
    m_promptParts.RecordProof(now, part, begunAt);
  }
  ApplyHeldParts(now, kOwnSource, outbox);
}

void Dispatcher::MergePromptParts(TimePoint now,
                                  const ProcessId& source,
                                  std::span<const std::unique_ptr<wire::PromptSuspectT>> rows,
                                  Outbox& outbox)
{
  for (const auto& row : rows) {
    m_promptParts.Merge(now, *row);
  }
  ApplyHeldParts(now, source.Get(), outbox);
}

void Dispatcher::ApplyHeldParts(TimePoint now, const std::string& source, Outbox& outbox)
{
  if (m_heldParts == m_promptParts.Held()) {
    return;
  }
  const std::set<RequestFingerprint> former = std::exchange(m_heldParts, m_promptParts.Held());
  for (const RequestFingerprint& part : former) {
    if (!m_heldParts.contains(part)) {
      m_trials.erase(part);
      LogPart(part, "released", source, outbox);
    }
  }
  for (const RequestFingerprint& part : m_heldParts) {
    if (!former.contains(part)) {
      LogPart(part, "held", source, outbox);
    }
  }
  EndHeldRequests(now, outbox);
}

void Dispatcher::LogPart(const RequestFingerprint& part,
                         const char* state,
                         const std::string& source,
                         Outbox& outbox) const
{
  const PromptSuspects::Row* row = m_promptParts.Find(part);
  outbox.emplace_back(
    MakeEvent(EventNumber::kGatewayPromptPart,
              { { "part", ToString(part) },
                { "state", state },
                { "crashed", std::to_string(row == nullptr ? 0 : row->crashes.size()) },
                { "source", source } }));
}

// Requests that wait for a slot of their target have not crashed it yet. Answers that went on crash
// nothing any more.
void Dispatcher::EndHeldRequests(TimePoint now, Outbox& outbox)
{
  std::vector<ExchangeId> held;
  for (const auto& [exchange, request] : m_requests) {
    if (!request.isProven && !request.isTrial && FindHeldPart(request) != nullptr) {
      held.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : held) {
    Request& request = *Find(exchange);
    const RequestFingerprint part = *FindHeldPart(request);
    const bool wasSent = !request.sent.exchange.IsNone();
    StopAttempts(
      now, request, "a part of its prompt (" + ToString(part) + ") crashes targets", outbox);
    request.mayHaveRun = request.mayHaveRun || wasSent;
    if (request.mayHaveRun || request.headForwarded) {
      request.lastError = "a part of its prompt (" + ToString(part) + ") crashes targets";
      GiveUp(now, request, outbox);
    } else {
      RefuseHeld(now, request, part, outbox);
    }
  }
}

// It has certainly not run. The time is that of the next trial of the part, before which no further
// try can succeed.
void Dispatcher::RefuseHeld(TimePoint now,
                            Request& request,
                            const RequestFingerprint& part,
                            Outbox& outbox)
{
  const Duration untilTrial = m_promptParts.TrialDueAt(part) - now;
  const std::size_t crashed = m_promptParts.Find(part)->crashes.size();
  const std::string reason = "a part of its prompt (" + ToString(part) + ") crashed " +
                             std::to_string(crashed) + " targets that had it";
  Refuse(now,
         request,
         { 503, reason, std::clamp<Duration>(untilTrial, kMinHeldRetry, kMaxHeldRetry) },
         outbox);
}

} // namespace gooseberrysail
