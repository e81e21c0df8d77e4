#include "gooseberrysail/control/control_list_feed.hpp"

#include <algorithm>

namespace gooseberrysail {

wire::ServingStateT MakeControlList(const ControlContext& context)
{
  wire::ServingStateT state;
  for (const EntrySettings::Control& control : context.controls) {
    auto address = std::make_unique<wire::ControlAddressT>();
    address->process = control.process.Get();
    address->address = control.address;
    state.controls.push_back(std::move(address));
  }
  return state;
}

// With the list in each answer the traffic grows with entries x control processes squared.
void ControlListFeed::OnQuery(ControlContext& context, const ProcessId& entry)
{
  const auto isSame = [](const auto& former, const auto& now) {
    return former.process == now.process && former.address == now.address;
  };
  if (!std::ranges::equal(m_list, context.controls, isSame)) {
    m_list = context.controls;
    m_told.clear();
  }
  const bool lacksList = m_told.insert(entry).second;
  context.SendMessage(entry, lacksList ? MakeControlList(context) : wire::ServingStateT());
}

} // namespace gooseberrysail
