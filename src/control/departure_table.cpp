#include "gooseberrysail/control/departure_table.hpp"

#include <memory>

namespace gooseberrysail {

namespace {

Departure FromWire(const wire::DepartureT& departure)
{
  return { { InstanceId(departure.instance), Incarnation(departure.born) },
           departure.sequence,
           departure.left };
}

} // namespace

wire::DepartureT ToWire(const Departure& departure)
{
  wire::DepartureT out;
  out.instance = departure.target.instance.Get();
  out.born = departure.target.born.Get();
  out.sequence = departure.sequence;
  out.left = departure.left;
  return out;
}

void DepartureTable::Apply(LogIndex index, const wire::RecordDeparturesT& command)
{
  for (const auto& wire : command.departures) {
    const Departure departure = FromWire(*wire);
    if (!Covers(departure)) {
      m_rows[departure.target.instance] = { departure, index };
      m_lastIndex = index;
    }
  }
  for (const auto& wire : command.forgotten) {
    const Departure departure = FromWire(*wire);
    const auto found = m_rows.find(departure.target.instance);
    if (found != m_rows.end() && found->second.departure == departure) {
      m_rows.erase(found);
    }
  }
}

bool DepartureTable::Covers(const Departure& departure) const
{
  const auto found = m_rows.find(departure.target.instance);
  return found != m_rows.end() && found->second.departure.Covers(departure);
}

void DepartureTable::SaveTo(wire::ControlSnapshotT& snapshot) const
{
  for (const auto& [instance, row] : m_rows) {
    snapshot.departures.push_back(std::make_unique<wire::DepartureT>(ToWire(row.departure)));
  }
}

void DepartureTable::LoadFrom(const wire::ControlSnapshotT& snapshot)
{
  m_rows.clear();
  m_lastIndex = LogIndex(snapshot.index);
  for (const auto& wire : snapshot.departures) {
    Departure departure = FromWire(*wire);
    const InstanceId instance = departure.target.instance;
    m_rows[instance] = { std::move(departure), m_lastIndex };
  }
}

} // namespace gooseberrysail
