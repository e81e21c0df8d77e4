#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <commands_generated.h>
#include <map>

namespace gooseberrysail {

/// \brief The committed departures of targets, by instance: part of the replicated state.
/// \remarks Control processes learn the rest of their target tables anew from heartbeats. After a
/// restart of all of them, only this shows that a late heartbeat is older than a departure.
class DepartureTable
{
public:
  struct Row
  {
    Departure departure;
    LogIndex index; ///< Of the command that recorded it, or of the snapshot that contained it.
  };

  void Apply(LogIndex index, const wire::RecordDeparturesT& command);

  void SaveTo(wire::ControlSnapshotT& snapshot) const;
  void LoadFrom(const wire::ControlSnapshotT& snapshot);

  /// \brief Whether a process that restarts with this table ignores all heartbeats which contradict
  /// the departure.
  [[nodiscard]] bool Covers(const Departure& departure) const;

  [[nodiscard]] const std::map<InstanceId, Row>& Rows() const noexcept { return m_rows; }
  /// \brief The highest index of a row that was ever added.
  [[nodiscard]] LogIndex LastIndex() const noexcept { return m_lastIndex; }

private:
  std::map<InstanceId, Row> m_rows;
  LogIndex m_lastIndex;
};

[[nodiscard]] wire::DepartureT ToWire(const Departure& departure);

} // namespace gooseberrysail
