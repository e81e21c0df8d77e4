#pragma once

#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Splits a stream of server-sent events into complete events and records the last id.
/// \remarks A target may fail in the middle of an event. Only complete events are forwarded, so
/// that another target can resume after the last one and no caller receives a partial event.
class EventSplitter
{
public:
  /// \brief Appends received bytes.
  /// \returns The bytes of all events that are complete now.
  [[nodiscard]] std::string Take(std::string_view bytes);

  /// \brief Whether there are bytes after the last complete event.
  [[nodiscard]] bool HasPartial() const noexcept { return !m_partial.empty(); }

  [[nodiscard]] std::size_t PartialBytes() const noexcept { return m_partial.size(); }

  /// \brief Takes the bytes after the last complete event.
  [[nodiscard]] std::string TakePartial();

  /// \brief Discards an event that will not be completed.
  void DiscardPartial() { m_partial.clear(); }

  /// \brief The latest id in a complete event; "" before the first.
  [[nodiscard]] const std::string& LastId() const noexcept { return m_lastId; }

private:
  void UpdateLastId(std::string_view event);

  std::string m_partial;
  std::string m_lastId;
};

} // namespace gooseberrysail
