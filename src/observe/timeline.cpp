#include "gooseberrysail/observe/timeline.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr std::string_view kRequestField = "request";
constexpr std::string_view kGroupField = "group";
constexpr std::array<std::string_view, 4> kVmFields{ "vm", "head", "members", "missing" };

/// \brief Whether a comma- or space-separated list contains `item`.
bool ListContains(std::string_view list, std::string_view item)
{
  constexpr std::string_view kSeparators = ", ";
  while (!list.empty()) {
    const auto end = std::min(list.find_first_of(kSeparators), list.size());
    if (list.substr(0, end) == item) {
      return true;
    }
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return false;
}

bool HasField(const wire::EventT& event, std::string_view name, std::string_view value)
{
  return std::ranges::any_of(event.fields, [&](const auto& field) {
    return field->name == name && ListContains(field->value, value);
  });
}

} // namespace

bool Matches(const wire::TimelineQueryT& query, const wire::EventT& event)
{
  if (event.hlcWall < query.sinceHlc) {
    return false;
  }
  if (!query.request.empty() && !HasField(event, kRequestField, query.request)) {
    return false;
  }
  if (query.group != 0 && !HasField(event, kGroupField, std::to_string(query.group))) {
    return false;
  }
  return query.vm.empty() || std::ranges::any_of(kVmFields, [&](std::string_view name) {
           return HasField(event, name, query.vm);
         });
}

Timeline::Timeline(ProcessId process, std::size_t capacity, VmId ownVm)
  : m_process(std::move(process))
  , m_ownVm(std::move(ownVm))
  , m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void Timeline::Record(WallMillis now, const EventOut& event)
{
  // Bounds the memory: a process that records errors repeatedly for a week would otherwise grow
  // until it is killed.
  if (m_events.size() == m_capacity) {
    m_events.pop_front();
    ++m_dropped;
  }
  const HlcStamp stamp = m_clock.Next(now);
  wire::EventT recorded;
  recorded.number = event.number;
  recorded.hlcWall = stamp.wall;
  recorded.hlcLogical = stamp.logical;
  recorded.process = m_process.Get();
  for (const auto& [name, value] : event.fields) {
    auto field = std::make_unique<wire::EventFieldT>();
    field->name = name;
    field->value = value;
    recorded.fields.push_back(std::move(field));
  }
  m_events.push_back(std::move(recorded));
}

void Timeline::StampOutgoing(WallMillis now, wire::EnvelopeT& envelope)
{
  const HlcStamp stamp = m_clock.Next(now);
  envelope.hlcWall = stamp.wall;
  envelope.hlcLogical = stamp.logical;
}

void Timeline::Receive(WallMillis now, const wire::EnvelopeT& envelope)
{
  m_clock.Receive(now, { envelope.hlcWall, envelope.hlcLogical });
}

wire::TimelineAnswerT Timeline::Answer(const wire::TimelineQueryT& query) const
{
  const std::size_t limit =
    query.limit == 0 ? kMaxAnswerEvents : std::min<std::size_t>(query.limit, kMaxAnswerEvents);
  wire::TimelineQueryT filter = query;
  if (!m_ownVm.IsNone() && filter.vm == m_ownVm.Get()) {
    filter.vm.clear();
  }
  wire::TimelineAnswerT answer;
  answer.nonce = query.nonce;
  answer.process = m_process.Get();
  answer.dropped = m_dropped;
  for (auto event = m_events.rbegin(); event != m_events.rend(); ++event) {
    if (answer.events.size() == limit) {
      break;
    }
    if (Matches(filter, *event)) {
      answer.events.push_back(std::make_unique<wire::EventT>(*event));
    }
  }
  std::ranges::reverse(answer.events);
  return answer;
}

} // namespace gooseberrysail
