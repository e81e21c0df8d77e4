#include "gooseberrysail/control/target_relay.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// Maximum age of a heartbeat that is forwarded to a new peer: a few heartbeat intervals.
constexpr Duration kRecentlyHeard = std::chrono::seconds(2);

} // namespace

void TargetRelay::Enqueue(const ControlContext& context, const InstanceId& instance, bool isUrgent)
{
  for (const EntrySettings::Control& control : context.controls) {
    if (control.process != context.settings.process && context.IsUp(control.process)) {
      Enqueue(context, control.process, instance, isUrgent);
    }
  }
}

void TargetRelay::Enqueue(const ControlContext& context,
                          const ProcessId& process,
                          const InstanceId& instance,
                          bool isUrgent)
{
  const TimePoint due = isUrgent ? context.now : context.now + kBatchDelay;
  Pending& pending = m_pending[process];
  pending.due = pending.targets.empty() ? due : std::min(pending.due, due);
  bool& needsState = pending.targets[instance];
  needsState = needsState || isUrgent;
}

// A target announces only once that it leaves. If that were lost with a connection, a leader that
// depends on this process would list the target until its heartbeats time out.
void TargetRelay::OnPeerUp(const ControlContext& context,
                           const ProcessId& process,
                           const TargetTable& targets)
{
  const bool isControl = std::ranges::any_of(
    context.controls, [&](const auto& control) { return control.process == process; });
  if (!isControl) {
    return;
  }
  Pending& pending = m_pending[process];
  pending.due = context.now;
  for (const auto& [instance, row] : targets.Rows()) {
    // Forwarding the old announcement of a silent target would count as a new heartbeat of it.
    if (row.latest.left || context.now - row.lastSeenAt <= kRecentlyHeard) {
      pending.targets[instance] = true;
    }
  }
}

// One frame for each heartbeat and process would cost in proportion to targets x control processes,
// and most of that cost would be framing overhead.
void TargetRelay::Tick(ControlContext& context, const TargetTable& targets)
{
  for (auto& [process, pending] : m_pending) {
    const bool isDue = !pending.targets.empty() && context.now >= pending.due;
    if ((!isDue && pending.wanted.empty()) || !context.HasQueueCapacity(process)) {
      continue;
    }
    wire::TargetsHeardT heard;
    for (const auto& [instance, needsState] : pending.targets) {
      const TargetRow* row = targets.Find(instance);
      if (row == nullptr) {
        continue;
      }
      if (needsState) {
        heard.heard.push_back(std::make_unique<wire::TargetHeardT>(ToWire(row->latest)));
      } else {
        heard.alive.push_back(std::make_unique<wire::TargetAliveT>(ToAlive(row->latest)));
      }
    }
    for (const InstanceId& instance : pending.wanted) {
      heard.wanted.push_back(instance.Get());
    }
    pending.targets.clear();
    pending.wanted.clear();
    context.SendMessage(process, std::move(heard));
  }
}

} // namespace gooseberrysail
