#include "soak/fault_log.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail::soak {

void FaultLog::Add(std::string what)
{
  const std::scoped_lock lock(m_mutex);
  const Clock::time_point now = Clock::now();
  m_faults.push_back({ "", std::move(what), now, now });
}

FaultLog::FaultId FaultLog::Begin(std::string subject, std::string what)
{
  const std::scoped_lock lock(m_mutex);
  m_faults.push_back({ std::move(subject), std::move(what), Clock::now(), std::nullopt });
  return m_faults.size() - 1;
}

void FaultLog::End(FaultId fault)
{
  const std::scoped_lock lock(m_mutex);
  std::optional<Clock::time_point>& end = m_faults[fault].end;
  end = end.value_or(Clock::now());
}

void FaultLog::EndAll(std::string_view subject)
{
  const std::scoped_lock lock(m_mutex);
  for (Fault& fault : m_faults) {
    if (fault.subject == subject) {
      fault.end = fault.end.value_or(Clock::now());
    }
  }
}

bool FaultLog::WasDisturbed(std::string_view subject,
                            Clock::time_point from,
                            Clock::time_point to) const
{
  const std::scoped_lock lock(m_mutex);
  return std::ranges::any_of(m_faults, [&](const Fault& fault) {
    return fault.subject == subject && fault.Overlaps(from, to);
  });
}

std::vector<std::string> FaultLog::Between(Clock::time_point from, Clock::time_point to) const
{
  const std::scoped_lock lock(m_mutex);
  std::vector<std::string> lines;
  for (const Fault& fault : m_faults) {
    if (fault.Overlaps(from, to)) {
      lines.push_back(Line(fault));
    }
  }
  return lines;
}

std::vector<std::string> FaultLog::Lines() const
{
  return Between(Clock::time_point::min(), Clock::time_point::max());
}

std::string FaultLog::Format(Clock::time_point time) const
{
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(time - m_start);
  return std::to_string(millis.count()) + " ms";
}

std::string FaultLog::Line(const Fault& fault) const
{
  return Format(fault.begin) + " " + fault.what;
}

} // namespace gooseberrysail::soak
