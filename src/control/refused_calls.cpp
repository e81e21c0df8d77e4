#include "gooseberrysail/control/refused_calls.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <utility>

namespace gooseberrysail {

void RefusedCalls::Note(std::string caller, std::string reason)
{
  m_caller = std::move(caller);
  m_reason = std::move(reason);
  ++m_calls;
}

std::optional<EventOut> RefusedCalls::TakeReport(TimePoint now)
{
  const bool isDue = !m_reportedAt || now - *m_reportedAt >= kInterval;
  if (m_calls == 0 || !isDue) {
    return std::nullopt;
  }
  m_reportedAt = now;
  return MakeEvent(EventNumber::kOutsideCallRefused,
                   { { "caller", m_caller },
                     { "reason", m_reason },
                     { "calls", std::to_string(std::exchange(m_calls, 0)) } });
}

} // namespace gooseberrysail
