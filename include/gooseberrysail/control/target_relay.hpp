#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <map>
#include <set>

namespace gooseberrysail {

/// \brief Passes on to the other control processes what targets said to this one, so that a new
/// leader knows who is there at once.
/// \remarks What waits for a process is which targets it has yet to hear of: never more than there
/// are targets, and each is told as it is when the frame is made.
class TargetRelay
{
public:
  /// \brief A target said something here.
  /// \param isNews What others must learn at once; else it only shows that the target lives.
  void Note(const ControlContext& context, const InstanceId& instance, bool isNews);

  /// \brief A control process is connected: it may have missed what was said before, or just have
  /// started.
  void OnPeerUp(const ControlContext& context,
                const ProcessId& process,
                const TargetTable& targets);

  /// \brief A connection ended, and what was sent on it may be lost.
  void OnPeerDown(const ProcessId& process) { m_waiting.erase(process); }

  /// \brief Sends one frame to each process that has yet to hear something.
  void Tick(ControlContext& context, const TargetTable& targets);

  /// \brief Signs of life wait for this long, so that one frame carries those of many targets. A
  /// target is taken for lost after several of its heartbeats, which are longer apart.
  static constexpr Duration kJoinTime = std::chrono::milliseconds(100);

private:
  struct Waiting
  {
    std::set<InstanceId> targets;
    TimePoint due{}; ///< Of the first of them.
  };

  std::map<ProcessId, Waiting> m_waiting;
};

} // namespace gooseberrysail
