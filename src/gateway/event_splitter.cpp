#include "gooseberrysail/gateway/event_splitter.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr std::string_view kIdField = "id:";

/// The end of the first event in `text` at or after `from`; npos when it is incomplete.
std::size_t EndOfEvent(std::string_view text, std::size_t from)
{
  const std::size_t lf = text.find("\n\n", from);
  const std::size_t crlf = text.find("\n\r\n", from);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 3;
}

} // namespace

std::string EventSplitter::Take(std::string_view bytes)
{
  m_partial += bytes;
  std::size_t end = 0;
  for (std::size_t next = EndOfEvent(m_partial, 0); next != std::string_view::npos;
       next = EndOfEvent(m_partial, end)) {
    UpdateLastId(std::string_view(m_partial).substr(end, next - end));
    end = next;
  }
  std::string whole = m_partial.substr(0, end);
  m_partial.erase(0, end);
  return whole;
}

std::string EventSplitter::TakePartial()
{
  return std::exchange(m_partial, std::string());
}

void EventSplitter::UpdateLastId(std::string_view event)
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
