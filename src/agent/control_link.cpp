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
      m_answering = index;
      m_answeredAt = now;
    }
  }
}

void ControlLink::OnDown(const ProcessId& control)
{
  if (m_answering && m_controls[*m_answering].process == control) {
    m_answering.reset();
  }
}

bool ControlLink::Answers(TimePoint now) const noexcept
{
  return m_answering && now - m_answeredAt < kSilence;
}

std::span<const EntrySettings::Control> ControlLink::Targets(TimePoint now) const
{
  if (Answers(now)) {
    return std::span(m_controls).subspan(*m_answering, 1);
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
