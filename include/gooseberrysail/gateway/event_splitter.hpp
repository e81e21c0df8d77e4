#pragma once

#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Cuts a stream of server-sent events into whole events and notes the last id.
/// \remarks A target may die in the middle of an event. Only whole events are passed on, so that
/// another target can go on after the last one without a caller seeing half an event.
class EventSplitter
{
public:
  /// \returns The bytes of all events that are whole now.
  [[nodiscard]] std::string Take(std::string_view bytes);

  /// \brief What follows the last whole event; at a proper end it belongs to the answer.
  [[nodiscard]] std::string TakeRest();

  /// \brief Drops an event that will never be whole.
  void DropRest() { m_rest.clear(); }

  /// \brief The id of the last whole event; "" before the first.
  [[nodiscard]] const std::string& LastId() const noexcept { return m_lastId; }

private:
  void NoteId(std::string_view event);

  std::string m_rest;
  std::string m_lastId;
};

} // namespace gooseberrysail
