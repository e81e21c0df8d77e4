#pragma once

#include "gooseberrysail/agent/assignment.hpp"
#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/control_link.hpp"

#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief Sends the target VM's state to control: at start, on change and every kInterval.
class Announcer
{
public:
  static constexpr Duration kInterval = std::chrono::seconds(3);

  void Tick(impl::AgentContext& context,
            const ControlLink& link,
            const std::optional<Assignment>& assignment,
            const std::string& loadedModel,
            bool leaving);

private:
  struct AnnouncedState
  {
    GroupId group;
    Epoch epoch;
    std::string loadedModel;
    bool leaving = false;
    friend bool operator==(const AnnouncedState&, const AnnouncedState&) = default;
  };
  std::optional<AnnouncedState> m_lastAnnounced;
  TimePoint m_lastAnnouncedAt{};
};

} // namespace gooseberrysail
