#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstddef>
#include <map>
#include <set>

namespace gooseberrysail {

/// \brief Forwards target announcements that this process received to the other control processes,
/// so that a new leader has their state immediately.
/// \remarks The queue of a process holds target ids, so that it is bounded by the number of
/// targets; a frame carries the state of each target at the time when the frame is built. A
/// heartbeat that changed nothing is forwarded without the state, which the receiver has.
class TargetRelay
{
public:
  /// \brief Queues a target that announced itself to this process.
  /// \param isUrgent Whether its state changed and must be sent at once; else it is only a
  /// heartbeat.
  void Enqueue(const ControlContext& context, const InstanceId& instance, bool isUrgent);

  /// \brief Asks a process for the whole state of a target.
  void Request(const ProcessId& process, const InstanceId& instance)
  {
    m_pending[process].wanted.insert(instance);
  }

  /// \brief A process asked for the whole state of a target.
  void OnRequest(const ControlContext& context,
                 const ProcessId& process,
                 const InstanceId& instance)
  {
    Enqueue(context, process, instance, true);
  }

  /// \brief A control process connected. It may have missed earlier announcements or just started.
  void OnPeerUp(const ControlContext& context,
                const ProcessId& process,
                const TargetTable& targets);

  /// \brief A connection ended; frames sent on it may be lost.
  void OnPeerDown(const ProcessId& process) { m_pending.erase(process); }

  /// \brief Sends one frame to each process whose queue is due. What exceeds kMaxStateBytes is sent
  /// in the next ticks.
  void Tick(ControlContext& context, const TargetTable& targets);

  /// \brief Heartbeats are delayed by this long, so that one frame carries those of many targets.
  /// The delay is harmless: a target counts as lost after several heartbeat intervals, which are
  /// longer.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(100);

  /// \brief Rows are added to a frame until it has about this size, far below kMaxFrameBytes.
  static constexpr std::size_t kMaxStateBytes = std::size_t{ 1024 } * 1024;

private:
  struct Pending
  {
    std::map<InstanceId, bool> targets; ///< With whether the receiver needs the whole state.
    std::set<InstanceId> wanted;        ///< Whose whole state this process needs.
    InstanceId resumeAt;                ///< The first target of the next frame.
    TimePoint due{};                    ///< Of the target that is due first.
  };

  void Enqueue(const ControlContext& context,
               const ProcessId& process,
               const InstanceId& instance,
               bool isUrgent);
  /// \brief Moves queued targets into a frame until it is full.
  static void TakeTargets(Pending& pending, const TargetTable& targets, wire::TargetsHeardT& heard);

  std::map<ProcessId, Pending> m_pending;
};

} // namespace gooseberrysail
