#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/entry_role.hpp"

#include <optional>
#include <span>
#include <vector>

namespace gooseberrysail {

/// \brief Finds the control process that leads: whoever answered last, while it goes on answering.
class ControlLink
{
public:
  explicit ControlLink(std::vector<EntrySettings::Control> controls);

  /// \brief Only an answer that a leader alone can give.
  void OnAnswer(TimePoint now, const ProcessId& control);
  void OnDown(const ProcessId& control);
  [[nodiscard]] bool Answers(TimePoint now) const noexcept;
  /// \brief The answering one, or all when none answers.
  [[nodiscard]] std::span<const EntrySettings::Control> Targets(TimePoint now) const;
  [[nodiscard]] bool IsControl(const ProcessId& process) const noexcept;

private:
  /// Longer than two rounds of questions, so that one lost answer doesn't start asking everybody.
  static constexpr Duration kSilence = std::chrono::milliseconds(2500);

  std::vector<EntrySettings::Control> m_controls;
  std::optional<std::size_t> m_answering;
  TimePoint m_answeredAt{};
};

} // namespace gooseberrysail
