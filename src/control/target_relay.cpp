#include "gooseberrysail/control/target_relay.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// Maximum age of a heartbeat that is forwarded to a new peer: a few heartbeat intervals.
constexpr Duration kRecentlyHeard = std::chrono::seconds(2);
/// Of a row's numbers and offsets in a frame.
constexpr std::size_t kRowOverheadBytes = 128;

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
    TakeTargets(pending, targets, heard);
    for (const InstanceId& instance : pending.wanted) {
      heard.wanted.push_back(instance.Get());
    }
    pending.wanted.clear();
    context.SendMessage(process, std::move(heard));
  }
}

// A frame that exceeds the largest size is dropped, with all the rows in it. Each frame goes on
// where the last one ended: targets that change all the time must not hold back those behind them.
void TargetRelay::TakeTargets(Pending& pending,
                              const TargetTable& targets,
                              wire::TargetsHeardT& heard)
{
  std::size_t bytes = 0;
  auto next = pending.targets.lower_bound(pending.resumeAt);
  while (!pending.targets.empty() && bytes < kMaxStateBytes) {
    next = next == pending.targets.end() ? pending.targets.begin() : next;
    const auto& [instance, needsState] = *next;
    const TargetRow* row = targets.Find(instance);
    if (row != nullptr && needsState) {
      heard.heard.push_back(std::make_unique<wire::TargetHeardT>(ToWire(row->latest)));
      bytes += NameBytes(row->latest);
    } else if (row != nullptr) {
      heard.alive.push_back(std::make_unique<wire::TargetAliveT>(ToAlive(row->latest)));
      bytes += instance.Get().size();
    }
    bytes += kRowOverheadBytes;
    next = pending.targets.erase(next);
  }
  pending.resumeAt = next == pending.targets.end() ? InstanceId() : next->first;
}

} // namespace gooseberrysail
