#include "gooseberrysail/gateway/event_splitter.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr std::string_view kIdField = "id:";

/// The end of the first event in `text`; npos when it is not whole.
std::size_t EndOfEvent(std::string_view text, std::size_t from)
{
  const std::size_t bare = text.find("\n\n", from);
  const std::size_t withReturn = text.find("\n\r\n", from);
  if (bare == std::string_view::npos && withReturn == std::string_view::npos) {
    return std::string_view::npos;
  }
  return bare < withReturn ? bare + 2 : withReturn + 3;
}

} // namespace

std::string EventSplitter::Take(std::string_view bytes)
{
  m_rest += bytes;
  std::size_t end = 0;
  for (std::size_t next = EndOfEvent(m_rest, 0); next != std::string_view::npos;
       next = EndOfEvent(m_rest, end)) {
    NoteId(std::string_view(m_rest).substr(end, next - end));
    end = next;
  }
  std::string whole = m_rest.substr(0, end);
  m_rest.erase(0, end);
  return whole;
}

std::string EventSplitter::TakeRest()
{
  return std::exchange(m_rest, std::string());
}

void EventSplitter::NoteId(std::string_view event)
{
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    while (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    m_lastId = line;
  }
}

} // namespace gooseberrysail
