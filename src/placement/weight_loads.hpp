#pragma once

#include "placement/fleet.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Learns how long groups need to begin serving, and keeps to the weight store's budget.
class WeightLoads
{
public:
  /// \brief Notes which groups load and which have begun to serve.
  void Observe(const Fleet& fleet);

  /// \brief Groups that load now.
  [[nodiscard]] std::uint32_t CountRunning() const noexcept { return m_running; }
  /// \brief Groups that may begin to load within the policy's budget.
  [[nodiscard]] std::uint32_t CountLeft(const PolicySpec& policy) const noexcept;
  /// \brief For how long a group that doesn't serve yet was seen to start.
  [[nodiscard]] double SecondsLoading(const Fleet& fleet, const FleetGroup& group) const;
  /// \brief Groups seen to begin a load within the last seconds, the latest first.
  [[nodiscard]] std::vector<Row> BegunLately(const Fleet& fleet) const;
  /// \brief Expected seconds from forming a group to serving, when a member lacks the weights.
  [[nodiscard]] double LoadSeconds(const EntryName& entry) const;
  /// \brief The same when all members hold the weights.
  [[nodiscard]] double FormSeconds() const noexcept { return m_formSeconds; }
  /// \brief Expected seconds until a group serves again whose members are back with weights.
  [[nodiscard]] double ResumeSeconds() const noexcept { return m_resumeSeconds; }

private:
  struct Start
  {
    TimePoint at{};
    bool isLoad = false;
    bool isNew = false;   ///< Formed just now, not broken before.
    bool isSeen = false;  ///< In the latest input.
    bool isTimed = false; ///< Its beginning was seen, too.
  };

  void NoteStart(const Fleet& fleet, const FleetGroup& group);
  void NoteServing(const Fleet& fleet, const FleetGroup& group, const Start& start);

  std::unordered_map<std::uint64_t, Start> m_starts;     ///< By group.
  std::unordered_map<std::string, double> m_loadSeconds; ///< By entry.
  double m_formSeconds = 8;
  double m_resumeSeconds = 3;
  std::uint32_t m_running = 0;
  std::optional<TimePoint> m_lastCall;
};

/// \brief Whether a member of the group lacks the weights of the group's version.
[[nodiscard]] bool NeedsLoad(const Fleet& fleet, const FleetGroup& group);

} // namespace gooseberrysail::impl
