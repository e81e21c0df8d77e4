#include "gooseberrysail/control/target_relay.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// A few heartbeats.
constexpr Duration kHeardLately = std::chrono::seconds(2);

} // namespace

void TargetRelay::Note(const ControlContext& context, const InstanceId& instance, bool isNews)
{
  const TimePoint due = isNews ? context.now : context.now + kJoinTime;
  for (const EntrySettings::Control& control : context.controls) {
    if (control.process == context.settings.process || !context.IsUp(control.process)) {
      continue;
    }
    Waiting& waiting = m_waiting[control.process];
    waiting.due = waiting.targets.empty() ? due : std::min(waiting.due, due);
    waiting.targets.insert(instance);
  }
}

// A farewell is said once. Lost with a connection it would leave the target listed at a leader that
// learned of it through this process, until its silence shows.
void TargetRelay::OnPeerUp(const ControlContext& context,
                           const ProcessId& process,
                           const TargetTable& targets)
{
  const bool isControl = std::ranges::any_of(
    context.controls, [&](const auto& control) { return control.process == process; });
  if (!isControl) {
    return;
  }
  Waiting& waiting = m_waiting[process];
  waiting.due = context.now;
  for (const auto& [instance, row] : targets.Rows()) {
    // Others would take the word of one that fell silent for a sign of life.
    if (row.latest.left || context.now - row.lastSeenAt <= kHeardLately) {
      waiting.targets.insert(instance);
    }
  }
}

// A frame for each heartbeat and process would make the cost grow with targets x control processes,
// and most of it would be the frames themselves.
void TargetRelay::Tick(ControlContext& context, const TargetTable& targets)
{
  for (auto& [process, waiting] : m_waiting) {
    if (waiting.targets.empty() || context.now < waiting.due || !context.HasRoom(process)) {
      continue;
    }
    wire::TargetsHeardT heard;
    for (const InstanceId& instance : waiting.targets) {
      if (const TargetRow* row = targets.Find(instance)) {
        heard.heard.push_back(std::make_unique<wire::TargetHeardT>(ToWire(row->latest)));
      }
    }
    waiting.targets.clear();
    context.SendMessage(process, std::move(heard));
  }
}

} // namespace gooseberrysail
