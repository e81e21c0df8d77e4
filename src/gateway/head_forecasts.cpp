#include "gooseberrysail/gateway/head_forecasts.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Time constant of the mean of the unread tokens, some passes of a loaded head.
constexpr double kMemorySeconds = 0.5;
/// An entry with a smaller share of a head knows too little of it to estimate what others send.
constexpr double kMinShare = 0.02;
constexpr Duration kUnusedFor = 10s;

} // namespace

double HeadForecasts::MeanUnread(TimePoint now, const Head& head)
{
  const double age = std::chrono::duration<double>(now - head.changedAt).count();
  const double kept = std::exp(-age / kMemorySeconds);
  return head.meanUnreadTokens * kept + head.unreadTokens * (1 - kept);
}

void HeadForecasts::ChangeUnread(TimePoint now, Head& head, double tokens)
{
  head.meanUnreadTokens = MeanUnread(now, head);
  head.changedAt = now;
  head.unreadTokens = std::max(0.0, head.unreadTokens + tokens);
}

EventForecast HeadForecasts::Forecast(TimePoint now,
                                      const TargetIncarnation& head,
                                      double share,
                                      std::uint32_t inFlight,
                                      const Prompt& prompt) const
{
  const double part = std::clamp(share, kMinShare, 1.0);
  HeadWork work;
  work.running = std::min(inFlight / part, static_cast<double>(prompt.engine.slots));
  double pace = 1;
  double upperBound = 1;
  if (const auto found = m_heads.find(head); found != m_heads.end()) {
    const double others = MeanUnread(now, found->second) * (1 - part) / part;
    work.unreadTokens = found->second.unreadTokens + others;
    pace = found->second.pace.At(now);
    upperBound = found->second.pace.UpperBoundAt(now);
  }
  const EventForecast usual =
    ForecastFirstEvent(prompt.engine, work, prompt.tokens, prompt.modelPace);
  const auto times = [](Duration duration, double factor) {
    return std::chrono::duration_cast<Duration>(duration * factor);
  };
  return { times(usual.firstEvent, pace),
           times(usual.upperBound, upperBound),
           times(usual.pause, pace) };
}

void HeadForecasts::OnSent(TimePoint now,
                           ExchangeId exchange,
                           const TargetIncarnation& head,
                           double promptTokens,
                           const EventForecast& forecast)
{
  Head& known = m_heads[head];
  ChangeUnread(now, known, promptTokens);
  m_sent.emplace(exchange,
                 Sent{ head, now, promptTokens, forecast.firstEvent, known.pace.At(now) });
}

std::optional<Duration> HeadForecasts::OnFirstEvent(TimePoint now, ExchangeId exchange)
{
  const auto found = m_sent.find(exchange);
  if (found == m_sent.end()) {
    return std::nullopt;
  }
  const Sent sent = found->second;
  Head& head = m_heads[sent.head];
  const auto usual = std::chrono::duration_cast<Duration>(sent.predicted / sent.pace);
  head.pace.Observe(now, usual, now - sent.at);
  ChangeUnread(now, head, -sent.promptTokens);
  m_sent.erase(found);
  return sent.predicted;
}

void HeadForecasts::OnEnded(ExchangeId exchange)
{
  const auto found = m_sent.find(exchange);
  if (found != m_sent.end()) {
    Head& head = m_heads[found->second.head];
    ChangeUnread(head.changedAt, head, -found->second.promptTokens);
    m_sent.erase(found);
  }
}

void HeadForecasts::RemoveUnused(TimePoint now)
{
  std::erase_if(m_heads, [&](const auto& entry) {
    const Head& head = entry.second;
    return head.unreadTokens <= 0 && now - head.changedAt > kUnusedFor;
  });
}

} // namespace gooseberrysail
