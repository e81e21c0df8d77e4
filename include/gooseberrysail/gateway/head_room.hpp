#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/gateway/wait_queue.hpp"

#include <map>

namespace gooseberrysail {

/// \brief Decides whether the heads of a model have room for more requests than this entry's part
/// of their slots, by how soon its requests get their first events.
/// \remarks Parts follow the callers within seconds. When entries stop, are killed or restart,
/// their callers are at other entries within milliseconds: the heads have as much to do as before,
/// and only the parts are used up. A head without a free slot delays the first event of each
/// further request by the time until one comes free, so that timely first events show that there
/// are free slots, whoever uses the others.
class HeadRoom
{
public:
  /// \brief The first event of a request arrived `took` after it was sent.
  void OnFirstEvent(TimePoint now, const ServedKind& kind, Duration took);

  /// \param objective Time within which the first event of one more request should arrive.
  [[nodiscard]] bool HasRoom(TimePoint now, const ServedKind& kind, Duration objective) const;

private:
  struct Observation
  {
    Duration firstEvent{}; ///< Moving average.
    TimePoint at{};        ///< Of the latest one.
  };

  std::map<ServedKind, Observation> m_observations;
};

} // namespace gooseberrysail
