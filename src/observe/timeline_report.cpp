#include "gooseberrysail/observe/timeline_report.hpp"

#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/observe/event_line.hpp"
#include "gooseberrysail/observe/hybrid_clock.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <memory>
#include <set>
#include <tuple>

namespace gooseberrysail {

namespace {

namespace json = boost::json;

constexpr std::string_view kRequestField = "request";

std::string_view NameOf(const wire::EventT& event)
{
  const EventInfo* info = FindEvent(event.number);
  return info != nullptr ? info->name : "UnknownEvent";
}

const char* LevelOf(const wire::EventT& event)
{
  const EventInfo* info = FindEvent(event.number);
  return ToString(info != nullptr ? info->level : EventLevel::kError);
}

auto OrderOf(const wire::EventT& event)
{
  return std::tie(event.hlcWall, event.hlcLogical, event.process);
}

void Sort(MergedTimeline& timeline)
{
  std::ranges::stable_sort(timeline.events, {}, OrderOf);
}

std::vector<std::pair<std::string, std::string>> FieldsOf(const wire::EventT& event)
{
  std::vector<std::pair<std::string, std::string>> fields;
  for (const auto& field : event.fields) {
    fields.emplace_back(field->name, field->value);
  }
  return fields;
}

std::string TextOf(const wire::EventT& event)
{
  std::string line = FormatWallTime(event.hlcWall) + "+" + std::to_string(event.hlcLogical);
  line += " " + event.process + " " + LevelOf(event) + " " + std::to_string(event.number) + " ";
  line += NameOf(event);
  const std::string fields = FormatFields(FieldsOf(event));
  return line + (fields.empty() ? "" : " ") + fields + "\n";
}

json::object FieldsToJson(const wire::EventT& event)
{
  json::object fields;
  for (const auto& field : event.fields) {
    fields[field->name] = field->value;
  }
  return fields;
}

wire::EventT EventFromJson(const json::object& object)
{
  wire::EventT event;
  event.number = object.at("number").to_number<std::uint32_t>();
  event.hlcWall = object.at("hlcWall").to_number<std::int64_t>();
  event.hlcLogical = object.at("hlcLogical").to_number<std::uint32_t>();
  event.process = object.at("process").as_string();
  for (const auto& [name, value] : object.at("fields").as_object()) {
    auto field = std::make_unique<wire::EventFieldT>();
    field->name = name;
    field->value = value.as_string();
    event.fields.push_back(std::move(field));
  }
  return event;
}

/// \brief Builds a trace file in the Trace Event Format.
class TraceWriter
{
public:
  void Add(const wire::EventT& event)
  {
    const int process = ProcessNumber(event.process);
    json::object instant = MakeTraceEvent(event, process, "i");
    instant["s"] = "p";
    json::object arguments = FieldsToJson(event);
    arguments["number"] = event.number;
    arguments["level"] = LevelOf(event);
    arguments["hlc"] = std::to_string(event.hlcWall) + "+" + std::to_string(event.hlcLogical);
    instant["args"] = std::move(arguments);
    m_events.push_back(std::move(instant));
    AddRequestFlow(event, process);
  }

  std::string Take()
  {
    json::object file;
    file["displayTimeUnit"] = "ms";
    file["traceEvents"] = std::move(m_events);
    return json::serialize(file);
  }

private:
  int ProcessNumber(const std::string& process)
  {
    const auto [found, inserted] =
      m_numbers.emplace(process, static_cast<int>(m_numbers.size()) + 1);
    if (inserted) {
      json::object name;
      name["name"] = "process_name";
      name["ph"] = "M";
      name["pid"] = found->second;
      name["tid"] = 1;
      name["args"] = json::object{ { "name", process } };
      m_events.push_back(std::move(name));
    }
    return found->second;
  }

  // Viewers sort by microseconds. The logical part of the stamp is added as microseconds, so that
  // events of the same millisecond keep their order; values above 999 share the last microsecond.
  static json::object MakeTraceEvent(const wire::EventT& event, int process, const char* phase)
  {
    constexpr std::int64_t kMicrosPerMilli = 1000;
    const auto logical = std::min<std::int64_t>(event.hlcLogical, kMicrosPerMilli - 1);
    json::object traceEvent;
    traceEvent["name"] = NameOf(event);
    traceEvent["cat"] = "event";
    traceEvent["ph"] = phase;
    traceEvent["ts"] = event.hlcWall * kMicrosPerMilli + logical;
    traceEvent["pid"] = process;
    traceEvent["tid"] = 1;
    return traceEvent;
  }

  void AddRequestFlow(const wire::EventT& event, int process)
  {
    const auto field = std::ranges::find_if(
      event.fields, [](const auto& candidate) { return candidate->name == kRequestField; });
    if (field == event.fields.end()) {
      return;
    }
    const bool first = m_requests.insert((*field)->value).second;
    json::object flow = MakeTraceEvent(event, process, first ? "s" : "t");
    flow["name"] = "request";
    flow["cat"] = "request";
    flow["id"] = (*field)->value;
    m_events.push_back(std::move(flow));
  }

  json::array m_events;
  std::map<std::string, int> m_numbers;
  std::set<std::string> m_requests;
};

} // namespace

MergedTimeline MergeTimelines(std::span<const wire::TimelineAnswerT> answers)
{
  MergedTimeline merged;
  for (const wire::TimelineAnswerT& answer : answers) {
    for (const auto& event : answer.events) {
      merged.events.push_back(*event);
    }
    merged.dropped += answer.dropped;
  }
  Sort(merged);
  return merged;
}

std::string TimelineText(const MergedTimeline& timeline)
{
  std::string text;
  for (const std::string& process : timeline.notReached) {
    text += "# " + process + " did not answer; its events are missing\n";
  }
  if (timeline.notAsked != 0) {
    text += "# " + std::to_string(timeline.notAsked) + " more processes were not queried\n";
  }
  if (timeline.dropped != 0) {
    text += "# " + std::to_string(timeline.dropped) + " older events are no longer available\n";
  }
  if (timeline.truncated) {
    text += "# more events matched than fit in one answer; narrow the query\n";
  }
  for (const wire::EventT& event : timeline.events) {
    text += TextOf(event);
  }
  return text;
}

std::string TimelineChromeTrace(const MergedTimeline& timeline)
{
  TraceWriter writer;
  for (const wire::EventT& event : timeline.events) {
    writer.Add(event);
  }
  return writer.Take();
}

Result<MergedTimeline> TimelineFromJson(const json::value& json, std::string_view peer)
{
  MergedTimeline timeline;
  try {
    const json::object& object = json.as_object();
    for (const json::value& event : object.at("events").as_array()) {
      timeline.events.push_back(EventFromJson(event.as_object()));
    }
    for (const json::value& process : object.at("notReached").as_array()) {
      timeline.notReached.emplace_back(process.as_string());
    }
    timeline.notAsked = object.at("notAsked").to_number<std::uint64_t>();
    timeline.dropped = object.at("dropped").to_number<std::uint64_t>();
    timeline.truncated = object.at("truncated").as_bool();
  } catch (const std::exception& fault) {
    return Error{ ErrorCode::kCorrupt, "read timeline", std::string(peer), fault.what() };
  }
  Sort(timeline);
  return timeline;
}

} // namespace gooseberrysail
