#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrysail {

/// \brief What a head tells entries of its load.
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
  Duration age{}; ///< Of what the engine said.
};

/// \brief Tells the entries that sent work lately how loaded the group is.
class LoadReports
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(250);
  static constexpr Duration kUnchangedInterval = std::chrono::seconds(2);
  /// Entries that sent nothing for this long hear no more; their view is stale anyway.
  static constexpr Duration kInterest = std::chrono::seconds(30);

  void OnWork(TimePoint now, const ProcessId& entry);
  void OnDown(const ProcessId& entry);
  void Tick(impl::AgentContext& context, const GroupLoad& load);
  /// \brief Entries that sent work lately.
  [[nodiscard]] std::vector<ProcessId> Interested() const;

private:
  struct Row
  {
    TimePoint lastWork;
    std::optional<TimePoint> lastReport;
    GroupLoad told;
  };
  [[nodiscard]] static bool Due(TimePoint now, const Row& row, const GroupLoad& load);

  std::map<ProcessId, Row> m_entries;
};

} // namespace gooseberrysail
