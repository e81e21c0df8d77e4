#include "gooseberrysail/control/admin_queries.hpp"

#include "gooseberrysail/control/admin_views.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace gooseberrysail {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxOpenLookups = 256;
constexpr std::size_t kMaxQueriedProcesses = 500;
constexpr std::uint32_t kDefaultLimit = 1'000;
constexpr std::uint32_t kMaxLimit = 10'000;
constexpr std::size_t kMaxTimelineBytes = 8 * 1024 * 1024;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

void Refuse(ControlContext& context,
            ExchangeId exchange,
            unsigned status,
            ErrorCode code,
            const std::string& step,
            const std::string& peer,
            const std::string& reason)
{
  context.outbox.emplace_back(ErrorAnswer(exchange, status, Error{ code, step, peer, reason }));
}

std::string TextParameter(const AdminTarget& target, std::string_view name)
{
  const auto found = target.parameters.find(name);
  return found == target.parameters.end() ? std::string() : found->second;
}

std::optional<std::uint64_t> NumberParameter(const AdminTarget& target,
                                             std::string_view name,
                                             std::uint64_t fallback)
{
  const std::string text = TextParameter(target, name);
  if (text.empty()) {
    return fallback;
  }
  std::uint64_t value = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = failure == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(value) : std::nullopt;
}

json::object EventView(const wire::EventT& event)
{
  json::object fields;
  for (const auto& field : event.fields) {
    fields[field->name] = field->value;
  }
  const EventInfo* info = FindEvent(event.number);
  json::object view;
  view["number"] = event.number;
  view["name"] =
    info != nullptr ? json::string_view(info->name.data(), info->name.size()) : json::string_view();
  view["hlcWall"] = event.hlcWall;
  view["hlcLogical"] = event.hlcLogical;
  view["process"] = event.process;
  view["fields"] = std::move(fields);
  return view;
}

std::size_t BytesOf(const wire::EventT& event)
{
  constexpr std::size_t kFrame = 100;
  std::size_t bytes = kFrame + event.process.size();
  for (const auto& field : event.fields) {
    bytes += field->name.size() + field->value.size();
  }
  return bytes;
}

} // namespace

void AdminQueries::LookUpRequest(ControlContext& context,
                                 ExchangeId exchange,
                                 const std::string& request)
{
  const std::string step = "look up request " + request;
  const ProcessId entry = EntryOf(RequestId(request));
  if (entry.IsNone()) {
    Refuse(context,
           exchange,
           kBadRequest,
           ErrorCode::kInvalid,
           step,
           "",
           "a request id has the form <entry>.<incarnation>.<sequence>");
    return;
  }
  if (!context.IsUp(entry) || m_requests.size() >= kMaxOpenLookups) {
    Refuse(
      context,
      exchange,
      kUnavailable,
      ErrorCode::kUnavailable,
      step,
      entry.Get(),
      "the entry that took the request can't be reached now, so its outcome is not known here");
    return;
  }
  wire::RequestQueryT query;
  query.nonce = ++m_nonce;
  query.request = request;
  m_requests.emplace(query.nonce, RequestLookup{ exchange, request, entry, context.now });
  context.SendMessage(entry, std::move(query));
}

void AdminQueries::OnRequestAnswer(ControlContext& context,
                                   const ProcessId& peer,
                                   const wire::RequestAnswerT& answer)
{
  const auto found = m_requests.find(answer.nonce);
  if (found == m_requests.end() || found->second.entry != peer) {
    return;
  }
  const RequestLookup lookup = found->second;
  m_requests.erase(found);
  if (answer.found && answer.record != nullptr) {
    constexpr unsigned kOk = 200;
    context.outbox.emplace_back(JsonAnswer(lookup.exchange, kOk, RequestView(*answer.record)));
    return;
  }
  Refuse(context,
         lookup.exchange,
         kNotFound,
         ErrorCode::kNotFound,
         "look up request " + lookup.request,
         peer.Get(),
         "the entry has no record of it: it was restarted since, or the record is too old");
}

