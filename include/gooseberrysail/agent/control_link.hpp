#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/entry_role.hpp"

#include <optional>
#include <span>
#include <vector>

namespace gooseberrysail {

/// \brief Tracks the leading control process: the one that answered last, until it stops answering.
class ControlLink
{
public:
  explicit ControlLink(std::vector<EntrySettings::Control> controls);

  /// \brief Call it only for answers that no process other than the leader can give.
  void OnAnswer(TimePoint now, const ProcessId& control);
  void OnDown(const ProcessId& control);
  [[nodiscard]] bool HasActiveControl(TimePoint now) const noexcept;
  /// \brief The leading control process, or all of them while none is known.
  [[nodiscard]] std::span<const EntrySettings::Control> Recipients(TimePoint now) const;
  [[nodiscard]] bool IsControl(const ProcessId& process) const noexcept;

private:
  /// Longer than two query intervals, so that one lost answer doesn't cause queries to all control
  /// processes.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(2500);

  std::vector<EntrySettings::Control> m_controls;
  std::optional<std::size_t> m_activeControl;
  TimePoint m_answeredAt{};
};

} // namespace gooseberrysail
