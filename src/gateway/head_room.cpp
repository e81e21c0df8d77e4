#include "gooseberrysail/gateway/head_room.hpp"

#include "gooseberrysail/core/smoothing.hpp"

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Weight of the latest first event: a few of them show a change of load.
constexpr double kLatestWeight = 0.25;
/// An older observation says nothing about the present load.
constexpr Duration kMaxAge = 500ms;
/// First events must arrive within this fraction of the objective. The rest is for the requests
/// that other entries send before this entry observes their effect.
constexpr double kObjectiveFraction = 0.5;

} // namespace

void HeadRoom::OnFirstEvent(TimePoint now, const ServedKind& kind, Duration took)
{
  Observation& observation = m_observations[kind];
  const bool isRecent = now - observation.at <= kMaxAge;
  observation.firstEvent =
    Smooth(isRecent ? observation.firstEvent : Duration::zero(), took, kLatestWeight);
  observation.at = now;
}

bool HeadRoom::HasRoom(TimePoint now, const ServedKind& kind, Duration objective) const
{
  const auto found = m_observations.find(kind);
  return found != m_observations.end() && now - found->second.at <= kMaxAge &&
         found->second.firstEvent <= objective * kObjectiveFraction;
}

} // namespace gooseberrysail
