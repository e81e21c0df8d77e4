#include "gooseberrysail/entry/caller_stream.hpp"

#include "gooseberrysail/entry/caller_api.hpp"

#include <algorithm>
#include <charconv>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kMaxBufferedBytes = 16 * 1024;
constexpr std::size_t kMaxHeldEventBytes = 64 * 1024;
constexpr std::size_t kMaxCapturedBytes = 256 * 1024;
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kEventLine = "data:";
constexpr std::string_view kTokenCount = "\"completion_tokens\":";

bool IsShort(const std::vector<std::unique_ptr<wire::HeaderT>>& headers)
{
  for (const auto& header : headers) {
    if (FindHeader({ { header->name, header->value } }, "Content-Length").empty()) {
      continue;
    }
    std::size_t length = 0;
    const std::string& text = header->value;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), length);
    return read.ec == std::errc() && length <= kMaxBufferedBytes;
  }
  return false;
}

void StoreHeaders(Request& request, const wire::OutputT& output)
{
  CallerResponse& caller = request.caller;
  caller.status = output.status;
  caller.headers = AnswerHeaders(output.headers, request.id);
  caller.eventStream = FindHeader(caller.headers, "Content-Type").starts_with(kEventStream);
  caller.bufferUntilEnd = !caller.eventStream && IsShort(output.headers);
  if (request.captured) {
    request.captured->status = output.status;
    request.captured->headers = caller.headers;
    request.captured->headers.pop_back(); // X-Request-Id: a replay has its own.
  }
}

void Capture(Request& request, std::string_view bytes)
{
  if (!request.captured || request.captured->tooLarge) {
    return;
  }
  if (request.captured->body.size() + bytes.size() > kMaxCapturedBytes) {
    request.captured->tooLarge = true;
    request.captured->body = std::string();
    return;
  }
  request.captured->body.append(bytes);
}

/// Counts each event of a stream as one token, which is an estimate; any other answer states its
/// count.
void CountTokens(Request& request, std::string_view bytes)
{
  if (request.caller.eventStream) {
    for (auto at = bytes.find(kEventLine); at != std::string_view::npos;
         at = bytes.find(kEventLine, at + kEventLine.size())) {
      ++request.tokens;
    }
    return;
  }
  const auto at = bytes.find(kTokenCount);
  if (at != std::string_view::npos) {
    bytes.remove_prefix(at + kTokenCount.size());
    bytes.remove_prefix(std::min(bytes.find_first_not_of(' '), bytes.size()));
    std::from_chars(bytes.data(), bytes.data() + bytes.size(), request.tokens);
  }
}

/// \returns The bytes of a stream to send now. The error event that ends a cut stream would end a
/// partial event before it, which callers would take for a whole one.
std::string TakeEvents(CallerResponse& caller, std::string_view bytes, bool endsComplete)
{
  std::string events = caller.events.Take(bytes);
  caller.insideEvent = caller.insideEvent && events.empty();
  if (endsComplete || caller.events.PartialBytes() > kMaxHeldEventBytes) {
    events += caller.events.TakePartial();
    caller.insideEvent = !endsComplete;
  }
  return events;
}

HttpAnswerOut NextPart(CallerResponse& caller)
{
  HttpAnswerOut part;
  part.exchange = caller.exchange;
  if (!caller.headersSent) {
    part.status = caller.status;
    part.headers = std::move(caller.headers);
    caller.headersSent = true;
  }
  return part;
}

} // namespace

void ForwardOutput(EntryContext& context,
                   Request& request,
                   const ReassembledOutput& reassembled,
                   const wire::OutputT& output)
{
  if (reassembled.startsAnswer) {
    StoreHeaders(request, output);
  }
  Capture(request, reassembled.bytes);
  CountTokens(request, reassembled.bytes);
  CallerResponse& caller = request.caller;
  const bool endsComplete = reassembled.end && output.cutReason.empty();
  if (!caller.waiting) {
    return;
  }
  if (caller.bufferUntilEnd && !endsComplete) {
    caller.buffered.append(reassembled.bytes);
    return;
  }
  const bool endsCut = reassembled.end && !endsComplete;
  if (endsCut && (!caller.headersSent || reassembled.bytes.empty())) {
    // Forward nothing: the error that ends the answer follows, and while no headers were sent it
    // can replace the whole answer.
    return;
  }
  std::string bytes = std::move(caller.buffered);
  bytes += caller.eventStream ? TakeEvents(caller, reassembled.bytes, endsComplete)
                              : std::string(reassembled.bytes);
  if (caller.headersSent && bytes.empty() && !endsComplete) {
    return;
  }
  HttpAnswerOut part = NextPart(caller);
  part.bytes = std::move(bytes);
  part.end = endsComplete;
  context.Answer(std::move(part));
  if (endsComplete) {
    context.requests.DetachCaller(request);
  }
}

void SendError(EntryContext& context, Request& request, const CallerError& error)
{
  CallerResponse& caller = request.caller;
  if (!caller.waiting) {
    return;
  }
  if (!caller.headersSent) {
    context.Answer(MakeErrorAnswer(caller.exchange, error, request.id));
    context.requests.DetachCaller(request);
    return;
  }
  if (caller.eventStream && !caller.insideEvent) {
    HttpAnswerOut last = NextPart(caller);
    last.bytes = StreamErrorEvent(error, request.id);
    context.Answer(std::move(last));
  }
  HttpAnswerOut aborted = NextPart(caller);
  aborted.abort = true;
  context.Answer(std::move(aborted));
  context.requests.DetachCaller(request);
}

} // namespace gooseberrysail::impl
