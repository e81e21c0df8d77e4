#pragma once

#include "gooseberrysail/agent/assignment.hpp"
#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/control_link.hpp"

#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief Tells control about the target VM: at start, on change and every few seconds.
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
  struct Told
  {
    GroupId group;
    Epoch epoch;
    std::string loadedModel;
    bool leaving = false;
    friend bool operator==(const Told&, const Told&) = default;
  };
  std::optional<Told> m_told;
  TimePoint m_toldAt{};
};

} // namespace gooseberrysail
