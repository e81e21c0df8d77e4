#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrysail {

/// \brief A group's load, as its head reports it to entries.
struct GroupLoad
{
  GroupId group;
  Epoch epoch;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t kvUsedPermille = 0;
  bool open = false;
  bool leaving = false;
  double tokensPerSecond = 0;
  Duration age{}; ///< Age of the engine's status.
};

/// \brief Reports the group's load to the entries that recently sent requests.
class LoadReports
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(250);
  static constexpr Duration kUnchangedInterval = std::chrono::seconds(2);
  /// An entry that sent no request for this long gets no more reports.
  static constexpr Duration kActivityTimeout = std::chrono::seconds(30);

  void OnRequest(TimePoint now, const ProcessId& entry);
  void OnDown(const ProcessId& entry);
  void Tick(impl::AgentContext& context, const GroupLoad& load);
  /// \brief Entries that recently sent requests.
  [[nodiscard]] std::vector<ProcessId> ActiveEntries() const;

private:
  struct Row
  {
    TimePoint lastWork;
    std::optional<TimePoint> lastReport;
    GroupLoad lastLoad;
  };
  [[nodiscard]] static bool Due(TimePoint now, const Row& row, const GroupLoad& load);

  std::map<ProcessId, Row> m_entries;
};

} // namespace gooseberrysail
