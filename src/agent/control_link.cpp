#include "gooseberrysail/agent/control_link.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

ControlLink::ControlLink(std::vector<EntrySettings::Control> controls)
  : m_controls(std::move(controls))
{
}

void ControlLink::OnAnswer(TimePoint now, const ProcessId& control)
{
  for (std::size_t index = 0; index < m_controls.size(); ++index) {
    if (m_controls[index].process == control) {
      m_activeControl = index;
      m_answeredAt = now;
    }
  }
}

void ControlLink::OnDown(const ProcessId& control)
{
  if (m_activeControl && m_controls[*m_activeControl].process == control) {
    m_activeControl.reset();
  }
}

bool ControlLink::HasActiveControl(TimePoint now) const noexcept
{
  return m_activeControl && now - m_answeredAt < kAnswerTimeout;
}

std::span<const EntrySettings::Control> ControlLink::Recipients(TimePoint now) const
{
  if (HasActiveControl(now)) {
    return std::span(m_controls).subspan(*m_activeControl, 1);
  }
  return m_controls;
}

bool ControlLink::IsControl(const ProcessId& process) const noexcept
{
  return std::any_of(m_controls.begin(), m_controls.end(), [&process](const auto& control) {
    return control.process == process;
  });
}

} // namespace gooseberrysail