void AdminQueries::CollectTimeline(ControlContext& context,
                                   ExchangeId exchange,
                                   const AdminTarget& target)
{
  const auto since = NumberParameter(target, "sinceHlc", 0);
  const auto group = NumberParameter(target, "group", 0);
  const auto limit = NumberParameter(target, "limit", kDefaultLimit);
  if (!since || !group || !limit || *limit == 0 || *limit > kMaxLimit) {
    Refuse(context,
           exchange,
           kBadRequest,
           ErrorCode::kInvalid,
           "read timeline parameters",
           "",
           "sinceHlc and group are whole numbers; limit is a whole number from 1 to " +
             std::to_string(kMaxLimit));
    return;
  }
  if (m_timelines.size() >= kMaxOpenLookups) {
    Refuse(context,
           exchange,
           kUnavailable,
           ErrorCode::kUnavailable,
           "ask for events",
           "",
           "too many questions are open");
    return;
  }
  wire::TimelineQueryT query;
  query.nonce = ++m_nonce;
  query.sinceHlc = static_cast<std::int64_t>(*since);
  query.limit = static_cast<std::uint32_t>(*limit);
  query.request = TextParameter(target, "request");
  query.group = *group;
  query.vm = TextParameter(target, "target");

  TimelineLookup lookup;
  lookup.exchange = exchange;
  lookup.asked = context.now;
  lookup.awaited.insert(context.settings.process);
  for (const auto& [process, peer] : context.peers) {
    if (!peer.up) {
      continue;
    }
    if (lookup.awaited.size() < kMaxQueriedProcesses) {
      lookup.awaited.insert(process);
    } else {
      ++lookup.notAsked;
    }
  }
  const auto envelope = MakeEnvelope(wire::TimelineQueryT(query));
  for (const ProcessId& process : lookup.awaited) {
    context.Send(process, envelope);
  }
  m_timelines.emplace(query.nonce, std::move(lookup));
}

void AdminQueries::OnTimelineAnswer(ControlContext& context,
                                    const ProcessId& peer,
                                    const wire::TimelineAnswerT& answer)
{
  const auto found = m_timelines.find(answer.nonce);
  if (found == m_timelines.end() || found->second.awaited.erase(peer) == 0) {
    return;
  }
  TimelineLookup& lookup = found->second;
  lookup.answered.insert(peer);
  lookup.dropped += answer.dropped;
  for (const auto& event : answer.events) {
    lookup.bytes += BytesOf(*event);
    if (lookup.bytes > kMaxTimelineBytes) {
      lookup.truncated = true;
      break;
    }
    lookup.events.push_back(EventView(*event));
  }
  if (lookup.awaited.empty()) {
    AnswerTimeline(context, lookup);
    m_timelines.erase(found);
  }
}

void AdminQueries::AnswerTimeline(ControlContext& context, TimelineLookup& lookup)
{
  const auto names = [](const std::set<ProcessId>& processes) {
    json::array list;
    for (const ProcessId& process : processes) {
      list.emplace_back(process.Get());
    }
    return list;
  };
  json::object view;
  view["events"] = std::move(lookup.events);
  view["answered"] = names(lookup.answered);
  view["notReached"] = names(lookup.awaited);
  view["notAsked"] = lookup.notAsked;
  view["dropped"] = lookup.dropped;
  view["truncated"] = lookup.truncated;
  constexpr unsigned kOk = 200;
  context.outbox.emplace_back(JsonAnswer(lookup.exchange, kOk, view));
}

void AdminQueries::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_requests, [&](const auto& item) { return item.second.exchange == exchange; });
  std::erase_if(m_timelines, [&](const auto& item) { return item.second.exchange == exchange; });
}

std::vector<ExchangeId> AdminQueries::TakeOpenCalls()
{
  std::vector<ExchangeId> calls;
  for (const auto& [nonce, lookup] : m_requests) {
    calls.push_back(lookup.exchange);
  }
  for (const auto& [nonce, lookup] : m_timelines) {
    calls.push_back(lookup.exchange);
  }
  m_requests.clear();
  m_timelines.clear();
  return calls;
}

void AdminQueries::Tick(ControlContext& context)
{
  std::erase_if(m_requests, [&](const auto& item) {
    const RequestLookup& lookup = item.second;
    if (context.now - lookup.asked < kTimeout) {
      return false;
    }
    Refuse(context,
           lookup.exchange,
           kGatewayTimeout,
           ErrorCode::kTimeout,
           "look up request " + lookup.request,
           lookup.entry.Get(),
           "the entry did not answer in time");
    return true;
  });
  for (auto item = m_timelines.begin(); item != m_timelines.end();) {
    if (context.now - item->second.asked < kTimeout) {
      ++item;
      continue;
    }
    AnswerTimeline(context, item->second);
    item = m_timelines.erase(item);
  }
}

} // namespace gooseberrysail
